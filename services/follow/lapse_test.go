// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"testing"
	"time"

	"madderway/models/routing"
)

var holdStart = time.Unix(1_700_000_000, 0)

func targetsOf(targets ...routing.Target) *routing.TargetSet {
	return (&routing.TargetSet{Revision: 5, Targets: targets}).BuildIndex()
}

// Entries that are gone when the store comes back after a long silence are used
// a little longer, since they may only have run out; those that had stated that
// they leave are not.
func TestExpiredTargetsAreHeld(t *testing.T) {
	before := targetsOf(routing.Target{ID: "lapsed"}, routing.Target{ID: "leaving", Leaving: true}, routing.Target{ID: "stays"})
	l := newHeldTargets()
	set, wait := l.hold(holdStart, true, before, targetsOf(routing.Target{ID: "stays"}))
	if set.Find("lapsed") == nil || set.Find("leaving") != nil || set.Find("stays") == nil || wait != expiredHold {
		t.Fatalf("%+v, for %v", set.Targets, wait)
	}
	// Later news do not hold it any longer.
	now := holdStart.Add(expiredHold / 2)
	set, wait = l.hold(now, true, set, targetsOf(routing.Target{ID: "stays"}, routing.Target{ID: "new"}))
	if set.Find("lapsed") == nil || set.Find("new") == nil || wait != expiredHold/2 {
		t.Errorf("%+v, for %v", set.Targets, wait)
	}
	set, wait = l.hold(holdStart.Add(expiredHold), true, set, targetsOf(routing.Target{ID: "stays"}, routing.Target{ID: "new"}))
	if set.Find("lapsed") != nil || wait != 0 {
		t.Errorf("%+v still held, for %v", set.Targets, wait)
	}
}

// An entry that is back is no longer held: what it says now counts.
func TestListedTargetIsNotHeld(t *testing.T) {
	l := newHeldTargets()
	set, _ := l.hold(holdStart, true, targetsOf(routing.Target{ID: "a"}), targetsOf())
	set, _ = l.hold(holdStart.Add(time.Millisecond), true, set, targetsOf(routing.Target{ID: "a", Leaving: true}))
	if a := set.Find("a"); a == nil || !a.Leaving {
		t.Fatalf("%+v", set.Targets)
	}
	if set, _ = l.hold(holdStart.Add(2*time.Millisecond), true, set, targetsOf()); set.Find("a") != nil {
		t.Error("held after it had stated that it leaves")
	}
}

// While the store answers, who is gone is gone.
func TestMissingTargetIsDroppedWhileSettled(t *testing.T) {
	l := newHeldTargets()
	if set, wait := l.hold(holdStart, false, targetsOf(routing.Target{ID: "a"}), targetsOf()); set.Find("a") != nil || wait != 0 {
		t.Errorf("%+v, for %v", set.Targets, wait)
	}
}
