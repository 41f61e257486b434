// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"time"

	"madderway/models/routing"
)

// coldTolerance is the largest difference between two reports of the same cold period. They
// differ by the delays of the store and of messages between gateways.
const coldTolerance = 500 * time.Millisecond

// toLocalCold converts the remaining cold time of a reported target to an end on this process's
// clock. It keeps the known end within coldTolerance, so that a countdown is not a change. The
// transmission delay makes the end late, never early.
func toLocalCold(now time.Time, known, reported routing.Target) routing.Target {
	left := reported.ColdFor
	reported.ColdFor = 0
	if reported.Born > known.Born {
		known.ColdUntil = time.Time{} // of the previous incarnation
	}
	if left <= 0 {
		if !known.ColdUntil.After(now) {
			reported.ColdUntil = known.ColdUntil
		}
		return reported
	}
	reported.ColdUntil = now.Add(left)
	if known.Cold(now) && reported.ColdUntil.Sub(known.ColdUntil).Abs() < coldTolerance {
		reported.ColdUntil = known.ColdUntil
	}
	return reported
}

func (t *targetTable) toLocalTargets(now time.Time, listed []routing.Target) []routing.Target {
	for i := range listed {
		listed[i] = toLocalCold(now, t.known[listed[i].WorkerName()].get(), listed[i])
	}
	return listed
}

func (t *targetTable) toLocalChanges(now time.Time, changes []TargetChange) []TargetChange {
	for i := range changes {
		changes[i].Target = toLocalCold(now, t.known[changes[i].ID].get(), changes[i].Target)
	}
	return changes
}

// setColdFor sets the remaining cold time of each target, which is sent to peers in place of the
// end, since clocks differ.
func setColdFor(now time.Time, state targetState) targetState {
	for i := range state.Changes {
		t := &state.Changes[i].Target
		t.ColdFor = max(t.ColdUntil.Sub(now), 0)
	}
	return state
}

// markCold makes all targets of a data hall cold, as if they had just started. It is used after
// an outage of the store, during which they may have turned cold unnoticed.
func (t *targetTable) markCold(now time.Time, hall string, coldStart func(service string) time.Duration) {
	for name, k := range t.known {
		if k.Target.DataHall != hall {
			continue
		}
		if until := now.Add(coldStart(k.Target.Service)); until.After(k.Target.ColdUntil) {
			cold := *k.Target
			cold.ColdUntil = until
			t.set(name, k.Revision, cold)
		}
	}
}
