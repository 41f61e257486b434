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

// startWithNotices starts a service that learns from answers which targets leave.
func startWithNotices(t *testing.T, source *fakeSource, peers Peers) (*harness, *notice.Service) {
	t.Helper()
	var h *harness
	notices := notice.New(log.New("notice"), notice.Options{Clock: clock.NewFake(), OnLeaving: func() { h.LeavingChanged() }})
	h = startWith(t, source, peers, notices)
	return h, notices
}

func isLeaving(h *harness, id string) bool {
	target := h.Targets().Find(id)
	return target != nil && target.Leaving
}

// Guards against a store that lists a target as ready after the target announced in an answer
// that it leaves. A new incarnation is ready.
func TestLeavingFromAnswerOutlastsStoreLists(t *testing.T) {
	source := newFakeSource()
	source.version, source.targets = 5, []routing.Target{incarnation("a", 100, false), incarnation("b", 100, false)}
	h, notices := startWithNotices(t, source, nil)
	h.await()
	h.nextWatch()
	a := h.Targets().Find(routing.TargetID("a", 100))
	before := h.Versions().Leaving
	notices.Answered(a, upstream.AnswerInfo{Leaving: true})
	<-h.changed
	if !isLeaving(h, a.ID) || isLeaving(h, routing.TargetID("b", 100)) || before != 0 || h.Versions().Leaving == 0 {
		t.Fatalf("targets %+v, digests %d and %d, want only a leaving", h.Targets().ByService(""), before, h.Versions().Leaving)
	}
	for i, changes := range [][]TargetChange{
		{change(6, incarnation("a", 100, false)), change(6, incarnation("c", 100, false))},
		{{ID: "a", Revision: 7, Gone: true}},
		{change(8, incarnation("a", 100, false))},
	} {
		source.changes <- watchAnswer{revision: routing.Revision(6 + i), changes: changes}
		h.await()
		if target := h.Targets().Find(a.ID); target != nil && !target.Leaving {
			t.Errorf("target is ready after change %d, want it leaving", i)
		}
		h.nextWatch()
	}
	source.changes <- watchAnswer{revision: 9, changes: []TargetChange{change(9, incarnation("a", 200, false))}}
	h.await()
	if isLeaving(h, routing.TargetID("a", 200)) || h.Versions().Leaving != 0 {
		t.Error("new incarnation is marked as leaving")
	}
}

// Guards against a leaving target that stays unknown here although a peer with the same list
// knows of it.
func TestLeavingTargetsFromPeer(t *testing.T) {
	id := routing.TargetID("a", 100)
	peerState, err := json.Marshal(targetState{Revision: 5, Leaving: []leaving.Announcement{{ID: id, Age: time.Second}}})
	if err != nil {
		t.Fatal(err)
	}
	source := newFakeSource()
	source.version, source.targets = 5, []routing.Target{incarnation("a", 100, false)}
	h, _ := startWithNotices(t, source, fakePeers{"peer/targets": peerState})
	h.await()
	h.nextWatch()
	theirs := leaving.Digest(id)
	h.ObservePeerVersions("peer", Versions{Targets: 5, Leaving: theirs})
	h.await()
	if !isLeaving(h, id) || h.Versions().Leaving != theirs {
		t.Errorf("targets %+v, digest %d, want %d", h.Targets().ByService(""), h.Versions().Leaving, theirs)
	}
	content, err := h.State(StateRequest{Targets: true, Since: 5})
	if err != nil {
		t.Fatal(err)
	}
	var state targetState
	if err := json.Unmarshal(content, &state); err != nil || len(state.Leaving) != 1 || state.Leaving[0].ID != id {
		t.Errorf("state for a third gateway %s, %v, want it to include target a", content, err)
	}
}

// Guards against a fetch at every heartbeat of a peer whose list of targets differs.
func TestLeavingFetchIsRateLimited(t *testing.T) {
	var last leavingFetch
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
		{leavingFetchInterval + 2*time.Millisecond, 3, 7, true},
	} {
		if due := last.due(now.Add(c.after), c.mine, c.theirs); due != c.want {
			t.Errorf("case %d: due %v, want the opposite", i, due)
		}
	}
}
