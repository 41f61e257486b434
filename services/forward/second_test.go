// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"testing"
	"time"

	"madderway/models/result"
	"madderway/modules/clock"
)

func TestRefusalSummaryNamesMostRefusedAccount(t *testing.T) {
	var o outcomeCounts
	o.count(outcomeInTime)
	for i := range 3 {
		if n := o.countRefused("flood", result.Overloaded, 100); n != i+1 {
			t.Errorf("refusal %d counted as %d", i+1, n)
		}
	}
	o.countRefused("flood", result.QueueFull, 100)
	o.countRefused("quiet", result.Overloaded, 100)
	o.countAdmitted("flood", 70)
	o.countAdmitted("quiet", 30)
	counts, refused := o.reset()
	if counts[outcomeInTime] != 1 || counts[outcomeRefused] != 5 {
		t.Errorf("counts %v, want 1 in time and 5 refused", counts)
	}
	want := refusalSummary{refusalKey: refusalKey{"flood", result.Overloaded}, most: volume{3, 300}, admitted: volume{1, 70}, accounts: 2}
	if refused != want {
		t.Errorf("summary %+v, want %+v", refused, want)
	}
	if counts, refused = o.reset(); len(counts) != 0 || refused != (refusalSummary{}) {
		t.Errorf("after reset: got counts %v, summary %+v, want none", counts, refused)
	}
}

func TestLatenessStatsAreResetEachSecond(t *testing.T) {
	g := newTestGuard(clock.NewFake())
	g.ObserveLateness(10 * time.Millisecond)
	g.ObserveLateness(50 * time.Millisecond)
	if got := g.lateness; got.mean() != 30*time.Millisecond || got.worst != 50*time.Millisecond {
		t.Errorf("got mean %v, worst %v, want 30ms, 50ms", got.mean(), got.worst)
	}
	_ = g.resetStats()
	if got := g.lateness; got.samples != 0 || got.mean() != 0 {
		t.Errorf("after reset: got %+v, want no samples", got)
	}
}
