// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"testing"
	"time"

	"madderway/core/watch"
	"madderway/models/routing"
	"madderway/modules/clock"
)

var (
	holdStart = time.Unix(1_700_000_000, 0)
	unsettled = holdStart.Add(time.Hour) // entries may have expired until then
)

func targetsOf(targets ...routing.Target) *routing.TargetSet {
	return routing.NewTargetSet(5, targets...)
}

// Guards against the loss of targets whose entries merely expired during an outage of the store.
func TestExpiredTargetsAreHeld(t *testing.T) {
	before := targetsOf(routing.Target{ID: "expired"}, routing.Target{ID: "leaving", Leaving: true}, routing.Target{ID: "stays"})
	h := newHeldTargets()
	set, wait := h.hold(holdStart, unsettled, before, targetsOf(routing.Target{ID: "stays"}))
	if set.Find("expired") == nil || set.Find("leaving") != nil || set.Find("stays") == nil || wait != expiredHold {
		t.Fatalf("targets %+v, wait %v, want expired held and leaving gone", set.ByService(""), wait)
	}
	// Later updates do not extend the hold.
	now := holdStart.Add(expiredHold / 2)
	set, wait = h.hold(now, unsettled, set, targetsOf(routing.Target{ID: "stays"}, routing.Target{ID: "new"}))
	if set.Find("expired") == nil || set.Find("new") == nil || wait != expiredHold/2 {
		t.Errorf("targets %+v, wait %v", set.ByService(""), wait)
	}
	set, wait = h.hold(holdStart.Add(expiredHold), unsettled, set, targetsOf(routing.Target{ID: "stays"}, routing.Target{ID: "new"}))
	if set.Find("expired") != nil || wait != 0 {
		t.Errorf("targets %+v, wait %v after the hold, want expired gone", set.ByService(""), wait)
	}
}

// Guards against a held copy that hides what a listed target reports.
func TestListedTargetIsNotHeld(t *testing.T) {
	h := newHeldTargets()
	set, _ := h.hold(holdStart, unsettled, targetsOf(routing.Target{ID: "a"}), targetsOf())
	set, _ = h.hold(holdStart.Add(time.Millisecond), unsettled, set, targetsOf(routing.Target{ID: "a", Leaving: true}))
	if a := set.Find("a"); a == nil || !a.Leaving {
		t.Fatalf("targets %+v, want a leaving", set.ByService(""))
	}
	if set, _ = h.hold(holdStart.Add(2*time.Millisecond), unsettled, set, targetsOf()); set.Find("a") != nil {
		t.Error("leaving target is held")
	}
}

// Guards against holding targets that were removed while the store is reachable.
func TestMissingTargetIsDroppedWhileSettled(t *testing.T) {
	h := newHeldTargets()
	if set, wait := h.hold(holdStart, time.Time{}, targetsOf(routing.Target{ID: "a"}), targetsOf()); set.Find("a") != nil || wait != 0 {
		t.Errorf("targets %+v, wait %v", set.ByService(""), wait)
	}
}

// Guards against a target that has left and is held although the owners of expired entries have renewed
// them by then: a gateway that was cut off takes its own silence for an outage of the store.
func TestHoldEndsOnceExpiredEntriesAreRenewed(t *testing.T) {
	c := clock.NewFake()
	w := watch.New(0)
	w.PollSucceeded(c.Now())
	c.Advance(5 * time.Second) // nothing is heard, neither of the store nor of peers
	w.PollSucceeded(c.Now())
	healed := c.Now()
	c.Advance(1900 * time.Millisecond)
	h := newHeldTargets()
	set, wait := h.hold(c.Now(), w.UnsettledUntil(c.Now()), targetsOf(routing.Target{ID: "left"}), targetsOf())
	if set.Find("left") == nil {
		t.Fatal("a target that may have expired is not held")
	}
	if end := c.Now().Add(wait).Sub(healed); end > 2*time.Second+renewalDelay {
		t.Errorf("held until %v after the end of the silence, want at most 2s and %v", end, renewalDelay)
	}
	c.Advance(wait)
	if set, wait = h.hold(c.Now(), w.UnsettledUntil(c.Now()), set, targetsOf()); set.Find("left") != nil || wait != 0 {
		t.Errorf("still held, for %v more", wait)
	}
}
