// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"encoding/json"
	"fmt"
	"testing"

	"madderway/models/routing"
)

// Guards against a delayed answer to the first read of the store that undoes what peers have told
// meanwhile: a leaving target gets requests again.
func TestDelayedListDoesNotUndoNewsOfPeers(t *testing.T) {
	news, err := json.Marshal(targetState{Revision: 9, Whole: true, Changes: []TargetChange{
		change(9, incarnation("leaves", 100, true)), change(8, incarnation("added", 100, false)), change(7, incarnation("reborn", 200, false)),
	}})
	if err != nil {
		t.Fatal(err)
	}
	source := newFakeSource()
	source.release = make(chan struct{})
	source.version, source.targets = 6, []routing.Target{incarnation("leaves", 100, false), incarnation("removed", 100, false), incarnation("reborn", 100, false)}
	h := start(t, source, fakePeers{"peer/targets": news})
	for source.readCount() == 0 {
		h.clock.Advance(minRecheck)
	}
	h.ObservePeerVersions("peer", Versions{Targets: 9})
	awaitState(h, "leaves", "leaving")
	close(source.release)
	if since := h.nextWatch(); since != 6 {
		t.Errorf("watch begins after revision %v, want 6, that of the list", since)
	}
	for name, want := range map[string]string{"leaves": "leaving", "added": "ready", "removed": "gone", "reborn": "ready"} {
		if got := stateOf(h, name); got != want {
			t.Errorf("after the delayed list %s is %s, want %s", name, got, want)
		}
	}
	if born := h.Targets().FindWorker("reborn").Born; born != 200 {
		t.Errorf("got the incarnation of %d, want that of 200", born)
	}
	source.changes <- watchAnswer{revision: 10, changes: []TargetChange{
		change(8, incarnation("added", 100, false)), {ID: "removed", Revision: 8, Gone: true}, change(9, incarnation("leaves", 100, true)), {ID: "added", Revision: 10, Gone: true},
	}}
	awaitState(h, "added", "gone")
	if got := stateOf(h, "leaves"); got != "leaving" {
		t.Errorf("after the feed leaves is %s, want leaving", got)
	}
}

// Guards against a list of the store's former era that is applied after a peer has told of a new one.
func TestListOfFormerEraIsIgnored(t *testing.T) {
	table := newTargetTable()
	table.replace([]routing.Target{incarnation("a", 100, false)}, rev(1, 40))
	table.merge(targetState{Revision: rev(2, 7), Whole: true, Changes: []TargetChange{change(rev(2, 7), incarnation("a", 100, true))}})
	if table.replaceFromStore([]routing.Target{incarnation("a", 100, false), incarnation("b", 100, false)}, rev(1, 41)) {
		t.Error("a list of a former era changed the table")
	}
	if table.apply([]TargetChange{change(rev(1, 42), incarnation("b", 100, false))}) {
		t.Error("a change of a former era was applied")
	}
}

// Guards against a removal that is forgotten, so that an older change adds the target again.
func TestOlderChangeDoesNotAddForgottenTarget(t *testing.T) {
	table := newTargetTable()
	for i := range minRemoved + 10 {
		id := fmt.Sprint("t", i)
		table.apply([]TargetChange{{ID: id, Revision: routing.Revision(2*i + 1), Target: routing.Target{ID: id}}, {ID: id, Revision: routing.Revision(2*i + 2), Gone: true}})
	}
	if table.apply([]TargetChange{{ID: "t0", Revision: 1, Target: routing.Target{ID: "t0"}}}) {
		t.Error("a target is added whose removal is forgotten")
	}
}
