// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"slices"
	"sort"

	"madderway/core/leaving"
	"madderway/models/routing"
)

// maxRemoved bounds how many removals are remembered for peers.
const maxRemoved = 1024

// targetTable is the list of targets with the revision of each change, so that
// a peer can be told only what it lacks. It knows workers by their names, and of each
// its present life only.
type targetTable struct {
	revision  routing.Revision
	known     map[string]TargetChange
	removed   map[string]routing.Revision
	compacted routing.Revision // horizon is the revision of the newest removal that was forgotten.
	// born holds when the newest life of a worker began that was ever told of, also where
	// it is removed: what an older life says later changes nothing.
	born map[string]int64
	// restarts are those that have followed another one since they were last taken.
	restarts []restart
}

// restart tells that a worker has started again under its name.
type restart struct {
	Name           string
	Born, Previous int64
}

func newTargetTable() *targetTable {
	return &targetTable{known: map[string]TargetChange{}, removed: map[string]routing.Revision{}, born: map[string]int64{}}
}

// resolveIncarnation returns what a worker said as of its newest life, and false where it is an older
// one that said it. One that does not tell its life is taken for the one that is known.
func (t *targetTable) resolveIncarnation(told routing.Target) (routing.Target, bool) {
	name, newest := told.WorkerName(), t.born[told.WorkerName()]
	switch {
	case told.Born == 0 && newest != 0:
		told.Name, told.Born, told.ID = name, newest, routing.TargetID(name, newest)
	case told.Born < newest:
		return told, false
	case told.Born > newest:
		t.born[name] = told.Born
		if _, was := t.known[name]; was {
			t.restarts = append(t.restarts, restart{name, told.Born, newest})
		}
	}
	return told, true
}

// replace makes the table hold exactly these targets, as of a revision, and
// tells whether anything changed.
func (t *targetTable) replace(targets []routing.Target, revision routing.Revision) bool {
	cameBack := t.revision != 0 && revision.Era() > t.revision.Era()
	revision = max(revision, t.revision)
	listed := map[string]bool{}
	changed := cameBack
	for _, told := range targets {
		name := told.WorkerName()
		target, present := t.resolveIncarnation(told)
		old, was := t.known[name]
		listed[name] = present || was
		if !present || was && old.Target == target {
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

// replaceFromStore makes the table hold what the store listed. A life that was taken off the list in an
// earlier era is named again by an older copy; it is taken for there when it writes again.
func (t *targetTable) replaceFromStore(targets []routing.Target, revision routing.Revision) bool {
	if t.revision == 0 || revision.Era() <= t.revision.Era() {
		return t.replace(targets, revision)
	}
	return t.replace(slices.DeleteFunc(targets, func(told routing.Target) bool {
		_, removed := t.removed[told.WorkerName()]
		return removed && told.Born <= t.born[told.WorkerName()]
	}), revision)
}

// apply takes changes and tells whether anything changed. One that is older than
// what is known of its target is passed over.
func (t *targetTable) apply(changes []TargetChange) bool {
	changed := false
	for _, ch := range changes {
		old, was := t.known[ch.ID]
		if was && old.Revision >= ch.Revision && (ch.Gone || ch.Target.Born <= old.Target.Born) || t.removed[ch.ID] >= ch.Revision {
			continue
		}
		ch.Revision = max(ch.Revision, old.Revision) // what an older life says may come first
		t.revision = max(t.revision, ch.Revision)
		if ch.Gone {
			t.remove(ch.ID, ch.Revision)
			changed = changed || was
			continue
		}
		var present bool
		if ch.Target, present = t.resolveIncarnation(ch.Target); !present {
			continue
		}
		t.known[ch.ID] = ch
		delete(t.removed, ch.ID)
		changed = changed || !was || old.Target != ch.Target
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

// targetState is what a peer is told.
type targetState struct {
	Revision routing.Revision `json:"revision"`
	Whole    bool             `json:"whole"` // Whole tells that what is not named is gone.
	Changes  []TargetChange   `json:"changes"`
	// Leaving are the lives that have said that they leave, listed or not.
	Leaving []leaving.Announcement `json:"leaving,omitempty"`
}

// since returns what has changed after a revision.
func (t *targetTable) since(revision routing.Revision) targetState {
	news := targetState{Revision: t.revision, Whole: revision == 0 || revision < t.compacted || revision.Era() != t.revision.Era()}
	for _, ch := range t.known {
		if news.Whole || ch.Revision > revision {
			news.Changes = append(news.Changes, ch)
		}
	}
	for id, r := range t.removed {
		if !news.Whole && r > revision {
			news.Changes = append(news.Changes, TargetChange{ID: id, Revision: r, Gone: true})
		}
	}
	sort.Slice(news.Changes, func(i, j int) bool { return news.Changes[i].ID < news.Changes[j].ID })
	return news
}

// merge takes what a peer told and tells whether anything changed.
func (t *targetTable) merge(news targetState) bool {
	if !news.Whole {
		changed := t.apply(news.Changes)
		t.revision = max(t.revision, news.Revision)
		return changed
	}
	if news.Revision <= t.revision {
		return t.apply(t.newerIncarnations(news.Changes))
	}
	var targets []routing.Target
	for _, ch := range news.Changes {
		targets = append(targets, ch.Target)
	}
	changed := t.replace(targets, news.Revision)
	t.revision = max(t.revision, news.Revision)
	return changed
}

// takeRestarts returns the lives that have followed another one since the last call.
func (t *targetTable) takeRestarts() []restart {
	lives := t.restarts
	t.restarts = nil
	return lives
}

// newerIncarnations returns the changes that tell of newer lives of known workers.
func (t *targetTable) newerIncarnations(changes []TargetChange) []TargetChange {
	var newer []TargetChange
	for _, ch := range changes {
		if old, was := t.known[ch.ID]; was && !ch.Gone && ch.Target.Born > old.Target.Born {
			newer = append(newer, ch)
		}
	}
	return newer
}

// targetSet returns the table as others use it.
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
