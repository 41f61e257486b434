// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"time"

	"madderway/models/routing"
)

// expiredHold is how long a target is used on whose entry is gone when the store
// comes back after a long silence. Targets renew their entries; while the store
// is away entries run out, and are back within two seconds of its return. It is
// less than the time in which a leaving target may still get work.
const expiredHold = 1500 * time.Millisecond

// heldTargets holds targets whose entries may only have run out.
type heldTargets struct {
	until map[string]time.Time
}

func newHeldTargets() *heldTargets { return &heldTargets{until: map[string]time.Time{}} }

// hold returns the listed targets and those that are held, and how long until
// the next of these is given up, 0 for never. Before is what was returned last;
// unsettled tells that the store has come back just now.
func (l *heldTargets) hold(now time.Time, unsettled bool, before, listed *routing.TargetSet) (*routing.TargetSet, time.Duration) {
	wait := time.Duration(0)
	set := &routing.TargetSet{Revision: listed.Revision, Targets: append([]routing.Target(nil), listed.Targets...)}
	for _, t := range before.Targets {
		if t.Leaving || listed.FindWorker(t.WorkerName()) != nil {
			delete(l.until, t.ID)
			continue
		}
		until, held := l.until[t.ID]
		if !held {
			if !unsettled {
				continue
			}
			until = now.Add(expiredHold)
			l.until[t.ID] = until
		}
		if !now.Before(until) {
			delete(l.until, t.ID)
			continue
		}
		set.Targets = append(set.Targets, t)
		if left := until.Sub(now); wait == 0 || left < wait {
			wait = left
		}
	}
	return set.BuildIndex(), wait
}
