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

// maxTargets is how many targets a cell has at most on average. One scheduler
// sees all of a cell; at twelve targets of 64 slots that is some hundred
// requests a second, about one percent of a core.
const maxTargets = 12

// Key names a cell of a service.
type Key string

// Layout says which targets belong to which cell and which gateways schedule
// it. Each gateway computes it alone from what it believes; where two differ
// for a while, two schedulers share a cell and each sees a part of the load.
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
	schedulers []string // schedulers are worked out when they are first asked for.
}

// Schedulers returns the gateways that schedule the cell, in the order of
// preference.
func (g *Group) Schedulers() []string {
	if g.schedulers == nil {
		g.schedulers = place.TopByStrength(g.layout.nodes, string(g.Key), candidates)
	}
	return g.schedulers
}

// candidates is how many gateways are named for each cell.
const candidates = 3

// NewLayout divides the targets of the services that have engines into cells.
func NewLayout(x *routing.Index, targets *routing.TargetSet, nodes []place.Node) *Layout {
	return newLayout(x, targets, nodes, maxTargets)
}

// newLayout makes cells of at most so many targets on average.
func newLayout(x *routing.Index, targets *routing.TargetSet, nodes []place.Node, most int) *Layout {
	l := &Layout{cells: map[string][]*Group{}, byKey: map[Key]*Group{}, nodes: nodes}
	if x == nil || targets == nil {
		return l
	}
	for i := range x.Configuration.Services {
		s := &x.Configuration.Services[i]
		if s.Engine == nil {
			continue
		}
		l.divide(s.Name, targets.ByService(s.Name), most)
	}
	return l
}

// WithNodes returns a layout of the same cells that other gateways schedule. It
// costs as much as there are cells, not as there are gateways: those of a large
// fleet come and go often.
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

func (l *Layout) divide(service string, targets []*routing.Target, most int) {
	groups := make([]*Group, cellCount(len(targets), most))
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

// cellCount is a power of two, so that a growing service splits cells in halves
// and seldom.
func cellCount(targets, most int) int {
	n := 1
	for targets > n*most {
		n *= 2
	}
	return n
}

// GroupFor returns the cell of a service that serves requests with this affinity: the
// highest weighted hash, the weight being the number of targets.
func (l *Layout) GroupFor(service string, affinity uint64) *Group {
	return l.Other(service, affinity, "")
}

// Other returns the cell that would serve requests with this affinity if there
// were not another one, or nil.
func (l *Layout) Other(service string, affinity uint64, than Key) *Group {
	var best *Group
	bestScore := math.Inf(-1)
	for _, g := range l.cells[service] {
		if g.Key == than || !g.takesWork() {
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

// takesWork tells whether a target of the cell may get anything. One whose targets all
// leave or lie in evacuated data halls is passed over; the others keep their prompts.
func (g *Group) takesWork() bool {
	return slices.ContainsFunc(g.Targets, (*routing.Target).TakesWork)
}

// Members returns those of some targets that belong to the cell: a scheduler has no use for the
// others, and an ask grows by some 25 bytes with each.
func (g *Group) Members(ids []string) []string {
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

// Group returns a cell by its key, or nil.
func (l *Layout) Group(key Key) *Group { return l.byKey[key] }

// Groups returns all cells.
func (l *Layout) Groups() map[Key]*Group { return l.byKey }

// Cells returns all cells of a service.
func (l *Layout) Cells(service string) []*Group { return l.cells[service] }

// Siblings returns the other cells of a cell's service.
func (l *Layout) Siblings(g *Group) []*Group {
	var out []*Group
	for _, other := range l.cells[g.Service] {
		if other.Key != g.Key {
			out = append(out, other)
		}
	}
	return out
}
