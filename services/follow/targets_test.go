// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"madderway/models/routing"
)

// randomHistory returns n changes of a few targets with increasing revisions.
func randomHistory(rng *rand.Rand, n int) []TargetChange {
	var out []TargetChange
	for i := range n {
		ch := TargetChange{ID: fmt.Sprint("t", rng.IntN(6)), Revision: routing.Revision(10 + 3*i)}
		if ch.Gone = rng.IntN(3) == 0; !ch.Gone {
			ch.Target = routing.Target{ID: ch.ID, Address: fmt.Sprint("a", rng.IntN(3)), Leaving: rng.IntN(4) == 0}
		}
		out = append(out, ch)
	}
	return out
}

// finalTargets returns the content of the store after all changes.
func finalTargets(changes []TargetChange) map[string]routing.Target {
	m := map[string]routing.Target{}
	for _, ch := range changes {
		if ch.Gone {
			delete(m, ch.ID)
			continue
		}
		m[ch.ID] = ch.Target
	}
	return m
}

func (t *targetTable) equals(want map[string]routing.Target) bool {
	if len(t.known) != len(want) {
		return false
	}
	for id, target := range want {
		if t.known[id].get() != target {
			return false
		}
	}
	return true
}

// Guards against a table that differs from the store after repeated, reordered or relayed
// changes.
func TestTargetTablesConverge(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(42))
	properties.Property("tables agree", prop.ForAll(func(seed uint64, n int) bool {
		rng := rand.New(rand.NewPCG(seed, 1))
		changes := randomHistory(rng, n)
		want := finalTargets(changes)
		feed := newTargetTable()
		for from := 0; from < n; {
			to := min(from+1+rng.IntN(4), n)
			feed.apply(changes[from:to])
			feed.apply(changes[max(from-2, 0):to]) // repeats some changes
			from = to
		}
		shuffled := newTargetTable()
		for _, i := range rng.Perm(n) {
			shuffled.apply(changes[i : i+1])
		}
		peer := newTargetTable()
		peer.apply(changes[:rng.IntN(n+1)])
		for range 2 {
			content, err := json.Marshal(feed.since(peer.revision))
			var state targetState
			if err != nil || json.Unmarshal(content, &state) != nil {
				return false
			}
			peer.merge(state)
		}
		return feed.equals(want) && shuffled.equals(want) && peer.equals(want) && peer.revision == feed.revision
	}, gen.UInt64(), gen.IntRange(1, 40)))
	properties.TestingRun(t)
}

func TestOlderListFromPeerIsIgnored(t *testing.T) {
	mine := newTargetTable()
	mine.replace([]routing.Target{{ID: "a", Leaving: true}}, 20)
	if mine.merge(targetState{Revision: 12, Whole: true, Changes: []TargetChange{{ID: "a", Revision: 12, Target: routing.Target{ID: "a"}}}}) {
		t.Error("older list changed the table")
	}
	if !mine.known["a"].Target.Leaving {
		t.Error("leaving target is ready again")
	}
}

func TestCompactedRemovalsRequireWholeList(t *testing.T) {
	table := newTargetTable()
	for i := range minRemoved + 10 {
		id := fmt.Sprint("t", i)
		table.apply([]TargetChange{{ID: id, Revision: routing.Revision(2*i + 1), Target: routing.Target{ID: id}}, {ID: id, Revision: routing.Revision(2*i + 2), Gone: true}})
	}
	if state := table.since(5); !state.Whole {
		t.Error("peer that misses compacted removals gets changes only, want the whole table")
	}
	if state := table.since(table.revision - 2); state.Whole || len(state.Changes) != 1 {
		t.Errorf("peer that misses one removal gets %+v, want only that change", state)
	}
}

// Guards against a removed target that stays listed: a gateway that has read the whole list since the
// removal tells a peer with an older copy only changes, and does not know of the removal.
func TestPeerWithUnknownRemovalsGetsWholeList(t *testing.T) {
	behind, fresh := newTargetTable(), newTargetTable()
	behind.replace([]routing.Target{{ID: "a"}, {ID: "removed"}}, 2)
	fresh.replace([]routing.Target{{ID: "a"}}, 6) // removed was removed at 4
	fresh.apply([]TargetChange{{ID: "a", Revision: 7, Target: routing.Target{ID: "a", Leaving: true}}})
	behind.merge(fresh.since(behind.revision))
	if !behind.equals(map[string]routing.Target{"a": {ID: "a", Leaving: true}}) {
		t.Errorf("got targets %+v, want only a", behind.known)
	}
	current := newTargetTable()
	current.replace([]routing.Target{{ID: "a"}}, 6)
	if state := fresh.since(current.revision); state.Whole || len(state.Changes) != 1 {
		t.Errorf("a peer with the same list gets %+v, want one change", state)
	}
}
