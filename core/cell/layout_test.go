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

func world(targets int) (*routing.Index, *routing.TargetSet) {
	x := routing.NewIndex(&routing.Configuration{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 64, CacheTokens: 500_000}}, {Name: "plain"}}})
	set := &routing.TargetSet{}
	for i := range targets {
		set.Targets = append(set.Targets, routing.Target{ID: fmt.Sprintf("t%04d", i), Service: "s"})
	}
	return x, set.Build()
}

func nodes(n int) []place.Node {
	var out []place.Node
	for i := range n {
		out = append(out, place.Node{ID: fmt.Sprintf("g%03d", i)})
	}
	return out
}

func TestCellsStaySmall(t *testing.T) {
	for _, n := range []int{1, 9, 12, 13, 90, 140, 600} {
		x, set := world(n)
		l := NewLayout(x, set, nodes(9))
		total, largest := 0, 0
		for _, g := range l.Groups() {
			total += len(g.Targets)
			largest = max(largest, len(g.Targets))
			if len(g.Schedulers()) != candidates {
				t.Errorf("%s has schedulers %v", g.Key, g.Schedulers())
			}
		}
		if total != n {
			t.Errorf("%d of %d targets are in a cell", total, n)
		}
		if largest > 2*maxTargets {
			t.Errorf("with %d targets a cell has %d", n, largest)
		}
	}
}

// Requests land on cells in proportion to their targets.
func TestAffinitiesFollowTheTargets(t *testing.T) {
	x, set := world(140)
	l := NewLayout(x, set, nodes(59))
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

// One gateway less moves only the cells that it scheduled.
func TestSchedulersMoveLittle(t *testing.T) {
	x, set := world(600)
	all := nodes(320)
	before, after := NewLayout(x, set, all), NewLayout(x, set, append(append([]place.Node{}, all[:7]...), all[8:]...))
	for key, g := range before.Groups() {
		if g.Schedulers()[0] != all[7].ID && after.Group(key).Schedulers()[0] != g.Schedulers()[0] {
			t.Errorf("%s moved from %s to %s", key, g.Schedulers()[0], after.Group(key).Schedulers()[0])
		}
	}
}

func TestNoCellWithoutEngines(t *testing.T) {
	x, set := world(3)
	l := NewLayout(x, set, nodes(3))
	if l.GroupFor("plain", 1) != nil || l.GroupFor("unknown", 1) != nil {
		t.Error("a service without engines has a cell")
	}
	empty := NewLayout(nil, nil, nil)
	if empty.GroupFor("s", 1) != nil {
		t.Error("an empty layout has a cell")
	}
}

// Gateways of a large fleet come and go often; a change of them divides no targets, and
// draws the schedulers of a cell only when that is asked.
func TestMembersChangeWithoutDividing(t *testing.T) {
	x, set := world(320)
	few, many := NewLayout(x, set, nodes(20)), NewLayout(x, set, nodes(1000))
	allocations := func(l *Layout, n []place.Node) float64 {
		return testing.AllocsPerRun(20, func() { l = l.WithNodes(n) })
	}
	if a, b := allocations(few, nodes(20)), allocations(many, nodes(1000)); a != b || b > 200 {
		t.Errorf("%.0f allocations with 20 gateways, %.0f with 1,000", a, b)
	}
	moved := few.WithNodes(nodes(50))
	fresh := NewLayout(x, set, nodes(50))
	for key, g := range fresh.Groups() {
		other := moved.Group(key)
		if len(other.Targets) != len(g.Targets) || !slices.Equal(other.Schedulers(), g.Schedulers()) {
			t.Errorf("%s: %d targets and %v, want %d and %v", key, len(other.Targets), other.Schedulers(), len(g.Targets), g.Schedulers())
		}
	}
}

func BenchmarkMembersChange(b *testing.B) {
	x, set := world(320)
	for _, n := range []int{20, 100, 300, 1000} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			l, fleet := NewLayout(x, set, nodes(n)), nodes(n)
			for b.Loop() {
				l = l.WithNodes(fleet)
			}
		})
	}
}
