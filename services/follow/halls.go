// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"sort"
	"time"

	"madderway/models/routing"
)

// hallTable tells which data halls are evacuated. The newest revision of a hall wins,
// whoever tells it, so tables that have heard the same changes in any order agree.
type hallTable struct {
	revision     routing.Revision // revision is that of the newest change.
	halls        map[string]HallChange
	listRevision routing.Revision // read is the revision of the last whole list.
	// held are halls whose evacuation a store that came back older does not have, with when
	// that is believed.
	held map[string]time.Time
}

// evacuationHold is how long a hall stays evacuated that a store which came back older does not
// name: its operator writes what was lost again. To hold too long costs the hall's capacity for
// some seconds, too short sends requests into a hall that nothing may be sent to.
const evacuationHold = 10 * time.Second

func newHallTable() *hallTable {
	return &hallTable{halls: map[string]HallChange{}, held: map[string]time.Time{}}
}

// apply takes changes and returns the halls whose state is another one now.
func (t *hallTable) apply(changes []HallChange) []HallChange {
	var moved []HallChange
	for _, ch := range changes {
		old := t.halls[ch.DataHall]
		if ch.Revision <= old.Revision {
			continue
		}
		t.halls[ch.DataHall] = ch
		delete(t.held, ch.DataHall)
		t.revision = max(t.revision, ch.Revision)
		if ch.Evacuated != old.Evacuated {
			moved = append(moved, ch)
		}
	}
	return moved
}

// replace takes the whole list of evacuated halls as of a revision: a hall that is
// not listed is not evacuated.
func (t *hallTable) replace(now time.Time, listed []HallChange, revision routing.Revision) []HallChange {
	cameBack := t.listRevision != 0 && revision.Era() > t.listRevision.Era()
	t.listRevision = revision
	changes := append([]HallChange(nil), listed...)
	stands := map[string]bool{}
	for _, ch := range listed {
		stands[ch.DataHall] = true
	}
	for hall, old := range t.halls {
		if !old.Evacuated || stands[hall] {
			continue
		}
		if cameBack {
			t.held[hall] = now.Add(evacuationHold)
		}
		if _, held := t.held[hall]; !held {
			changes = append(changes, HallChange{DataHall: hall, Revision: revision})
		}
	}
	return t.apply(changes)
}

// release ends the holds that are over, and returns the halls whose state is another one now.
func (t *hallTable) release(now time.Time) []HallChange {
	var over []HallChange
	for hall, until := range t.held {
		if !now.Before(until) {
			delete(t.held, hall)
			over = append(over, HallChange{DataHall: hall, Revision: t.listRevision})
		}
	}
	return t.apply(over)
}

// nextRelease returns how long it is until the next hold ends, at least a moment, and 0 where
// there is none.
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
