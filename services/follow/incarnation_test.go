// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"madderway/models/routing"
	"madderway/modules/log"
)

// incarnation returns a target as its worker reports it; born is 0 if it names no incarnation.
func incarnation(name string, born int64, leaving bool) routing.Target {
	return routing.Target{ID: routing.TargetID(name, born), Name: name, Born: born, Address: "10.0.0.1:80", Leaving: leaving}
}

func change(revision routing.Revision, t routing.Target) TargetChange {
	return TargetChange{ID: t.Name, Revision: revision, Target: t}
}

// Guards against reports of an older incarnation that replace the newer one, also after the
// newer one was removed.
func TestNewerIncarnationWins(t *testing.T) {
	table := newTargetTable()
	apply := func(ch ...TargetChange) bool { return table.apply(ch) }
	if !apply(change(1, incarnation("w", 100, false))) || !apply(change(2, incarnation("w", 200, false))) {
		t.Fatal("new incarnation is not a change")
	}
	if restarts := table.takeRestarts(); len(restarts) != 1 || restarts[0] != (restart{"w", 200, 100}) {
		t.Errorf("restarts %+v", restarts)
	}
	if apply(change(3, incarnation("w", 100, true))) || table.replace([]routing.Target{incarnation("w", 100, true)}, 4) {
		t.Error("report of an older incarnation is a change")
	}
	if got := table.known["w"].get(); got != incarnation("w", 200, false) {
		t.Errorf("got target %+v", got)
	}
	if table.revision < 3 {
		t.Errorf("revision %d after a change of an older incarnation, want 3 or more", table.revision)
	}
	apply(TargetChange{ID: "w", Revision: 5, Gone: true})
	if apply(change(6, incarnation("w", 100, false))) {
		t.Error("older incarnation was added after the newer one was removed")
	}
	if !apply(change(7, incarnation("w", 200, false))) {
		t.Error("newest incarnation was not added again")
	}
}

// Guards against a report without a readable start time that counts as a restart or is lost.
func TestUnknownIncarnationIsNotNewer(t *testing.T) {
	table := newTargetTable()
	table.apply([]TargetChange{change(1, incarnation("w", 100, false))})
	if !table.apply([]TargetChange{change(2, incarnation("w", 0, true))}) {
		t.Error("leaving is not a change")
	}
	if got := table.known["w"].get(); got != incarnation("w", 100, true) {
		t.Errorf("got target %+v", got)
	}
	if restarts := table.takeRestarts(); len(restarts) != 0 {
		t.Errorf("restarts %+v", restarts)
	}
}

// Guards against gateways that settle on different incarnations of a worker.
func TestTablesConvergeOnIncarnation(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var changes []TargetChange
		for i := range 6 {
			changes = append(changes, change(routing.Revision(i+1), incarnation("w", int64(100*(1+rng.IntN(3))), rng.IntN(2) == 0)))
		}
		mine, theirs := newTargetTable(), newTargetTable()
		mine.apply(changes)
		for _, i := range rng.Perm(len(changes)) {
			theirs.apply(changes[i : i+1])
		}
		for _, pair := range [][2]*targetTable{{mine, theirs}, {theirs, mine}} {
			content, err := json.Marshal(pair[0].since(0))
			var state targetState
			if err != nil || json.Unmarshal(content, &state) != nil {
				t.Fatal(err)
			}
			pair[1].merge(state)
		}
		a, b := mine.known["w"].get(), theirs.known["w"].get()
		newest := int64(0)
		for _, ch := range changes {
			newest = max(newest, ch.Target.Born)
		}
		if a.Born != newest || b.Born != newest || a.ID != b.ID {
			t.Fatalf("seed %d: %+v and %+v, want incarnation %d", seed, a, b, newest)
		}
	}
}

// Guards against a new incarnation that inherits the cold period or the hold of the old one.
func TestNewIncarnationDropsOldState(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	old := incarnation("w", 100, false)
	old.ColdUntil = now.Add(time.Minute)
	if got := toLocalCold(now, old, incarnation("w", 200, false)); got.Cold(now) {
		t.Error("new incarnation inherited the cold period")
	}
	cold := incarnation("w", 200, false)
	cold.ColdFor = 3 * time.Second
	if got := toLocalCold(now, old, cold); !got.ColdUntil.Equal(now.Add(3 * time.Second)) {
		t.Errorf("cold until %v, want 3 s from now", got.ColdUntil)
	}
	set := func(t routing.Target) *routing.TargetSet {
		return routing.NewTargetSet(0, t)
	}
	held, _ := newHeldTargets().hold(now, now.Add(time.Hour), set(incarnation("w", 100, false)), set(incarnation("w", 200, false)))
	if held.Len() != 1 || held.FindWorker("w").Born != 200 {
		t.Errorf("targets %+v, want only the new incarnation", held.ByService(""))
	}
}

// Guards against a flood of log lines from a writer of malformed rows.
func TestBadRowLogIsRateLimited(t *testing.T) {
	b := log.NewRateLimiter(badRowLogInterval, badRowLogBurst)
	now, logged := time.Unix(1_700_000_000, 0), 0
	for range 1000 {
		if ok, _ := b.Allow(now); ok {
			logged++
		}
	}
	if logged != badRowLogBurst {
		t.Errorf("logged %d rows at once, want badRowLogBurst", logged)
	}
	if ok, suppressed := b.Allow(now.Add(badRowLogInterval)); !ok || suppressed != 1000-badRowLogBurst {
		t.Errorf("logged %v with %d suppressed, want true with all the others", ok, suppressed)
	}
}
