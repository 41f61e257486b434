// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package overload

import (
	"testing"
	"time"
)

// Guards against flapping: duties are suspended once under overload and resumed only after
// a calm period, even if the share swings in between.
func TestDutiesDoNotFlap(t *testing.T) {
	var d Duties
	now, changes, keeps := epoch, 0, true
	play := func(length time.Duration, share func(i int) float64) {
		for i := range int(length / tick) {
			now = now.Add(tick)
			var changed bool
			if keeps, changed = d.Observe(now, share(i), 0); changed {
				changes++
			}
		}
	}
	play(time.Second, func(i int) float64 { return []float64{1, 0.8}[i/20%2] })
	if !keeps || changes != 0 {
		t.Errorf("after short overloads: keeps duties = %v after %d changes, want true after 0", keeps, changes)
	}
	play(time.Second, func(int) float64 { return 0.5 })
	if keeps || changes != 1 {
		t.Errorf("after a second of overload: keeps duties = %v after %d changes, want false after 1", keeps, changes)
	}
	play(20*time.Second, func(i int) float64 { return []float64{1, 0.8}[i/300%2] })
	if keeps || changes != 1 {
		t.Errorf("while the share swings: keeps duties = %v after %d changes, want false after 1", keeps, changes)
	}
	play(6*time.Second, func(int) float64 { return 1 })
	if !keeps || changes != 2 {
		t.Errorf("after a calm period: keeps duties = %v after %d changes, want true after 2", keeps, changes)
	}
}

// A link that stays full suspends the duties; a short burst does not.
func TestFullLinkSuspendsDuties(t *testing.T) {
	const mbps, perTick = 10.0, 12_000 // 9.6 Mbit/s
	var d Duties
	l, now, sent, keeps := NewLink(mbps), epoch, uint64(0), true
	play := func(length time.Duration, bytes uint64) {
		for range length / tick {
			now, sent = now.Add(tick), sent+bytes
			keeps, _ = d.Observe(now, 1, l.Observe(now, sent, 0))
		}
	}
	play(3*time.Second, perTick/2)
	play(200*time.Millisecond, perTick)
	play(2*time.Second, perTick/2)
	if !keeps {
		t.Error("duties suspended by a short burst")
	}
	play(3*time.Second, perTick)
	if keeps {
		t.Error("keeps its duties with a full link")
	}
	play(8*time.Second, perTick/2)
	if !keeps {
		t.Error("duties not resumed after a calm period")
	}
	if use := NewLink(0).Observe(now, sent, 0); use != 0 {
		t.Errorf("utilization of a link of unknown capacity: got %.2f, want 0", use)
	}
}
