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

func rev(era, number uint64) routing.Revision { return routing.NewRevision(era, number) }

func stateOf(h *harness, name string) string {
	t := h.Targets().FindWorker(name)
	switch {
	case t == nil:
		return "gone"
	case t.Leaving:
		return "leaving"
	default:
		return "ready"
	}
}

// awaitState advances the clock until a worker has the wanted state.
func awaitState(h *harness, name, want string) {
	for stateOf(h, name) != want {
		select {
		case <-h.changed:
		default:
			h.clock.Advance(minRecheck)
			runtime.Gosched()
		}
	}
}

// Guards against a store restored from a backup: its changes must apply although their numbers
// were used before, and known incarnations must not return to older states.
func TestChangesApplyAfterStoreRestore(t *testing.T) {
	source := newFakeSource()
	source.version = rev(1, 500)
	source.targets = []routing.Target{
		incarnation("a", 100, false), incarnation("b", 100, false), incarnation("left", 100, true), incarnation("reborn", 200, false), incarnation("new", 100, false), incarnation("old", 100, false),
	}
	source.config = &routing.Configuration{Version: 9}
	var h *harness
	notices := notice.New(log.New("notice"), notice.Options{Clock: clock.NewFake(), OnLeaving: func() { h.LeavingChanged() }})
	h = startWith(t, source, nil, notices)
	h.await()
	h.nextWatch()
	source.changes <- watchAnswer{revision: rev(1, 501), changes: []TargetChange{{ID: "old", Revision: rev(1, 501), Gone: true}}}
	awaitState(h, "old", "gone")
	h.nextWatch()
	for h.Index() == nil {
		h.clock.Advance(minRecheck)
		runtime.Gosched()
	}
	source.mu.Lock()
	source.version = rev(2, 480)
	source.targets = []routing.Target{
		incarnation("a", 100, false), incarnation("b", 100, false), incarnation("left", 100, false), incarnation("reborn", 100, false), incarnation("old", 100, false),
	}
	source.config = &routing.Configuration{Version: 8}
	source.mu.Unlock()
	// This answers a call made before the restore; its changes must be discarded.
	source.changes <- watchAnswer{revision: rev(2, 481), changes: []TargetChange{change(rev(2, 481), incarnation("b", 100, false))}}
	if since := h.nextWatch(); since != rev(2, 480) {
		t.Fatalf("watch continues after revision %v, want 2.480", since)
	}
	for name, want := range map[string]string{"a": "ready", "b": "ready", "left": "leaving", "reborn": "ready", "old": "gone"} {
		if got := stateOf(h, name); got != want {
			t.Errorf("right after the restore %s is %s, want %s", name, got, want)
		}
	}
	if h.Targets().FindWorker("reborn").Born != 200 {
		t.Error("older incarnation replaced the newer one")
	}
	source.changes <- watchAnswer{revision: rev(2, 484), changes: []TargetChange{
		change(rev(2, 483), incarnation("a", 100, true)), {ID: "b", Revision: rev(2, 484), Gone: true}, change(rev(2, 482), incarnation("old", 100, false)),
	}}
	for name, want := range map[string]string{"a": "leaving", "b": "gone", "old": "ready"} {
		awaitState(h, name, want)
	}
	if v := h.Index().Configuration.Version; v != 9 {
		t.Errorf("configuration version %d, want 9", v)
	}
	awaitState(h, "new", "gone") // it was held for a while and not written again
}

// Guards against a late answer from before a restore that removes a target.
func TestLateAnswerOfOlderEraIsIgnored(t *testing.T) {
	source := newFakeSource()
	source.version, source.targets = rev(2, 10), []routing.Target{{ID: "a"}}
	h := start(t, source, nil)
	h.await()
	h.nextWatch()
	source.changes <- watchAnswer{revision: rev(1, 900), changes: []TargetChange{{ID: "a", Revision: rev(1, 900), Gone: true}}}
	if since := h.nextWatch(); since != rev(2, 10) {
		t.Errorf("watch continues after revision %v, want 2.10", since)
	}
	if h.Targets().Find("a") == nil {
		t.Error("change of an older era was applied")
	}
}

// Guards against evacuations that end at once because a restored store lacks them, or that are
// held after the hold or within the same era.
func TestEvacuationsAfterStoreRestore(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	table := newHallTable()
	table.replace(now, nil, rev(1, 10))
	table.apply([]HallChange{{DataHall: "lost", Revision: rev(1, 20), Evacuated: true}, {DataHall: "over", Revision: rev(1, 15), Evacuated: true}, {DataHall: "over", Revision: rev(1, 21)}})
	table.apply([]HallChange{{DataHall: "again", Revision: rev(1, 22), Evacuated: true}})
	table.replace(now, []HallChange{{DataHall: "over", Revision: rev(2, 15), Evacuated: true}}, rev(2, 16))
	if !table.evacuated("lost") || !table.evacuated("over") || !table.evacuated("again") {
		t.Errorf("halls %+v right after the restore, want all evacuated", table.all())
	}
	table.apply([]HallChange{{DataHall: "again", Revision: rev(2, 17), Evacuated: true}, {DataHall: "over", Revision: rev(2, 18)}})
	if changed := table.release(now.Add(evacuationHold - time.Second)); len(changed) > 0 {
		t.Errorf("released early: %+v", changed)
	}
	if wait := table.nextRelease(now.Add(evacuationHold - time.Second)); wait != time.Second || !table.evacuated("lost") || table.evacuated("over") {
		t.Errorf("halls %+v, next release after %v, want lost held for 1 s and over not evacuated", table.all(), wait)
	}
	changed := table.release(now.Add(evacuationHold))
	if len(changed) != 1 || table.evacuated("lost") || !table.evacuated("again") {
		t.Errorf("halls %+v after the hold, changed %+v, want only lost released", table.all(), changed)
	}
	if table.replace(now, nil, rev(2, 30)); table.evacuated("again") {
		t.Error("hall that is missing from a list of the same era is still evacuated")
	}
}

// Guards against peers of different eras that differ after an exchange, or take a list of an
// older era for fresh.
func TestPeersConvergeAcrossEras(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 7))
		older, newer := newTargetTable(), newTargetTable()
		older.replace([]routing.Target{incarnation("a", 1, false), incarnation("b", 1, rng.IntN(2) == 0)}, rev(1, 400+rng.Uint64N(200)))
		newer.replace([]routing.Target{incarnation("a", 1, false), incarnation("c", 1, false)}, rev(1, 300))
		newer.replaceFromStore([]routing.Target{incarnation("a", 1, rng.IntN(2) == 0)}, rev(2, 100+rng.Uint64N(600)))
		back := older.since(newer.revision)
		older.merge(newer.since(older.revision))
		newer.merge(back)
		want := map[string]routing.Target{"a": newer.known["a"].get()}
		if !older.equals(want) || !newer.equals(want) || older.revision != newer.revision {
			t.Errorf("seed %d: tables differ, %v %+v and %v %+v", seed, older.revision, older.known, newer.revision, newer.known)
		}
	}
	c := clock.NewFake()
	s := newSyncedService(c)
	c.Advance(10 * time.Second)
	old := s.Versions()
	s.table.replaceFromStore([]routing.Target{{ID: "a"}}, rev(1, 3))
	old.TargetsAsOf, old.TargetsAge = old.Store.Now, 0
	s.ObservePeerVersions("peer", old)
	if age := s.Versions().TargetsAge; age < 9*time.Second {
		t.Errorf("list of an older era has age %v, want 9s or more", age)
	}
}
