// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"time"

	"madderway/models/routing"
)

// coldTolerance is how far apart two tellings of one cold period may be: the target's
// writes, the store's feed and messages between gateways come with some delay.
const coldTolerance = 500 * time.Millisecond

// toLocalCold puts the end of a target's cold period on this process's clock. One that is
// known already, or over, stays as it is, so that counting down is no change. The end
// is never early: the time that the news was under way is added to it.
func toLocalCold(now time.Time, known, told routing.Target) routing.Target {
	left := told.ColdFor
	told.ColdFor = 0
	if told.Born > known.Born {
		known.ColdUntil = time.Time{} // that of an older life
	}
	if left <= 0 {
		if !known.ColdUntil.After(now) {
			told.ColdUntil = known.ColdUntil
		}
		return told
	}
	told.ColdUntil = now.Add(left)
	if known.Cold(now) && told.ColdUntil.Sub(known.ColdUntil).Abs() < coldTolerance {
		told.ColdUntil = known.ColdUntil
	}
	return told
}

// toLocalTargets stamps targets that were listed; known are those of the table.
func (t *targetTable) toLocalTargets(now time.Time, listed []routing.Target) []routing.Target {
	for i := range listed {
		listed[i] = toLocalCold(now, t.known[listed[i].WorkerName()].Target, listed[i])
	}
	return listed
}

// toLocalChanges stamps the targets of changes.
func (t *targetTable) toLocalChanges(now time.Time, changes []TargetChange) []TargetChange {
	for i := range changes {
		changes[i].Target = toLocalCold(now, t.known[changes[i].ID].Target, changes[i].Target)
	}
	return changes
}

// setColdFor returns changes as a peer is told them: with the time that is left of a
// cold period, since clocks differ.
func setColdFor(now time.Time, news targetState) targetState {
	for i := range news.Changes {
		t := &news.Changes[i].Target
		t.ColdFor = max(t.ColdUntil.Sub(now), 0)
	}
	return news
}

// markCold makes the targets of a data hall cold for as long as one that has just
// started, where what is known of them is old: they may have turned cold unseen.
func (t *targetTable) markCold(now time.Time, hall string, start func(service string) time.Duration) {
	for id, ch := range t.known {
		if ch.Target.DataHall != hall {
			continue
		}
		if until := now.Add(start(ch.Target.Service)); until.After(ch.Target.ColdUntil) {
			ch.Target.ColdUntil = until
			t.known[id] = ch
		}
	}
}
