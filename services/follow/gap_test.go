// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"slices"
	"testing"

	"madderway/models/routing"
)

// Guards against a list taken for followed without a gap although targets may have been listed and
// removed between two states of it, and against a gap where nothing can have been missed.
func TestUnseenTargetsAreReported(t *testing.T) {
	var gaps []string
	source := newFakeSource()
	s, _ := newConfirming(t, source, 5, routing.Target{ID: "a"})
	s.opts.OnGap = func(reason string, _ routing.Revision) { gaps = append(gaps, reason) }
	changes := func(revision routing.Revision, changes ...TargetChange) {
		s.applyTargetChanges(TargetUpdate{Changes: changes, Stamp: Stamp{Revision: revision}})
	}
	expect := func(what string, want ...string) {
		t.Helper()
		if !slices.Equal(gaps, want) {
			t.Errorf("%s: got gaps %q, want %q", what, gaps, want)
		}
		gaps = nil
	}
	gone := func(revision routing.Revision, name string, unreadable bool) TargetChange {
		return TargetChange{ID: name, Revision: revision, Gone: true, Unreadable: unreadable}
	}
	listed := func(revision routing.Revision, name string) TargetChange {
		return TargetChange{ID: name, Revision: revision, Target: routing.Target{ID: name}}
	}
	changes(6, listed(6, "b"))
	changes(7, gone(7, "b", false))
	changes(7, gone(7, "b", false))
	expect("listed and removed")
	changes(9, gone(9, "c", false))
	expect("removed, never listed", gapUnknownRemoval)
	changes(11, listed(10, "d"), gone(11, "d", false))
	expect("listed and removed within one answer", gapUnknownRemoval)
	changes(13, gone(12, "odd", true), gone(13, "odd", true))
	changes(14, gone(14, "odd", false))
	expect("an entry that is no target")
	changes(20)
	whole := func(revision routing.Revision) {
		s.replaceTargets(TargetUpdate{Targets: []routing.Target{{ID: "a"}}, Stamp: Stamp{Revision: revision}}, s.opts.Clock.Now())
	}
	whole(20)
	expect("the list as of a revision up to which all is known")
	whole(25)
	expect("the list as of a later revision", gapWholeList)
	whole(routing.NewRevision(1, 3))
	expect("the list of a new era of the store")

	other := newTargetTable()
	other.replace([]routing.Target{{ID: "a"}}, 5)
	other.takeGap()
	other.apply([]TargetChange{gone(6, "odd", true)})
	peer := newTargetTable()
	peer.replace([]routing.Target{{ID: "a"}}, 5)
	peer.merge(other.since(5))
	if reason := peer.takeGap(); reason != "" {
		t.Errorf("a peer's entry that is no target: got gap %q, want none", reason)
	}
	other.apply([]TargetChange{gone(8, "c", false)})
	peer.merge(other.since(6))
	if reason := peer.takeGap(); reason != gapUnknownRemoval {
		t.Errorf("a peer's removal of an unknown target: got gap %q, want %q", reason, gapUnknownRemoval)
	}
}
