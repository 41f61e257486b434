// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"fmt"
	"slices"
	"testing"

	"madderway/core/place"
	"madderway/models/routing"
)

func testService(targets int) (*routing.Index, *routing.TargetSet) {
	x := routing.NewIndex(&routing.Configuration{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 64, CacheTokens: 500_000}}, {Name: "plain"}}})
	set := &routing.TargetSet{}
	for i := range targets {
		set.Targets = append(set.Targets, routing.Target{ID: fmt.Sprintf("t%04d", i), Service: "s"})
	}
	return x, set.BuildIndex()
}

func testNodes(n int) []place.Node {
	var out []place.Node
	for i := range n {
		out = append(out, place.Node{ID: fmt.Sprintf("g%03d", i)})
	}
	return out
}

func TestCellsStaySmall(t *testing.T) {
	for _, n := range []int{1, 9, 12, 13, 90, 140, 600} {
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
		if largest > 2*targetsPerCell {
			t.Errorf("with %d targets the largest cell has %d, want at most twice the average", n, largest)
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

// Guards against reassigning targets or computing all schedulers whenever a gateway comes
// or goes.
func TestWithNodesKeepsTargetAssignment(t *testing.T) {
	x, set := testService(320)
	few, many := NewLayout(x, set, testNodes(20)), NewLayout(x, set, testNodes(1000))
	allocations := func(l *Layout, n []place.Node) float64 {
		return testing.AllocsPerRun(20, func() { l = l.WithNodes(n) })
	}
	if a, b := allocations(few, testNodes(20)), allocations(many, testNodes(1000)); a != b || b > 200 {
		t.Errorf("%.0f allocations with 20 gateways, %.0f with 1,000; want as many, at most 200", a, b)
	}
	moved := few.WithNodes(testNodes(50))
	fresh := NewLayout(x, set, testNodes(50))
	for key, g := range fresh.Groups() {
		other := moved.Group(key)
		if len(other.Targets) != len(g.Targets) || !slices.Equal(other.Schedulers(), g.Schedulers()) {
			t.Errorf("%s: %d targets and %v, want %d and %v", key, len(other.Targets), other.Schedulers(), len(g.Targets), g.Schedulers())
		}
	}
}

func BenchmarkWithNodes(b *testing.B) {
	x, set := testService(320)
	for _, n := range []int{20, 100, 300, 1000} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			l, fleet := NewLayout(x, set, testNodes(n)), testNodes(n)
			for b.Loop() {
				l = l.WithNodes(fleet)
			}
		})
	}
}
