// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"madderway/models/routing"
)

// evacuatedTargets returns the IDs of the targets marked as evacuated.
func (h *harness) evacuatedTargets() []string {
	var out []string
	for _, t := range h.Targets().ByService("s") {
		if t.Evacuated {
			out = append(out, t.ID)
		}
	}
	return out
}

// answerOperator advances the clock until it can answer a watch of the operator's settings.
func (h *harness) answerOperator(update OperatorUpdate) {
	for {
		select {
		case h.source.operator <- update:
			return
		case <-h.changed:
		default:
			h.clock.Advance(minRecheck)
		}
	}
}

// awaitEvacuated advances the clock until exactly these targets are marked.
func (h *harness) awaitEvacuated(want ...string) {
	for !slices.Equal(h.evacuatedTargets(), want) {
		h.await()
	}
}

func twoHallSource() *fakeSource {
	source := newFakeSource()
	source.config = &routing.Configuration{Version: 7, Services: []routing.Service{{Name: "s", ColdStart: 3 * time.Second, ColdRate: 6}}}
	source.version = 5
	source.targets = []routing.Target{{ID: "a", Service: "s", DataHall: "h1"}, {ID: "b", Service: "s", DataHall: "h2"}}
	return source
}

// Guards against targets that get work in an evacuated hall, and against late or repeated
// changes that alter the state.
func TestEvacuationMarksTheHall(t *testing.T) {
	source := twoHallSource()
	h := start(t, source, nil)
	h.await()
	h.answerOperator(OperatorUpdate{Stamp: Stamp{Revision: 9}, Halls: []HallChange{{DataHall: "h1", Revision: 9, Evacuated: true}}})
	h.awaitEvacuated("a")
	if h.Targets().Find("a").AcceptsWork() || !h.Targets().Find("b").AcceptsWork() {
		t.Errorf("targets %+v, want only b to accept work", h.Targets().ByService("s"))
	}
	if got := h.Evacuated(); !slices.Equal(got, []string{"h1"}) || h.Versions().Evacuations != 9 {
		t.Errorf("evacuated halls %v at revision %d, want h1 at 9", got, h.Versions().Evacuations)
	}
	h.answerOperator(OperatorUpdate{Stamp: Stamp{Revision: 12}, Halls: []HallChange{{DataHall: "h1", Revision: 8}, {DataHall: "h2", Revision: 12, Evacuated: true}}})
	h.awaitEvacuated("a", "b")
	h.answerOperator(OperatorUpdate{Stamp: Stamp{Revision: 14}, Halls: []HallChange{{DataHall: "h1", Revision: 14}, {DataHall: "h2", Revision: 13}}})
	h.awaitEvacuated()
}

// Guards against work for a hall that was evacuated before this gateway started.
func TestEvacuationAtStart(t *testing.T) {
	source := twoHallSource()
	source.halls = []HallChange{{DataHall: "h2", Revision: 4, Evacuated: true}}
	h := start(t, source, nil)
	h.awaitEvacuated("b")
}

// Guards against missed evacuations while the store rejects this gateway but not its peers.
func TestEvacuationsFromPeer(t *testing.T) {
	peers := fakePeers{}
	state := func(halls ...HallChange) []byte {
		content, err := json.Marshal(operatorState{Configuration: &routing.Configuration{Version: 7}, Halls: halls})
		if err != nil {
			t.Fatal(err)
		}
		return content
	}
	source := twoHallSource()
	peers["peer"], peers["later"] = state(HallChange{"h1", 20, true}), state(HallChange{"h1", 21, false})
	h := start(t, source, peers)
	h.await()
	h.ObservePeerVersions("peer", Versions{Configuration: 7, Evacuations: 20})
	h.awaitEvacuated("a")
	h.ObservePeerVersions("later", Versions{Configuration: 7, Evacuations: 21})
	h.awaitEvacuated()
	// A third gateway can decode this gateway's state.
	content, err := h.State(StateRequest{})
	var sent operatorState
	if err != nil || json.Unmarshal(content, &sent) != nil || sent.Version != 7 || !slices.Equal(sent.Halls, []HallChange{{"h1", 21, false}}) {
		t.Errorf("state %s, %v, want version 7 and the change of h1", content, err)
	}
}

// Guards against an evacuation whose end was lost with the store's history.
func TestWholeListEndsEvacuations(t *testing.T) {
	table := newHallTable()
	table.apply([]HallChange{{"h1", 5, true}, {"h2", 6, true}})
	changed := table.replace(time.Time{}, []HallChange{{"h2", 6, true}}, 9)
	if !slices.Equal(changed, []HallChange{{"h1", 9, false}}) || table.evacuated("h1") || !table.evacuated("h2") {
		t.Errorf("changed %+v, table %+v, want only h2 evacuated", changed, table.halls)
	}
	if changed := table.apply([]HallChange{{"h1", 5, true}}); len(changed) != 0 {
		t.Errorf("old change had the effect %+v", changed)
	}
}

// Guards against tables that differ after the same changes in another order or repeated.
func TestHallTablesConverge(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(7))
	properties.Property("hall tables agree", prop.ForAll(func(seed uint64, n int) bool {
		rng := rand.New(rand.NewPCG(seed, 1))
		var changes []HallChange
		for i := range n {
			changes = append(changes, HallChange{[]string{"h1", "h2", "h3"}[rng.IntN(3)], routing.Revision(10 + i), rng.IntN(2) == 0})
		}
		one, other := newHallTable(), newHallTable()
		one.apply(changes)
		for range 2 {
			for _, i := range rng.Perm(n) {
				other.apply(changes[i : i+1])
			}
		}
		third := newHallTable()
		third.apply(other.all())
		return slices.Equal(one.all(), other.all()) && slices.Equal(one.all(), third.all()) && one.revision == third.revision
	}, gen.UInt64(), gen.IntRange(1, 30)))
	properties.TestingRun(t)
}

// Guards against targets that become cold without need when their evacuation ends while the
// store is reachable.
func TestHallKeepsReportedColdStateAfterEvacuation(t *testing.T) {
	const period = time.Hour // long, since the harness advances the clock
	source := twoHallSource()
	source.halls = []HallChange{{DataHall: "h1", Revision: 4, Evacuated: true}}
	h := start(t, source, nil)
	h.awaitEvacuated("a")
	h.nextWatch()
	source.changes <- watchAnswer{revision: 8, changes: []TargetChange{{ID: "a", Revision: 8, Target: routing.Target{ID: "a", Service: "s", DataHall: "h1", ColdFor: period}}}}
	for !h.Targets().Find("a").Cold(h.clock.Now()) {
		h.await()
	}
	if a, now := h.Targets().Find("a"), h.clock.Now(); a.Cold(now.Add(period)) {
		t.Errorf("cold until %v at %v, want at most an hour", a.ColdUntil, now)
	}
	h.answerOperator(OperatorUpdate{Stamp: Stamp{Revision: 9}, Halls: []HallChange{{DataHall: "h1", Revision: 9}}})
	h.awaitEvacuated()
	if b := h.Targets().Find("b"); b.Cold(h.clock.Now()) {
		t.Error("target of another hall is cold")
	}
}

// Guards against full load on targets that may have restarted unnoticed during an outage.
func TestHallIsColdAfterEvacuationAndOutage(t *testing.T) {
	source := twoHallSource()
	source.halls = []HallChange{{DataHall: "h1", Revision: 4, Evacuated: true}}
	h := start(t, source, nil)
	h.awaitEvacuated("a")
	for range 20 { // an outage of many seconds for the list of targets
		h.nextWatch()
		source.changes <- watchAnswer{err: errors.New("the store is down")}
		h.clock.Advance(500 * time.Millisecond)
	}
	h.changeHalls("test", func(time.Time) []HallChange { return h.halls.apply([]HallChange{{DataHall: "h1", Revision: 9}}) })
	a, now := h.Targets().Find("a"), h.clock.Now()
	if a.Evacuated || !a.Cold(now) || a.Cold(now.Add(3*time.Second)) {
		t.Errorf("target %+v at %v, want it cold for 3 s and not evacuated", a, now)
	}
}

// Guards against an evacuation that ends by itself: a delayed list of a restored store lacks it, although
// a peer has told that the operator has written it again.
func TestDelayedListDoesNotHoldRewrittenEvacuation(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	evacuated := func(revision routing.Revision) []HallChange {
		return []HallChange{{DataHall: "h1", Revision: revision, Evacuated: true}}
	}
	table := newHallTable()
	table.replace(now, evacuated(rev(1, 5)), rev(1, 5))
	table.apply(evacuated(rev(2, 4))) // from a peer
	table.replace(now, nil, rev(2, 3))
	if wait := table.nextRelease(now); wait != 0 {
		t.Errorf("the evacuation is held for %v, want it in force without a hold", wait)
	}
	table.replace(now, evacuated(rev(2, 4)), rev(2, 9))
	table.release(now.Add(evacuationHold))
	if !table.evacuated("h1") {
		t.Error("the evacuation has ended, which the operator has not asked for")
	}
	table.replace(now, nil, rev(1, 7)) // of the former era
	if table.listRevision != rev(2, 9) {
		t.Errorf("got list revision %v after a delayed list, want 2.9", table.listRevision)
	}
}
