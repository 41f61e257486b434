// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"fmt"
	"math"
	"slices"

	"madderway/core/place"
	"madderway/models/routing"
)

// Largest average number of targets in a cell.
const targetsPerCell = 12

// Key identifies a cell of a service.
type Key string

// Layout assigns targets to cells and schedulers to each cell. Each gateway computes it
// from its own view; while views differ, two schedulers may share a cell, each seeing a
// part of its load.
type Layout struct {
	cells map[string][]*Group // by service
	byKey map[Key]*Group
	nodes []place.Node
}

// Group is one cell of a layout. It is not safe for concurrent use.
type Group struct {
	Key        Key
	Service    string
	Targets    []*routing.Target
	layout     *Layout
	schedulers []string // computed by Schedulers
}

// Schedulers returns the gateways that may schedule the cell, in order of preference.
func (g *Group) Schedulers() []string {
	if g.schedulers == nil {
		g.schedulers = place.TopByStrength(g.layout.nodes, string(g.Key), schedulersPerCell)
	}
	return g.schedulers
}

// Number of gateways listed as schedulers of a cell.
const schedulersPerCell = 3

// NewLayout divides the targets of each service with an engine into cells.
func NewLayout(x *routing.Index, targets *routing.TargetSet, nodes []place.Node) *Layout {
	return newLayout(x, targets, nodes, targetsPerCell)
}

func newLayout(x *routing.Index, targets *routing.TargetSet, nodes []place.Node, maxPerCell int) *Layout {
	l := &Layout{cells: map[string][]*Group{}, byKey: map[Key]*Group{}, nodes: nodes}
	if x == nil || targets == nil {
		return l
	}
	for i := range x.Configuration.Services {
		s := &x.Configuration.Services[i]
		if s.Engine == nil {
			continue
		}
		l.assignTargets(s.Name, targets.ByService(s.Name), maxPerCell)
	}
	return l
}

// WithNodes returns a layout with the same cells and other gateways. Its cost depends on
// the number of cells only: gateways of a large fleet come and go often.
func (l *Layout) WithNodes(nodes []place.Node) *Layout {
	out := &Layout{cells: make(map[string][]*Group, len(l.cells)), byKey: make(map[Key]*Group, len(l.byKey)), nodes: nodes}
	for service, groups := range l.cells {
		for _, g := range groups {
			moved := &Group{Key: g.Key, Service: g.Service, Targets: g.Targets, layout: out}
			out.cells[service] = append(out.cells[service], moved)
			out.byKey[g.Key] = moved
		}
	}
	return out
}

func (l *Layout) assignTargets(service string, targets []*routing.Target, maxPerCell int) {
	groups := make([]*Group, cellCount(len(targets), maxPerCell))
	for i := range groups {
		key := Key(fmt.Sprintf("%s/%d", service, i))
		groups[i] = &Group{Key: key, Service: service, layout: l}
		l.byKey[key] = groups[i]
	}
	for _, t := range targets {
		best, bestScore := 0, uint64(0)
		for i := range groups {
			if score := place.Score(t.ID, uint64(i)); score > bestScore {
				best, bestScore = i, score
			}
		}
		groups[best].Targets = append(groups[best].Targets, t)
	}
	l.cells[service] = groups
}

// cellCount returns a power of two, so that the number of cells changes rarely as a
// service grows; about half of the targets then stay in their cells.
func cellCount(targets, maxPerCell int) int {
	n := 1
	for targets > n*maxPerCell {
		n *= 2
	}
	return n
}

// GroupFor returns the cell that serves requests with this affinity, or nil. It uses
// rendezvous hashing weighted by the number of targets.
func (l *Layout) GroupFor(service string, affinity uint64) *Group {
	return l.AlternativeTo(service, affinity, "")
}

// AlternativeTo returns the cell that would serve requests with this affinity if the cell
// with the given key did not exist, or nil.
func (l *Layout) AlternativeTo(service string, affinity uint64, except Key) *Group {
	var best *Group
	bestScore := math.Inf(-1)
	for _, g := range l.cells[service] {
		if g.Key == except || !g.takesWork() {
			continue
		}
		unit := (float64(place.Score(string(g.Key), affinity)>>11) + 0.5) / (1 << 53)
		score := float64(len(g.Targets)) / -math.Log(unit)
		if score > bestScore {
			best, bestScore = g, score
		}
	}
	return best
}

// takesWork reports whether a target of the cell may get requests. Cells with only leaving
// or evacuated targets are skipped.
func (g *Group) takesWork() bool {
	return slices.ContainsFunc(g.Targets, (*routing.Target).AcceptsWork)
}

// FilterTargets returns the given targets that belong to the cell. Dropping the others
// keeps messages to its scheduler small.
func (g *Group) FilterTargets(ids []string) []string {
	if g == nil || len(ids) == 0 {
		return ids
	}
	var out []string
	for _, t := range g.Targets {
		if slices.Contains(ids, t.ID) {
			out = append(out, t.ID)
		}
	}
	return out
}

// Group returns the cell with this key, or nil.
func (l *Layout) Group(key Key) *Group { return l.byKey[key] }

// Groups returns all cells.
func (l *Layout) Groups() map[Key]*Group { return l.byKey }

// GroupsOf returns the cells of a service.
func (l *Layout) GroupsOf(service string) []*Group { return l.cells[service] }

// Siblings returns the other cells of the same service.
func (l *Layout) Siblings(g *Group) []*Group {
	var out []*Group
	for _, other := range l.cells[g.Service] {
		if other.Key != g.Key {
			out = append(out, other)
		}
	}
	return out
}
