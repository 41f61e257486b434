// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"encoding/json"
	"testing"
	"time"

	"madderway/core/leaving"
	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/services/notice"
	"madderway/services/upstream"
)

// follows starts a service that hears what targets say of themselves.
func follows(t *testing.T, source *fakeSource, peers Peers) (*harness, *notice.Service) {
	t.Helper()
	var h *harness
	notices := notice.New(log.New("notice"), notice.Options{Clock: clock.NewFake(), OnLeaving: func() { h.LeavingChanged() }})
	h = startWith(t, source, peers, notices)
	return h, notices
}

func leaves(h *harness, id string) bool {
	target := h.Targets().Find(id)
	return target != nil && target.Leaving
}

// What an answer says holds at once and outlasts every list: the store's next whole one, its
// changes, and one that names the target again after it was gone. A new life is ready.
func TestWordOfAnAnswerOutlastsTheStore(t *testing.T) {
	source := newFakeSource()
	source.version, source.targets = 5, []routing.Target{lifeOf("a", 100, false), lifeOf("b", 100, false)}
	h, notices := follows(t, source, nil)
	h.await()
	h.watched()
	a := h.Targets().Find(routing.TargetID("a", 100))
	before := h.Versions().Leaving
	notices.Answered(a, upstream.AnswerInfo{Leaving: true})
	<-h.changed
	if !leaves(h, a.ID) || leaves(h, routing.TargetID("b", 100)) || before != 0 || h.Versions().Leaving == 0 {
		t.Fatalf("%+v, digest %d and %d", h.Targets().Targets, before, h.Versions().Leaving)
	}
	for i, changes := range [][]TargetChange{
		{change(6, lifeOf("a", 100, false)), change(6, lifeOf("c", 100, false))},
		{{ID: "a", Revision: 7, Gone: true}},
		{change(8, lifeOf("a", 100, false))},
	} {
		source.changes <- watchAnswer{revision: routing.Revision(6 + i), changes: changes}
		h.await()
		if target := h.Targets().Find(a.ID); target != nil && !target.Leaving {
			t.Errorf("after change %d it is taken for ready", i)
		}
		h.watched()
	}
	source.changes <- watchAnswer{revision: 9, changes: []TargetChange{change(9, lifeOf("a", 200, false))}}
	h.await()
	if leaves(h, routing.TargetID("a", 200)) || h.Versions().Leaving != 0 {
		t.Error("a new life of the target is taken for leaving")
	}
}

// A gateway hears from a peer what answers have told there, though both know the same list, and
// asks once for it.
func TestPeerTellsOfTargetsThatLeave(t *testing.T) {
	id := routing.TargetID("a", 100)
	told, err := json.Marshal(targetNews{Revision: 5, Leaving: []leaving.Announcement{{ID: id, Age: time.Second}}})
	if err != nil {
		t.Fatal(err)
	}
	source := newFakeSource()
	source.version, source.targets = 5, []routing.Target{lifeOf("a", 100, false)}
	h, _ := follows(t, source, fakePeers{"peer/targets": told})
	h.await()
	h.watched()
	theirs := leaving.Digest(id)
	h.PeerVersions("peer", Versions{Targets: 5, Leaving: theirs})
	h.await()
	if !leaves(h, id) || h.Versions().Leaving != theirs {
		t.Errorf("%+v, digest %d, want %d", h.Targets().Targets, h.Versions().Leaving, theirs)
	}
	content, err := h.State(StateWanted{Targets: true, Since: 5})
	if err != nil {
		t.Fatal(err)
	}
	var state targetNews
	if err := json.Unmarshal(content, &state); err != nil || len(state.Leaving) != 1 || state.Leaving[0].ID != id {
		t.Errorf("a third gateway is told %s, %v", content, err)
	}
}

// A peer whose list differs is not asked again and again for what it knows.
func TestPeerIsAskedOnceForTargetsThatLeave(t *testing.T) {
	var asked leavingAsked
	now := time.Unix(1_700_000_000, 0)
	for i, c := range []struct {
		after        time.Duration
		mine, theirs uint64
		want         bool
	}{
		{0, 0, 7, true},
		{time.Millisecond, 0, 7, false},
		{2 * time.Millisecond, 3, 7, true},
		{3 * time.Millisecond, 7, 7, false},
		{4 * time.Millisecond, 3, 0, false},
		{leavingAgain + 2*time.Millisecond, 3, 7, true},
	} {
		if due := asked.due(now.Add(c.after), c.mine, c.theirs); due != c.want {
			t.Errorf("%d: %v", i, due)
		}
	}
}
