// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package overload

import (
	"testing"
	"time"
)

// Guards against a gateway that accepts the first requests of a flood itself until it is late, as it
// then has no time to hand the rest over.
func TestBurstIsHandedOverBeforeTheProcessIsLate(t *testing.T) {
	const serveCost = 2 * time.Millisecond
	for _, c := range []struct {
		name              string
		canHandOver, move bool
		most              int // requests served here
	}{
		{"movable", true, true, 185}, // 0.1 s of work, and 0.9 of 0.3 s
		{"unmovable", true, false, 390},
		{"no other gateway", false, true, 390},
	} {
		g, now := New(), epoch
		g.SetHandOverAvailable(c.canHandOver)
		g.costs.perRequest[Serve-1] = serveCost.Seconds()
		served := 0
		for i := range 390 {
			if v := g.Admit(now, "flood", 0.5, c.move); v == Serve {
				served++
			} else if v != HandOver {
				t.Fatalf("%s: verdict %d on request %d, want no refusal", c.name, v, i)
			}
			now = now.Add(300 * time.Millisecond / 390)
		}
		if served > c.most || served < c.most-2 {
			t.Errorf("%s: %d of 390 requests in 300 ms are served here, want %d", c.name, served, c.most)
		}
		if g.Bursting(now) != c.canHandOver {
			t.Errorf("%s: Bursting is %v", c.name, !c.canHandOver)
		}
		if now = now.Add(time.Second); g.Bursting(now) || g.Admit(now, "flood", 0.5, c.move) != Serve {
			t.Errorf("%s: not served here after a second of calm", c.name)
		}
	}
}
