// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import "madderway/models/routing"

// revisionGap is a range of revisions, without its ends, in which targets may have been added and
// removed unnoticed: a whole list tells nothing of them. State fetched by peers uses the field names.
type revisionGap struct {
	After  routing.Revision `json:"after"`
	Before routing.Revision `json:"before"`
}

func (g revisionGap) contains(revision routing.Revision) bool {
	return g.After < revision && revision < g.Before
}

// noteUnseen records a gap before the revision that the table is about to have. A peer with a copy
// from the gap may list targets whose removal is not known here. Only the last gap is kept: copies
// from before the end of an earlier one count as too old for changes.
func (t *targetTable) noteUnseen(g revisionGap) {
	if g == t.unseen {
		return
	}
	t.compacted = max(t.compacted, t.unseen.Before)
	t.unseen = g
}

// needsWhole reports whether a peer that has the given revision needs the whole list.
func (t *targetTable) needsWhole(revision routing.Revision) bool {
	return revision == 0 || revision < t.compacted || t.unseen.contains(revision) || revision.Era() != t.revision.Era()
}

// mergeChanges applies the changes that a peer sent to a table that lacked them, and reports whether
// anything changed.
func (t *targetTable) mergeChanges(state targetState) bool {
	unseen := state.Unseen
	if unseen.contains(t.revision) {
		return false // the table was older when it asked
	}
	unseen.Before = min(unseen.Before, state.Revision)
	isNews := t.revision < unseen.Before
	changed := t.apply(state.Changes)
	if isNews {
		t.noteUnseen(unseen)
	}
	t.revision = max(t.revision, state.Revision)
	return changed
}

// Reasons for which targets may have been listed and removed unnoticed.
const (
	gapWholeList      = "a whole list in place of changes"
	gapUnknownRemoval = "the removal of a target that was not known"
)

// missesBefore reports whether targets may have been listed and removed between the table and a whole list
// as of a revision. A store that was restored tells nothing of its former era; its list is unsettled.
func (t *targetTable) missesBefore(revision routing.Revision) bool {
	return t.revision != 0 && revision.Era() == t.revision.Era() && revision > max(t.revision, t.complete)
}

// passesUnseen reports whether the removal of a target is the first that is published of it. Entries that
// name no target begin and end without one.
func (t *targetTable) passesUnseen(removal TargetChange) bool {
	return !removal.Unreadable && !t.unreadable[removal.ID] && t.listed.FindWorker(removal.ID) == nil
}

// takeGap returns the reason for which targets may have passed unnoticed since the last call, empty if
// there is none.
func (t *targetTable) takeGap() string {
	taken := t.gap
	t.gap = ""
	return taken
}

// reportGap tells of targets that may have passed unnoticed; the caller holds mu.
func (s *Service) reportGap() {
	if reason := s.table.takeGap(); reason != "" && s.opts.OnGap != nil {
		s.opts.OnGap(reason, s.table.revision)
	}
}
