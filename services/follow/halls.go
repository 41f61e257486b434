// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"sort"
	"time"

	"madderway/models/routing"
)

// hallTable holds the evacuation state of each data hall. The newest revision of a hall wins,
// so tables that received the same changes in any order are equal.
type hallTable struct {
	revision     routing.Revision // of the newest change
	halls        map[string]HallChange
	listRevision routing.Revision // of the last whole list
	// Evacuations that are missing after the store was restored from an older copy, with the
	// end of their hold.
	held map[string]time.Time
}

// evacuationHold is the time for which a hall stays evacuated if a restored store lacks its
// evacuation, so that the operator can write it again. A long hold costs the hall's capacity; a
// short one sends requests into an evacuated hall.
const evacuationHold = 10 * time.Second

func newHallTable() *hallTable {
	return &hallTable{halls: map[string]HallChange{}, held: map[string]time.Time{}}
}

// apply applies changes and returns the halls whose state changed.
func (t *hallTable) apply(changes []HallChange) []HallChange {
	var changed []HallChange
	for _, ch := range changes {
		old := t.halls[ch.DataHall]
		if ch.Revision <= old.Revision {
			continue
		}
		t.halls[ch.DataHall] = ch
		delete(t.held, ch.DataHall)
		t.revision = max(t.revision, ch.Revision)
		if ch.Evacuated != old.Evacuated {
			changed = append(changed, ch)
		}
	}
	return changed
}

// replace applies the whole list of evacuated halls as of a revision and returns the halls
// whose state changed. A hall that is not listed is not evacuated.
func (t *hallTable) replace(now time.Time, listed []HallChange, revision routing.Revision) []HallChange {
	restored := t.listRevision != 0 && revision.Era() > t.listRevision.Era()
	t.listRevision = max(t.listRevision, revision)
	changes := append([]HallChange(nil), listed...)
	isListed := map[string]bool{}
	for _, ch := range listed {
		isListed[ch.DataHall] = true
	}
	for hall, old := range t.halls {
		if !old.Evacuated || isListed[hall] || old.Revision > revision {
			continue
		}
		if restored {
			t.held[hall] = now.Add(evacuationHold)
		}
		if _, held := t.held[hall]; !held {
			changes = append(changes, HallChange{DataHall: hall, Revision: revision})
		}
	}
	return t.apply(changes)
}

// release ends the holds that are due and returns the halls whose state changed.
func (t *hallTable) release(now time.Time) []HallChange {
	var ended []HallChange
	for hall, until := range t.held {
		if !now.Before(until) {
			delete(t.held, hall)
			ended = append(ended, HallChange{DataHall: hall, Revision: t.listRevision})
		}
	}
	return t.apply(ended)
}

// nextRelease returns the time until the next hold ends, at least a millisecond, or 0 if there
// are no holds.
func (t *hallTable) nextRelease(now time.Time) time.Duration {
	wait := time.Duration(0)
	for _, until := range t.held {
		if left := max(until.Sub(now), time.Millisecond); wait == 0 || left < wait {
			wait = left
		}
	}
	return wait
}

// all returns every hall that was ever evacuated, sorted by name.
func (t *hallTable) all() []HallChange {
	out := make([]HallChange, 0, len(t.halls))
	for _, ch := range t.halls {
		out = append(out, ch)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].DataHall < out[j].DataHall })
	return out
}

func (t *hallTable) evacuated(hall string) bool { return t.halls[hall].Evacuated }

func (t *hallTable) anyEvacuated() bool {
	for _, ch := range t.halls {
		if ch.Evacuated {
			return true
		}
	}
	return false
}
