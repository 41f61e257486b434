// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package collector

import (
	"sync"
	"testing"
	"time"
)

// Guards against garbage that takes a multiple of the live heap in a large fleet, and against
// frequent collections in a small one.
func TestGarbageIsBoundedByMemory(t *testing.T) {
	const mb = 1 << 20
	for _, c := range []struct {
		live, memory float64
		want         int
	}{
		{0, 184 * mb, startPercent},
		{3 * mb, 284 * mb, maxPercent},
		{9 * mb, 184 * mb, 100},
		{18 * mb, 184 * mb, minPercent},
		{60 * mb, 184 * mb, minPercent},
		{9 * mb, 1048 * mb, maxPercent},
	} {
		if got := percentFor(c.live, garbageShare*c.memory); got != c.want {
			t.Errorf("%.0f MB live of %.0f MB: %d percent, want %d", c.live/mb, c.memory/mb, got, c.want)
		}
	}
}

// Guards against a race of two goroutines that both adjust the collector.
func TestAdjustIsSafeForConcurrentUse(t *testing.T) {
	c := Start(1 << 30)
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() { c.Adjust(time.Unix(int64(i), 0)) })
	}
	wg.Wait()
}
