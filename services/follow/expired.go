// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"time"

	"madderway/models/routing"
)

// expiredHold is the time for which a target stays in use if its entry is missing when the store
// is reachable again after a long outage. Entries expire during the outage, and their owners
// renew them within two seconds of its end. It is shorter than the time for which a leaving
// target still accepts work.
const expiredHold = 1500 * time.Millisecond

// renewalDelay is the time in which the renewal of an entry becomes known here.
const renewalDelay = 500 * time.Millisecond

// heldTargets tracks targets whose entries may merely have expired.
type heldTargets struct {
	until map[string]time.Time
}

func newHeldTargets() *heldTargets { return &heldTargets{until: map[string]time.Time{}} }

// hold returns the listed targets plus the held ones, and the time until the next hold ends, 0
// if there is none. before is the previous result; unsettledUntil is zero unless entries may have
// expired, see watch.UnsettledUntil.
func (h *heldTargets) hold(now, unsettledUntil time.Time, before, listed *routing.TargetSet) (*routing.TargetSet, time.Duration) {
	wait, kept := time.Duration(0), map[string]time.Time{}
	e := listed.Edit()
	for _, ch := range listed.Changes(before) {
		if ch.After != nil || ch.Before.Leaving {
			continue
		}
		until, held := h.until[ch.Before.ID]
		if !held {
			until = now.Add(expiredHold)
			if renewed := unsettledUntil.Add(renewalDelay); renewed.Before(until) {
				until = renewed // an entry that is still missing by then has been removed
			}
		}
		if !held && unsettledUntil.IsZero() || !now.Before(until) {
			continue
		}
		kept[ch.Before.ID] = until
		e.Put(withoutEvacuation(ch.Before))
		if left := until.Sub(now); wait == 0 || left < wait {
			wait = left
		}
	}
	h.until = kept
	if len(kept) == 0 {
		return listed, 0
	}
	return e.Done(listed.Revision), wait
}

// withoutEvacuation returns a target without the mark of an evacuation, which is set anew for each
// published set.
func withoutEvacuation(t *routing.Target) *routing.Target {
	if !t.Evacuated {
		return t
	}
	plain := *t
	plain.Evacuated = false
	return &plain
}
