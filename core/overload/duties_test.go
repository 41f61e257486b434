// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package overload

import (
	"testing"
	"time"
)

// A gateway that cannot keep up gives its duties away once, and takes them back after a
// calm, however its share swings in between.
func TestDutiesDoNotFlap(t *testing.T) {
	var d Duties
	now, changes, keeps := epoch, 0, true
	play := func(length time.Duration, share func(i int) float64) {
		for i := range int(length / tick) {
			now = now.Add(tick)
			var changed bool
			if keeps, changed = d.Observe(now, share(i)); changed {
				changes++
			}
		}
	}
	play(time.Second, func(i int) float64 { return []float64{1, 0.8}[i/20%2] })
	if !keeps || changes != 0 {
		t.Errorf("keeps %v after short overloads, %d changes", keeps, changes)
	}
	play(time.Second, func(int) float64 { return 0.5 })
	if keeps || changes != 1 {
		t.Errorf("keeps %v after a second of overload, %d changes", keeps, changes)
	}
	play(20*time.Second, func(i int) float64 { return []float64{1, 0.8}[i/300%2] })
	if keeps || changes != 1 {
		t.Errorf("keeps %v while the share swings, %d changes", keeps, changes)
	}
	play(6*time.Second, func(int) float64 { return 1 })
	if !keeps || changes != 2 {
		t.Errorf("keeps %v after a calm, %d changes", keeps, changes)
	}
}
