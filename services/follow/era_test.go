// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/services/notice"
)

func in(era, number uint64) routing.Revision { return routing.NewRevision(era, number) }

func stateOf(h *harness, name string) string {
	t := h.Targets().FindWorker(name)
	switch {
	case t == nil:
		return "gone"
	case t.Leaving:
		return "leaves"
	default:
		return "ready"
	}
}

// become lets time pass until a worker is seen as wanted.
func become(h *harness, name, want string) {
	for stateOf(h, name) != want {
		select {
		case <-h.changed:
		default:
			h.clock.Advance(minRecheck)
			runtime.Gosched()
		}
	}
}

// A store came back from a copy that was some seconds old and counted on from there. What a
// gateway knew was stamped with the later numbers of before: with a list of version 500 known
// and the store back at 480, a target that left at 483, one that was taken off at 484 and an
// evacuation at 485 were passed over until the count had passed 500. Each change after the
// return holds at once, whatever its number, and what was known of lives is not undone.
func TestChangesApplyAfterStoreRestore(t *testing.T) {
	source := newFakeSource()
	source.version = in(1, 500)
	source.targets = []routing.Target{
		lifeOf("a", 100, false), lifeOf("b", 100, false), lifeOf("left", 100, true), lifeOf("reborn", 200, false), lifeOf("new", 100, false), lifeOf("old", 100, false),
	}
	source.config = &routing.Configuration{Version: 9}
	var h *harness
	notices := notice.New(log.New("notice"), notice.Options{Clock: clock.NewFake(), OnLeaving: func() { h.LeavingChanged() }})
	h = startWith(t, source, nil, notices)
	h.await()
	h.watched()
	source.changes <- watchAnswer{revision: in(1, 501), changes: []TargetChange{{ID: "old", Revision: in(1, 501), Gone: true}}}
	become(h, "old", "gone")
	h.watched()
	for h.Index() == nil {
		h.clock.Advance(minRecheck)
		runtime.Gosched()
	}
	source.mu.Lock()
	source.version = in(2, 480)
	source.targets = []routing.Target{
		lifeOf("a", 100, false), lifeOf("b", 100, false), lifeOf("left", 100, false), lifeOf("reborn", 100, false), lifeOf("old", 100, false),
	}
	source.config = &routing.Configuration{Version: 8}
	source.mu.Unlock()
	// What answers a call of before names the new era, and its changes lie between others.
	source.changes <- watchAnswer{revision: in(2, 481), changes: []TargetChange{change(in(2, 481), lifeOf("b", 100, false))}}
	if since := h.watched(); since != in(2, 480) {
		t.Fatalf("goes on at %v", since)
	}
	for name, want := range map[string]string{"a": "ready", "b": "ready", "left": "leaves", "reborn": "ready", "old": "gone"} {
		if got := stateOf(h, name); got != want {
			t.Errorf("right after the return %s is %s, want %s", name, got, want)
		}
	}
	if h.Targets().FindWorker("reborn").Born != 200 {
		t.Error("an older life is back")
	}
	source.changes <- watchAnswer{revision: in(2, 484), changes: []TargetChange{
		change(in(2, 483), lifeOf("a", 100, true)), {ID: "b", Revision: in(2, 484), Gone: true}, change(in(2, 482), lifeOf("old", 100, false)),
	}}
	for name, want := range map[string]string{"a": "leaves", "b": "gone", "old": "ready"} {
		become(h, name, want)
	}
	if v := h.Index().Configuration.Version; v != 9 {
		t.Errorf("configuration %d is in force", v)
	}
	become(h, "new", "gone") // it was held for a while, and nobody has written it again
}

// An answer of an older era is late, and changes nothing.
func TestLateAnswerOfOlderEraIsIgnored(t *testing.T) {
	source := newFakeSource()
	source.version, source.targets = in(2, 10), []routing.Target{{ID: "a"}}
	h := start(t, source, nil)
	h.await()
	h.watched()
	source.changes <- watchAnswer{revision: in(1, 900), changes: []TargetChange{{ID: "a", Revision: in(1, 900), Gone: true}}}
	if since := h.watched(); since != in(2, 10) {
		t.Errorf("goes on at %v", since)
	}
	if h.Targets().Find("a") == nil {
		t.Error("a change of an older era was taken")
	}
}

// Evacuations hold on for a while that an older copy does not have, and one that it has and that
// was over stands until it is written anew that it is not.
func TestEvacuationsAfterStoreRestore(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	table := newHallTable()
	table.replace(now, nil, in(1, 10))
	table.apply([]HallChange{{DataHall: "lost", Revision: in(1, 20), Evacuated: true}, {DataHall: "over", Revision: in(1, 15), Evacuated: true}, {DataHall: "over", Revision: in(1, 21)}})
	table.apply([]HallChange{{DataHall: "again", Revision: in(1, 22), Evacuated: true}})
	table.replace(now, []HallChange{{DataHall: "over", Revision: in(2, 15), Evacuated: true}}, in(2, 16))
	if !table.evacuated("lost") || !table.evacuated("over") || !table.evacuated("again") {
		t.Errorf("%+v", table.all())
	}
	table.apply([]HallChange{{DataHall: "again", Revision: in(2, 17), Evacuated: true}, {DataHall: "over", Revision: in(2, 18)}})
	if moved := table.release(now.Add(evacuationHold - time.Second)); len(moved) > 0 {
		t.Errorf("released early: %+v", moved)
	}
	if wait := table.nextRelease(now.Add(evacuationHold - time.Second)); wait != time.Second || !table.evacuated("lost") || table.evacuated("over") {
		t.Errorf("%+v, released after %v", table.all(), wait)
	}
	moved := table.release(now.Add(evacuationHold))
	if len(moved) != 1 || table.evacuated("lost") || !table.evacuated("again") {
		t.Errorf("%+v after the hold, moved %+v", table.all(), moved)
	}
	if table.replace(now, nil, in(2, 30)); table.evacuated("again") {
		t.Error("within an era a hall that is not listed is not evacuated")
	}
}

// Peers agree after one exchange, whichever era each of them knows, and nobody takes a list of
// an older era for fresh.
func TestPeersConvergeAcrossEras(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 7))
		older, newer := newTargetTable(), newTargetTable()
		older.replace([]routing.Target{lifeOf("a", 1, false), lifeOf("b", 1, rng.IntN(2) == 0)}, in(1, 400+rng.Uint64N(200)))
		newer.replace([]routing.Target{lifeOf("a", 1, false), lifeOf("c", 1, false)}, in(1, 300))
		newer.replaceFromStore([]routing.Target{lifeOf("a", 1, rng.IntN(2) == 0)}, in(2, 100+rng.Uint64N(600)))
		back := older.since(newer.revision)
		older.merge(newer.since(older.revision))
		newer.merge(back)
		want := map[string]routing.Target{"a": newer.known["a"].Target}
		if !older.equals(want) || !newer.equals(want) || older.revision != newer.revision {
			t.Errorf("seed %d: %v %+v and %v %+v", seed, older.revision, older.known, newer.revision, newer.known)
		}
	}
	c := clock.NewFake()
	s := knowing(c)
	c.Advance(10 * time.Second)
	old := s.Versions()
	s.table.replaceFromStore([]routing.Target{{ID: "a"}}, in(1, 3))
	old.TargetsAsOf, old.TargetsAge = old.Store.Now, 0
	s.ObservePeerVersions("peer", old)
	if age := s.Versions().TargetsAge; age < 9*time.Second {
		t.Errorf("a list of the older era is taken for %v old", age)
	}
}
