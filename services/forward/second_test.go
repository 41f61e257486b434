// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"testing"
	"time"

	"madderway/models/result"
	"madderway/modules/clock"
)

// The line of a second names the account that was refused the most, and why.
func TestRefusalSummaryNamesMostRefusedAccount(t *testing.T) {
	var o outcomeCounts
	o.count(outcomeInTime)
	for i := range 3 {
		if n := o.countRefused("flood", result.Overloaded, 100); n != i+1 {
			t.Errorf("refusal %d was counted as %d", i+1, n)
		}
	}
	o.countRefused("flood", result.QueueFull, 100)
	o.countRefused("quiet", result.Overloaded, 100)
	o.countAdmitted("flood", 70)
	o.countAdmitted("quiet", 30)
	counts, refused := o.reset()
	if counts[outcomeInTime] != 1 || counts[outcomeRefused] != 5 {
		t.Errorf("counted %v", counts)
	}
	want := refusalSummary{refusalKey: refusalKey{"flood", result.Overloaded}, most: volume{3, 300}, admitted: volume{1, 70}, accounts: 2}
	if refused != want {
		t.Errorf("summed up as %+v, want %+v", refused, want)
	}
	if counts, refused = o.reset(); len(counts) != 0 || refused != (refusalSummary{}) {
		t.Errorf("the next second begins with %v, %+v", counts, refused)
	}
}

// The line of a second tells how late the process came to its work in that second only.
func TestLatenessStatsAreResetEachSecond(t *testing.T) {
	g := newTestGuard(clock.NewFake())
	g.ObserveLateness(10 * time.Millisecond)
	g.ObserveLateness(50 * time.Millisecond)
	if got := g.lateness; got.mean() != 30*time.Millisecond || got.worst != 50*time.Millisecond {
		t.Errorf("mean %v, worst %v", got.mean(), got.worst)
	}
	_ = g.resetStats()
	if got := g.lateness; got.samples != 0 || got.mean() != 0 {
		t.Errorf("the next second begins with %+v", got)
	}
}
