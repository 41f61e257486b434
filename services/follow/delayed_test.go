// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
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

// storeLog is the sequence of writes to a store; a write's revision is its position, from 1.
type storeLog struct{ writes []TargetChange }

// at returns the content as of a revision.
func (l *storeLog) at(revision routing.Revision) map[string]routing.Target {
	return finalTargets(l.writes[:revision])
}

func (l *storeLog) revision() routing.Revision { return routing.Revision(len(l.writes)) }

// since returns the last change of each worker after a revision.
func (l *storeLog) since(revision routing.Revision) []TargetChange {
	newest := map[string]TargetChange{}
	for _, ch := range l.writes[revision:] {
		newest[ch.ID] = ch
	}
	changes := slices.Collect(maps.Values(newest))
	slices.SortFunc(changes, func(a, b TargetChange) int { return int(a.Revision) - int(b.Revision) })
	return changes
}

// write changes a random worker: a new incarnation, or the leaving or removal of the listed one.
func (l *storeLog) write(rng *rand.Rand) {
	name := fmt.Sprint("t", rng.IntN(5))
	ch := TargetChange{ID: name, Revision: l.revision() + 1}
	old, listed := l.at(l.revision())[name]
	switch {
	case !listed || rng.IntN(5) == 0:
		ch.Target = incarnation(name, int64(ch.Revision), false)
	case rng.IntN(2) == 0 && !old.Leaving:
		ch.Target = incarnation(name, old.Born, true)
	default:
		ch.Gone = true
	}
	l.writes = append(l.writes, ch)
}

// follower is a gateway's table with the answers that are on their way to it.
type follower struct {
	table   *targetTable
	watched bool             // the whole list was read
	since   routing.Revision // of the last answer of the store
	// Answers of the store, to a poll and to a confirmation, and of a peer; nil if there is none.
	poll, confirm, peer func()
}

func newFollower() *follower { return &follower{table: newTargetTable()} }

// ask sends a call to the store or a peer; the answer is of this moment and arrives later.
func (f *follower) ask(rng *rand.Rand, l *storeLog, peer *follower) {
	now := l.revision()
	switch rng.IntN(3) {
	case 0:
		if f.poll != nil {
			return
		}
		if !f.watched || rng.IntN(4) == 0 {
			list := slices.Collect(maps.Values(l.at(now)))
			f.poll = func() { f.table.replaceFromStore(list, now); f.since, f.watched = now, true }
			return
		}
		changes := l.since(f.since)
		f.poll = func() { f.table.apply(changes); f.since = now }
	case 1:
		if f.confirm != nil || f.table.revision == 0 {
			return
		}
		changes := l.since(f.table.revision)
		f.confirm = func() { f.table.apply(changes) }
	case 2:
		if f.peer != nil || peer.table.revision <= f.table.revision {
			return
		}
		state := peer.table.since(f.table.revision)
		f.peer = func() { f.table.merge(state) }
	}
}

// deliver lets one of the answers arrive.
func (f *follower) deliver(rng *rand.Rand) {
	for _, answer := range []*func(){&f.poll, &f.confirm, &f.peer}[rng.IntN(3):] {
		if *answer != nil {
			(*answer)()
			*answer = nil
			return
		}
	}
}

// Guards against news that is undone by older news, in any order of lists, changes, confirmations
// and states of peers that are delayed, and of restarts: a table is always the store as of its revision.
func TestTablesFollowTheStoreInAnyOrder(t *testing.T) {
	const seeds, steps = 2000, 120
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 7))
		l := &storeLog{}
		followers := []*follower{newFollower(), newFollower(), newFollower()}
		for step := range steps {
			i := rng.IntN(len(followers))
			f := followers[i]
			before := f.table.revision
			switch n := rng.IntN(40); {
			case n == 0:
				*f, before = *newFollower(), 0
			case n < 10:
				l.write(rng)
			case n < 25:
				f.ask(rng, l, followers[rng.IntN(len(followers))])
			default:
				f.deliver(rng)
			}
			if f.table.revision < before {
				t.Fatalf("seed %d, step %d: table went back from revision %v to %v", seed, step, before, f.table.revision)
			}
			if at := max(f.table.revision, f.table.listedAt); !f.table.equals(l.at(at)) {
				t.Fatalf("seed %d, step %d: table %+v, want the store as of %v: %+v", seed, step, f.table.known, at, l.at(at))
			}
		}
	}
}
