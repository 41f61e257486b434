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

// incarnation is what a worker says of itself in a life, 0 for one that it does not tell.
func incarnation(name string, born int64, leaving bool) routing.Target {
	return routing.Target{ID: routing.TargetID(name, born), Name: name, Born: born, Address: "10.0.0.1:80", Leaving: leaving}
}

func change(revision routing.Revision, t routing.Target) TargetChange {
	return TargetChange{ID: t.Name, Revision: revision, Target: t}
}

// A worker that starts again under its name is another target, whose older lives say nothing
// any more: also where the entry of the new one has gone meanwhile, and where an answer has
// all entries.
func TestNewerIncarnationWins(t *testing.T) {
	table := newTargetTable()
	apply := func(ch ...TargetChange) bool { return table.apply(ch) }
	if !apply(change(1, incarnation("w", 100, false))) || !apply(change(2, incarnation("w", 200, false))) {
		t.Fatal("a new life is no change")
	}
	if lives := table.takeRestarts(); len(lives) != 1 || lives[0] != (restart{"w", 200, 100}) {
		t.Errorf("lives %+v", lives)
	}
	if apply(change(3, incarnation("w", 100, true))) || table.replace([]routing.Target{incarnation("w", 100, true)}, 4) {
		t.Error("an older life changes something")
	}
	if got := table.known["w"].Target; got != incarnation("w", 200, false) {
		t.Errorf("%+v", got)
	}
	if table.revision < 3 {
		t.Errorf("the revision of what an older life said does not count: %d", table.revision)
	}
	apply(TargetChange{ID: "w", Revision: 5, Gone: true})
	if apply(change(6, incarnation("w", 100, false))) {
		t.Error("an older life is back after the newer one has gone")
	}
	if !apply(change(7, incarnation("w", 200, false))) {
		t.Error("the newest life is not back")
	}
}

// A worker that does not tell its life, or not in a form that can be read, is the one that is
// known; what else it says holds.
func TestUnknownIncarnationIsNotNewer(t *testing.T) {
	table := newTargetTable()
	table.apply([]TargetChange{change(1, incarnation("w", 100, false))})
	if !table.apply([]TargetChange{change(2, incarnation("w", 0, true))}) {
		t.Error("leaving is no change")
	}
	if got := table.known["w"].Target; got != incarnation("w", 100, true) {
		t.Errorf("%+v", got)
	}
	if lives := table.takeRestarts(); len(lives) != 0 {
		t.Errorf("lives %+v", lives)
	}
}

// In whatever order and by whatever way gateways hear of a worker's lives, they agree on the
// newest one, also by way of peers.
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
			var news targetState
			if err != nil || json.Unmarshal(content, &news) != nil {
				t.Fatal(err)
			}
			pair[1].merge(news)
		}
		a, b := mine.known["w"].Target, theirs.known["w"].Target
		newest := int64(0)
		for _, ch := range changes {
			newest = max(newest, ch.Target.Born)
		}
		if a.Born != newest || b.Born != newest || a.ID != b.ID {
			t.Fatalf("seed %d: %+v and %+v, the newest life is %d", seed, a, b, newest)
		}
	}
}

// What an older life said of being cold is not that of the new one, and a worker that is back
// in a new life is not held for the old one's sake.
func TestNewIncarnationDropsOldState(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	old := incarnation("w", 100, false)
	old.ColdUntil = now.Add(time.Minute)
	if told := toLocalCold(now, old, incarnation("w", 200, false)); told.Cold(now) {
		t.Error("a new life is as cold as the old one was")
	}
	cold := incarnation("w", 200, false)
	cold.ColdFor = 3 * time.Second
	if told := toLocalCold(now, old, cold); !told.ColdUntil.Equal(now.Add(3 * time.Second)) {
		t.Errorf("cold until %v", told.ColdUntil)
	}
	set := func(t routing.Target) *routing.TargetSet {
		return (&routing.TargetSet{Targets: []routing.Target{t}}).BuildIndex()
	}
	held, _ := newHeldTargets().hold(now, true, set(incarnation("w", 100, false)), set(incarnation("w", 200, false)))
	if len(held.Targets) != 1 || held.Targets[0].Born != 200 {
		t.Errorf("%+v", held.Targets)
	}
}

// Bad rows are told of a few times a second, and how many were not.
func TestBadRowLogIsRateLimited(t *testing.T) {
	b := log.NewRateLimiter(badRowLogInterval, badRowLogBurst)
	now, told := time.Unix(1_700_000_000, 0), 0
	for range 1000 {
		if tell, _ := b.Allow(now); tell {
			told++
		}
	}
	if told != badRowLogBurst {
		t.Errorf("told of %d rows at once", told)
	}
	if tell, hidden := b.Allow(now.Add(badRowLogInterval)); !tell || hidden != 1000-badRowLogBurst {
		t.Errorf("told %v, %d hidden", tell, hidden)
	}
}
