// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// randomEdit applies random changes to a set and to a plain map.
func randomEdit(rng *rand.Rand, set *TargetSet, want map[string]*Target, revision Revision) *TargetSet {
	e := set.Edit()
	for range 1 + rng.IntN(20) {
		name := fmt.Sprint("w", rng.IntN(40))
		if rng.IntN(3) == 0 {
			e.Remove(name)
			delete(want, name)
			continue
		}
		born := rng.Int64N(3)
		t := &Target{ID: TargetID(name, born), Name: name, Born: born, Service: fmt.Sprint("s", rng.IntN(2)), Leaving: rng.IntN(4) == 0}
		e.Put(t)
		want[name] = t
	}
	return e.Done(revision)
}

// holds reports whether a set answers all lookups as a plain map of its targets does.
func holds(set *TargetSet, want map[string]*Target) bool {
	byService := map[string][]*Target{}
	for name, t := range want {
		if set.FindWorker(name) != t || set.Find(t.ID) != t {
			return false
		}
		byService[t.Service] = append(byService[t.Service], t)
	}
	for _, service := range []string{"s0", "s1"} {
		slices.SortFunc(byService[service], compareIDs)
		if !slices.Equal(set.ByService(service), byService[service]) {
			return false
		}
	}
	return set.Len() == len(want) && set.FindWorker("none") == nil && set.Find("w1@9") == nil
}

// Guards against lookups that disagree after edits, edits that change older sets, and differences
// that do not lead from one set to the other.
func TestTargetSetMatchesMap(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(61))
	properties.Property("edited sets equal maps", prop.ForAll(func(seed uint64) bool {
		rng := rand.New(rand.NewPCG(seed, 1))
		set, want := NewTargetSet(0), map[string]*Target{}
		for revision := range Revision(6) {
			older, olderWant := set, map[string]*Target{}
			for name, target := range want {
				olderWant[name] = target
			}
			set = randomEdit(rng, set, want, revision)
			if !holds(older, olderWant) || !holds(set, want) || set.Revision != revision {
				return false
			}
			for _, ch := range set.Changes(older) {
				if ch.Before != nil {
					delete(olderWant, ch.Before.WorkerName())
				}
				if ch.After != nil {
					olderWant[ch.After.WorkerName()] = ch.After
				}
			}
			if !holds(set, olderWant) {
				return false
			}
		}
		return true
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// Guards against a name that looks like the ID of another worker's incarnation.
func TestFindWithAtSignInName(t *testing.T) {
	set := NewTargetSet(1, Target{ID: "a@5"}, Target{ID: "b@host@7", Name: "b@host", Born: 7}, Target{ID: "c@host"})
	for _, id := range []string{"a@5", "b@host@7", "c@host"} {
		if got := set.Find(id); got == nil || got.ID != id {
			t.Errorf("Find(%q) = %v", id, got)
		}
	}
	if set.Find("b@host") != nil || set.FindWorker("b@host") == nil {
		t.Error("a worker's name was taken for the ID of its incarnation")
	}
}

// Guards against a change of one target that copies or compares all of them.
func TestChangeOfOneTargetSharesTheRest(t *testing.T) {
	targets := make([]Target, 19_690)
	for i := range targets {
		targets[i] = Target{ID: fmt.Sprintf("w%05d", i), Service: "s"}
	}
	set := NewTargetSet(1, targets...)
	e := set.Edit()
	e.Put(&Target{ID: "w00007", Service: "s", Leaving: true})
	changed := e.Done(2)
	copied := 0
	for i := range changed.buckets {
		if changed.buckets[i] != set.buckets[i] {
			copied += len(changed.buckets[i].targets)
		}
	}
	if diff := changed.Changes(set); copied > 200 || len(diff) != 1 || !diff[0].After.Leaving {
		t.Errorf("copied %d targets, changes %v, want at most 200 and one change", copied, diff)
	}
}

func BenchmarkTargetSetEdit(b *testing.B) {
	for _, n := range []int{984, 9_845, 19_690} {
		b.Run(fmt.Sprint("targets=", n), func(b *testing.B) {
			targets := make([]Target, n)
			for i := range targets {
				targets[i] = Target{ID: fmt.Sprintf("w%05d", i), Service: "s"}
			}
			set := NewTargetSet(1, targets...)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				e := set.Edit()
				e.Put(&Target{ID: fmt.Sprintf("w%05d", i%n), Service: "s", Slots: i})
				next := e.Done(2)
				_ = next.Changes(set)
				set = next
			}
		})
	}
}
