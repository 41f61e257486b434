// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"madderway/core/place"
	"madderway/models/routing"
)

func testService(targets int) (*routing.Index, *routing.TargetSet) {
	x := routing.NewIndex(&routing.Configuration{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 64, CacheTokens: 500_000}}, {Name: "plain"}}})
	var set []routing.Target
	for i := range targets {
		set = append(set, routing.Target{ID: fmt.Sprintf("t%04d", i), Service: "s"})
	}
	return x, routing.NewTargetSet(1, set...)
}

func testNodes(n int) []place.Node {
	var out []place.Node
	for i := range n {
		out = append(out, place.Node{ID: fmt.Sprintf("g%03d", i)})
	}
	return out
}

func TestCellsStaySmall(t *testing.T) {
	for _, n := range []int{1, 9, 12, 13, 90, 140, 320, 600, 9_845, 19_690} {
		x, set := testService(n)
		l := NewLayout(x, set, testNodes(9))
		total, largest := 0, 0
		for _, g := range l.Groups() {
			total += len(g.Targets)
			largest = max(largest, len(g.Targets))
			if len(g.Schedulers()) != schedulersPerCell {
				t.Errorf("%s has schedulers %v, want three", g.Key, g.Schedulers())
			}
		}
		if total != n {
			t.Errorf("%d targets in the cells, want %d", total, n)
		}
		if most := 2 * max(targetsPerCell, n/len(l.Groups())); largest > most {
			t.Errorf("with %d targets the largest cell has %d, want at most %d", n, largest, most)
		}
	}
}

func TestAffinitiesAreProportionalToTargets(t *testing.T) {
	x, set := testService(140)
	l := NewLayout(x, set, testNodes(59))
	hits := map[Key]int{}
	const keys = 100_000
	for i := range keys {
		hits[l.GroupFor("s", uint64(i)*2654435761).Key]++
	}
	for key, g := range l.Groups() {
		want := float64(keys) * float64(len(g.Targets)) / 140
		if got := float64(hits[key]); got < 0.85*want-50 || got > 1.15*want+50 {
			t.Errorf("%s with %d targets got %.0f of %d, want about %.0f", key, len(g.Targets), got, keys, want)
		}
	}
}

func TestRemovedNodeMovesOnlyItsCells(t *testing.T) {
	x, set := testService(600)
	all := testNodes(320)
	before, after := NewLayout(x, set, all), NewLayout(x, set, append(append([]place.Node{}, all[:7]...), all[8:]...))
	for key, g := range before.Groups() {
		if g.Schedulers()[0] != all[7].ID && after.Group(key).Schedulers()[0] != g.Schedulers()[0] {
			t.Errorf("cell %s moved from %s to %s, though its scheduler stayed", key, g.Schedulers()[0], after.Group(key).Schedulers()[0])
		}
	}
}

func TestServiceWithoutEngineHasNoCells(t *testing.T) {
	x, set := testService(3)
	l := NewLayout(x, set, testNodes(3))
	if l.GroupFor("plain", 1) != nil || l.GroupFor("unknown", 1) != nil {
		t.Error("a service without engines has a cell")
	}
	empty := NewLayout(nil, nil, nil)
	if empty.GroupFor("s", 1) != nil {
		t.Error("an empty layout has a cell")
	}
}

// sameLayout reports the first difference between two layouts, or "".
func sameLayout(got, want *Layout) string {
	if len(got.Groups()) != len(want.Groups()) {
		return fmt.Sprintf("%d cells, want %d", len(got.Groups()), len(want.Groups()))
	}
	for key, g := range want.Groups() {
		other := got.Group(key)
		if other == nil || !slices.Equal(other.Targets, g.Targets) || !slices.Equal(other.Schedulers(), g.Schedulers()) {
			return fmt.Sprintf("cell %s differs", key)
		}
	}
	for i := range uint64(50) {
		if a, b := got.GroupFor("s", i<<40), want.GroupFor("s", i<<40); (a == nil) != (b == nil) || a != nil && a.Key != b.Key {
			return fmt.Sprintf("requests with affinity %d go elsewhere", i<<40)
		}
	}
	return ""
}

// A moved request goes back to the cell that it is to leave, in a service of many cells.
func TestAlternativeIsAnotherCell(t *testing.T) {
	for _, targets := range []int{20, 984, 9_845} {
		x, set := testService(targets)
		l := NewLayout(x, set, nil)
		for i := range uint64(2000) {
			first := l.GroupFor("s", i<<32)
			if other := l.AlternativeTo("s", i<<32, first.Key); other == nil || other == first {
				t.Fatalf("%d targets: the alternative to %s is %v", targets, first.Key, other)
			}
		}
	}
}

// Gateways with the same targets and members compute different layouts, as they learned of them in
// another order.
func TestLayoutDependsOnlyOnTargetsAndNodes(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(59))
	properties.Property("changed layouts equal fresh ones", prop.ForAll(func(seed uint64) string {
		rng := rand.New(rand.NewPCG(seed, 3))
		x, set := testService(rng.IntN(900))
		nodes := testNodes(1 + rng.IntN(40))
		l := NewLayout(x, set, nodes)
		for range 8 {
			e := set.Edit()
			for range rng.IntN(300) {
				id := fmt.Sprintf("t%04d", rng.IntN(1200))
				if rng.IntN(2) == 0 {
					e.Remove(id)
					continue
				}
				e.Put(&routing.Target{ID: id, Service: "s", Leaving: rng.IntN(9) == 0})
			}
			set = e.Done(set.Revision + 1)
			nodes = testNodes(1 + rng.IntN(40))
			for i := range nodes {
				nodes[i].Strength = uint32(1 + rng.IntN(2)*79)
			}
			if rng.IntN(2) == 0 {
				for key := range l.Groups() {
					l.Group(key).Schedulers()
				}
			}
			l.SetTargets(x, set)
			l.SetNodes(nodes)
			if diff := sameLayout(l, NewLayout(x, set, nodes)); diff != "" {
				return diff
			}
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
}

const (
	doubleFleetTargets  = 19_690
	doubleFleetGateways = 1_970
)

// A change of one target or gateway costs as much as the whole fleet.
func TestChangeTouchesFewCells(t *testing.T) {
	x, set := testService(doubleFleetTargets)
	nodes := testNodes(doubleFleetGateways)
	l := NewLayout(x, set, nodes)
	l.SetNodes(nodes[2:])
	for key, g := range l.Groups() {
		if g.ranked != nil {
			t.Fatalf("a change of gateways computes the schedulers of %s, which nobody asked for", key)
		}
	}
	l.SetNodes(nodes)
	for _, g := range l.Groups() {
		g.Schedulers()
	}
	e := set.Edit()
	e.Put(&routing.Target{ID: "t00007", Service: "s", Leaving: true})
	e.Remove("t00008")
	if changed := l.SetTargets(x, e.Done(2)); len(changed) > 2 {
		t.Errorf("a change of two targets changed %d cells, want at most 2", len(changed))
	}
	l.SetNodes(nodes[1:])
	unknown := 0
	for _, g := range l.Groups() {
		if g.ranked == nil {
			unknown++
		}
	}
	if most := 20 * schedulersPerCell * len(l.Groups()) / doubleFleetGateways; unknown > max(most, 3) {
		t.Errorf("the loss of a gateway makes %d of %d cells compute their schedulers anew, want at most %d", unknown, len(l.Groups()), max(most, 3))
	}
}

// More targets or cells move most targets to other cells, where their caches are unknown.
func TestGrowthMovesFewTargets(t *testing.T) {
	x, set := testService(doubleFleetTargets)
	l := NewLayout(x, set, nil)
	cellsBefore, cellOf := len(l.Groups()), map[string]Key{}
	for key, g := range l.Groups() {
		for _, target := range g.Targets {
			cellOf[target.ID] = key
		}
	}
	_, larger := testService(doubleFleetTargets * 5 / 4)
	l.SetTargets(x, larger)
	moved := 0
	for key, g := range l.Groups() {
		for _, target := range g.Targets {
			if before, known := cellOf[target.ID]; known && before != key {
				moved++
			}
		}
	}
	least := 1 - float64(cellsBefore)/float64(len(l.Groups()))
	if share := float64(moved) / doubleFleetTargets; share > least+0.01 {
		t.Errorf("a quarter more targets move %.2f of the others, want no more than the new cells hold, %.2f", share, least)
	}
}

// The exchange among all schedulers grows faster than the fleet.
func TestCellsGrowWithRootOfTargets(t *testing.T) {
	for _, n := range []int{384, 984, 9_845} {
		if few, many := cellCount(n, targetsPerCell), cellCount(4*n, targetsPerCell); float64(many) > 2.3*float64(few) {
			t.Errorf("%d cells for %d targets, %d for four times as many, want about twice as many cells", few, n, many)
		}
	}
}

func BenchmarkLayoutTargetChange(b *testing.B) {
	for _, n := range []int{984, 9_845, 19_690} {
		b.Run(fmt.Sprint("targets=", n), func(b *testing.B) {
			x, set := testService(n)
			l := NewLayout(x, set, testNodes(20))
			sets := []*routing.TargetSet{set, nil}
			e := set.Edit()
			e.Remove("t0007")
			sets[1] = e.Done(2)
			for i := 0; b.Loop(); i++ {
				l.SetTargets(x, sets[(i+1)%2])
			}
		})
	}
}

func BenchmarkGroupFor(b *testing.B) {
	for _, n := range []int{90, 984, 9_845, 19_690} {
		b.Run(fmt.Sprint("targets=", n), func(b *testing.B) {
			x, set := testService(n)
			l := NewLayout(x, set, testNodes(20))
			for i := uint64(0); b.Loop(); i++ {
				l.GroupFor("s", i*2654435761)
			}
		})
	}
}

func BenchmarkSetNodes(b *testing.B) {
	x, set := testService(9_845)
	for _, n := range []int{20, 300, 985, 1970} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			nodes := testNodes(n)
			l := NewLayout(x, set, nodes)
			for i := 0; b.Loop(); i++ {
				l.SetNodes(nodes[i%2:])
				for _, g := range l.Groups() {
					g.Schedulers()
				}
			}
		})
	}
}
