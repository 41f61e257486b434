// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"slices"
	"sort"

	"madderway/core/leaving"
	"madderway/models/routing"
)

// maxRemoved bounds the number of removals that are kept for peers.
const maxRemoved = 1024

// targetTable is the list of targets with the revision of each change, so that a peer receives
// only the changes it lacks. It is keyed by worker name and holds the newest incarnation of each
// worker.
type targetTable struct {
	revision  routing.Revision
	known     map[string]TargetChange
	removed   map[string]routing.Revision
	compacted routing.Revision // newest removal that is no longer kept
	// Start time of the newest incarnation of each worker, including removed ones; reports of
	// older incarnations are ignored.
	born     map[string]int64
	restarts []restart // since the last takeRestarts
}

// restart is the start of a new incarnation of a known worker.
type restart struct {
	Name           string
	Born, Previous int64
}

func newTargetTable() *targetTable {
	return &targetTable{known: map[string]TargetChange{}, removed: map[string]routing.Revision{}, born: map[string]int64{}}
}

// resolveIncarnation records the incarnation of a reported target. It returns false if a newer
// one is known, and fills in the known one if the report names none.
func (t *targetTable) resolveIncarnation(reported routing.Target) (routing.Target, bool) {
	name, newest := reported.WorkerName(), t.born[reported.WorkerName()]
	switch {
	case reported.Born == 0 && newest != 0:
		reported.Name, reported.Born, reported.ID = name, newest, routing.TargetID(name, newest)
	case reported.Born < newest:
		return reported, false
	case reported.Born > newest:
		t.born[name] = reported.Born
		if _, found := t.known[name]; found {
			t.restarts = append(t.restarts, restart{name, reported.Born, newest})
		}
	}
	return reported, true
}

// replace makes the table hold exactly the given targets as of a revision and reports whether
// anything changed.
func (t *targetTable) replace(targets []routing.Target, revision routing.Revision) bool {
	restored := t.revision != 0 && revision.Era() > t.revision.Era()
	revision = max(revision, t.revision)
	listed := map[string]bool{}
	changed := restored
	for _, reported := range targets {
		name := reported.WorkerName()
		target, present := t.resolveIncarnation(reported)
		old, found := t.known[name]
		listed[name] = present || found
		if !present || found && old.Target == target {
			continue
		}
		t.known[name] = TargetChange{ID: name, Revision: revision, Target: target}
		delete(t.removed, name)
		changed = true
	}
	for id := range t.known {
		if !listed[id] {
			t.remove(id, revision)
			changed = true
		}
	}
	if changed {
		t.revision = revision
	}
	return changed
}

// replaceFromStore replaces the table by a list of the store. A store restored from an older
// copy may list removed incarnations; these are ignored until they are written again.
func (t *targetTable) replaceFromStore(targets []routing.Target, revision routing.Revision) bool {
	if t.revision == 0 || revision.Era() <= t.revision.Era() {
		return t.replace(targets, revision)
	}
	return t.replace(slices.DeleteFunc(targets, func(reported routing.Target) bool {
		_, removed := t.removed[reported.WorkerName()]
		return removed && reported.Born <= t.born[reported.WorkerName()]
	}), revision)
}

// apply applies changes and reports whether anything changed. Changes older than the known
// state of their target are ignored.
func (t *targetTable) apply(changes []TargetChange) bool {
	changed := false
	for _, ch := range changes {
		old, found := t.known[ch.ID]
		if found && old.Revision >= ch.Revision && (ch.Gone || ch.Target.Born <= old.Target.Born) || t.removed[ch.ID] >= ch.Revision {
			continue
		}
		ch.Revision = max(ch.Revision, old.Revision) // a change of an older incarnation may be applied first
		t.revision = max(t.revision, ch.Revision)
		if ch.Gone {
			t.remove(ch.ID, ch.Revision)
			changed = changed || found
			continue
		}
		var present bool
		if ch.Target, present = t.resolveIncarnation(ch.Target); !present {
			continue
		}
		t.known[ch.ID] = ch
		delete(t.removed, ch.ID)
		changed = changed || !found || old.Target != ch.Target
	}
	return changed
}

func (t *targetTable) remove(id string, revision routing.Revision) {
	delete(t.known, id)
	t.removed[id] = revision
	for len(t.removed) > maxRemoved {
		oldest := id
		for other, r := range t.removed {
			if r < t.removed[oldest] {
				oldest = other
			}
		}
		t.compacted = max(t.compacted, t.removed[oldest])
		delete(t.removed, oldest)
		delete(t.born, oldest)
	}
}

// targetState is the part of a state that a peer fetches about targets.
type targetState struct {
	Revision routing.Revision       `json:"revision"`
	Whole    bool                   `json:"whole"` // targets that are not in Changes are removed
	Changes  []TargetChange         `json:"changes"`
	Leaving  []leaving.Announcement `json:"leaving,omitempty"` // including incarnations that are not listed
}

// since returns the changes after a revision, or the whole table if they are not all known.
func (t *targetTable) since(revision routing.Revision) targetState {
	state := targetState{Revision: t.revision, Whole: revision == 0 || revision < t.compacted || revision.Era() != t.revision.Era()}
	for _, ch := range t.known {
		if state.Whole || ch.Revision > revision {
			state.Changes = append(state.Changes, ch)
		}
	}
	for id, r := range t.removed {
		if !state.Whole && r > revision {
			state.Changes = append(state.Changes, TargetChange{ID: id, Revision: r, Gone: true})
		}
	}
	sort.Slice(state.Changes, func(i, j int) bool { return state.Changes[i].ID < state.Changes[j].ID })
	return state
}

// merge applies a peer's state and reports whether anything changed.
func (t *targetTable) merge(state targetState) bool {
	if !state.Whole {
		changed := t.apply(state.Changes)
		t.revision = max(t.revision, state.Revision)
		return changed
	}
	if state.Revision <= t.revision {
		return t.apply(t.newerIncarnations(state.Changes))
	}
	var targets []routing.Target
	for _, ch := range state.Changes {
		targets = append(targets, ch.Target)
	}
	changed := t.replace(targets, state.Revision)
	t.revision = max(t.revision, state.Revision)
	return changed
}

// takeRestarts returns the restarts since the last call.
func (t *targetTable) takeRestarts() []restart {
	taken := t.restarts
	t.restarts = nil
	return taken
}

// newerIncarnations returns the changes that report newer incarnations of known workers.
func (t *targetTable) newerIncarnations(changes []TargetChange) []TargetChange {
	var newer []TargetChange
	for _, ch := range changes {
		if old, found := t.known[ch.ID]; found && !ch.Gone && ch.Target.Born > old.Target.Born {
			newer = append(newer, ch)
		}
	}
	return newer
}

// targetSet returns the targets of the table and the number of those that leave.
func (t *targetTable) targetSet() (set *routing.TargetSet, leaving int) {
	set = &routing.TargetSet{Revision: t.revision}
	for _, ch := range t.known {
		set.Targets = append(set.Targets, ch.Target)
		if ch.Target.Leaving {
			leaving++
		}
	}
	return set.BuildIndex(), leaving
}
