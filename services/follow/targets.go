// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"cmp"
	"slices"
	"time"

	"madderway/core/leaving"
	"madderway/models/routing"
)

// minRemoved is the number of removals that are kept for peers in any fleet. A larger one keeps as
// many as it lists targets, so that a release of most of them does not make every peer that is a
// moment behind fetch the whole list.
const minRemoved = 1024

// targetTable is the list of targets with the revision of each change, so that a peer receives
// only the changes it lacks. It is keyed by worker name and holds the newest incarnation of each
// worker.
type targetTable struct {
	revision routing.Revision
	known    map[string]knownTarget
	removed  map[string]routing.Revision
	// unreadable holds the names among removed whose entries are there but name no target.
	unreadable map[string]bool
	compacted  routing.Revision // newest removal that is no longer kept
	listedAt   routing.Revision // of the last whole list
	unseen     revisionGap      // before the last whole list
	complete   routing.Revision // the newest revision as of which the table is complete
	gap        string           // why targets may have passed unnoticed since the last takeGap
	listings   history          // of known
	removals   history          // of removed
	// Start time of the newest incarnation of each worker, including removed ones; reports of
	// older incarnations are ignored.
	born     map[string]int64
	restarts []restart          // since the last takeRestarts
	listed   *routing.TargetSet // known as of the last targetSet
	unlisted map[string]bool    // workers changed since then
	leaving  int                // known targets that leave
	changes  uint64             // changes of any content so far
	lastCold time.Time          // end of the last cold period
}

// knownTarget is the state of a listed worker. The target is shared with published sets, so it is
// replaced, never changed.
type knownTarget struct {
	Revision routing.Revision
	Target   *routing.Target
}

// get returns a known worker's target, or an empty one.
func (k knownTarget) get() routing.Target {
	if k.Target == nil {
		return routing.Target{}
	}
	return *k.Target
}

// restart is the start of a new incarnation of a known worker.
type restart struct {
	Name           string
	Born, Previous int64
}

func newTargetTable() *targetTable {
	return &targetTable{
		known: map[string]knownTarget{}, removed: map[string]routing.Revision{}, unreadable: map[string]bool{}, born: map[string]int64{},
		listed: routing.NewTargetSet(0), unlisted: map[string]bool{},
	}
}

// set sets the state of a worker as of a revision.
func (t *targetTable) set(name string, revision routing.Revision, target routing.Target) {
	old, found := t.known[name]
	if !found || old.Revision != revision {
		t.listings.add(revision, name)
	}
	if !found || *old.Target != target {
		t.countLeaving(old, -1)
		old.Target = &target
		t.countLeaving(old, 1)
		t.unlisted[name] = true
		t.changes++
		if target.ColdUntil.After(t.lastCold) {
			t.lastCold = target.ColdUntil
		}
	}
	t.known[name] = knownTarget{revision, old.Target}
	delete(t.removed, name)
	delete(t.unreadable, name)
}

func (t *targetTable) countLeaving(k knownTarget, by int) {
	if k.Target != nil && k.Target.Leaving {
		t.leaving += by
	}
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

// isOlder reports whether a whole list as of a revision is older than the table, which includes each
// change up to its own revision.
func (t *targetTable) isOlder(revision routing.Revision) bool {
	return revision < max(t.revision, t.listedAt)
}

// replace makes the table hold exactly the given targets as of a revision and reports whether
// anything changed. An older list changes nothing.
func (t *targetTable) replace(targets []routing.Target, revision routing.Revision) bool {
	if t.isOlder(revision) {
		return false
	}
	if t.missesBefore(revision) {
		t.gap = gapWholeList
	}
	t.listedAt = revision
	t.noteUnseen(revisionGap{t.revision, revision})
	restored := t.revision != 0 && revision.Era() > t.revision.Era()
	listed := map[string]bool{}
	changed := restored
	for _, reported := range targets {
		name := reported.WorkerName()
		target, present := t.resolveIncarnation(reported)
		old, found := t.known[name]
		listed[name] = present || found
		if !present || found && *old.Target == target {
			continue
		}
		t.set(name, revision, target)
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

// includes reports whether the table includes a change: its target has a state as new as the change,
// or the last whole list was as new. A newer incarnation is never included before it is known.
func (t *targetTable) includes(ch TargetChange) bool {
	old, found := t.known[ch.ID]
	switch {
	case found && !ch.Gone && ch.Target.Born > old.Target.Born:
		return false
	case found && old.Revision >= ch.Revision, t.removed[ch.ID] >= ch.Revision, t.listedAt >= ch.Revision:
		return true
	default:
		// The removal may be forgotten, or was never known.
		return !found && max(t.compacted, t.unseen.Before) >= ch.Revision
	}
}

// apply applies changes and reports whether anything changed.
func (t *targetTable) apply(changes []TargetChange) bool {
	changed := false
	for _, ch := range changes {
		if t.includes(ch) {
			continue
		}
		old, found := t.known[ch.ID]
		ch.Revision = max(ch.Revision, old.Revision) // a change of an older incarnation may be applied first
		t.revision = max(t.revision, ch.Revision)
		if ch.Gone {
			if t.passesUnseen(ch) {
				t.gap = gapUnknownRemoval
			}
			t.remove(ch.ID, ch.Revision)
			if ch.Unreadable {
				t.unreadable[ch.ID] = true
			}
			changed = changed || found
			continue
		}
		var present bool
		if ch.Target, present = t.resolveIncarnation(ch.Target); !present {
			continue
		}
		changed = changed || !found || *old.Target != ch.Target
		t.set(ch.ID, ch.Revision, ch.Target)
	}
	return changed
}

func (t *targetTable) remove(id string, revision routing.Revision) {
	if old, found := t.known[id]; found {
		t.countLeaving(old, -1)
		t.unlisted[id] = true
		delete(t.known, id)
	}
	if t.removed[id] != revision {
		t.removals.add(revision, id)
	}
	t.removed[id] = revision
	delete(t.unreadable, id)
	t.changes++
	t.compact()
}

// compact forgets the oldest removals beyond the limit.
func (t *targetTable) compact() {
	for len(t.removed) > max(minRemoved, len(t.known)) {
		oldest := t.removals.takeOldest()
		if !t.isRemoval(oldest) {
			continue
		}
		t.compacted = max(t.compacted, oldest.revision)
		delete(t.removed, oldest.name)
		delete(t.unreadable, oldest.name)
		delete(t.born, oldest.name)
	}
	t.removals.tidy(len(t.removed), t.isRemoval)
	t.listings.tidy(len(t.known), t.isListing)
}

// isListing and isRemoval report whether an entry is the latest change of its worker.
func (t *targetTable) isListing(e historyEntry) bool {
	k, found := t.known[e.name]
	return found && k.Revision == e.revision
}

func (t *targetTable) isRemoval(e historyEntry) bool {
	revision, found := t.removed[e.name]
	return found && revision == e.revision
}

// targetState is the part of a state that a peer fetches about targets.
type targetState struct {
	Revision routing.Revision       `json:"revision"`
	Whole    bool                   `json:"whole"` // targets that are not in Changes are removed
	Changes  []TargetChange         `json:"changes"`
	Unseen   revisionGap            `json:"unseen"`
	Leaving  []leaving.Announcement `json:"leaving,omitempty"` // including incarnations that are not listed
}

// since returns what a peer that has the given revision lacks. It looks only at the changes since.
func (t *targetTable) since(revision routing.Revision) targetState {
	state := targetState{Revision: t.revision, Whole: t.needsWhole(revision), Unseen: t.unseen}
	if state.Whole {
		for name, k := range t.known {
			state.Changes = append(state.Changes, TargetChange{ID: name, Revision: k.Revision, Target: *k.Target})
		}
	} else {
		state.Changes = t.changesSince(revision)
	}
	slices.SortFunc(state.Changes, func(a, b TargetChange) int { return cmp.Compare(a.ID, b.ID) })
	return state
}

func (t *targetTable) changesSince(revision routing.Revision) []TargetChange {
	var changes []TargetChange
	for _, e := range t.listings.since(revision) {
		if t.isListing(e) {
			changes = append(changes, TargetChange{ID: e.name, Revision: e.revision, Target: *t.known[e.name].Target})
		}
	}
	for _, e := range t.removals.since(revision) {
		if t.isRemoval(e) {
			changes = append(changes, TargetChange{ID: e.name, Revision: e.revision, Gone: true, Unreadable: t.unreadable[e.name]})
		}
	}
	return changes
}

// merge applies a peer's state and reports whether anything changed.
func (t *targetTable) merge(state targetState) bool {
	if !state.Whole {
		return t.mergeChanges(state)
	}
	if state.Revision == t.revision || t.isOlder(state.Revision) {
		return t.apply(t.newerIncarnations(state.Changes))
	}
	targets := make([]routing.Target, 0, len(state.Changes))
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

// targetSet returns the listed targets and the number of those that leave. Its cost depends on the
// number of changes since the last call.
func (t *targetTable) targetSet() (set *routing.TargetSet, leaving int) {
	e := t.listed.Edit()
	for name := range t.unlisted {
		if k, found := t.known[name]; found {
			e.Put(k.Target)
		} else {
			e.Remove(name)
		}
	}
	clear(t.unlisted)
	t.listed = e.Done(t.revision)
	return t.listed, t.leaving
}
