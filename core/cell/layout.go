// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/bits"
	"slices"

	"madderway/core/place"
	"madderway/models/routing"
	"madderway/modules/saturate"
)

const (
	// Largest average number of targets in a cell of a service with few targets. One scheduler
	// handles the whole cell: at twelve targets of 64 slots some hundred requests a second,
	// which take about one percent of a core.
	targetsPerCell = 12
	// Number of cells beyond which cells grow in size as well as in number, both with the square
	// root of the number of targets. The exchange among all schedulers then grows like the fleet,
	// instead of like its square, and a decision still looks at few targets.
	manyCells = 32
	// Beyond manyCells, the number of cells changes in steps of an eighth.
	stepsPerDoubling = 8
	// Number of gateways listed as schedulers of a cell.
	schedulersPerCell = 3
)

// Key identifies a cell of a service.
type Key string

// Layout assigns targets to cells and schedulers to each cell. Each gateway computes it
// from its own view; while views differ, two schedulers may share a cell, each seeing a
// part of its load. The same targets and gateways give the same layout, whatever came before.
// It is not safe for concurrent use.
type Layout struct {
	maxPerCell int
	services   map[string]*serviceCells
	byKey      map[Key]*Group
	targets    *routing.TargetSet
	nodes      map[string]place.Node
	nodeList   []place.Node
}

// serviceCells are the cells of one service.
type serviceCells struct {
	groups []*Group
	picker *picker // of groups, weighted by their targets
}

// Group is one cell of a layout.
type Group struct {
	Key     Key
	Service string
	Targets []*routing.Target // sorted by ID
	index   int               // among the cells of the service
	layout  *Layout
	// The gateways that rank highest as schedulers, nil until Schedulers is called.
	ranked     []place.Ranked
	schedulers []string
}

// Schedulers returns the gateways that may schedule the cell, in order of preference.
func (g *Group) Schedulers() []string {
	if g.ranked == nil {
		g.setRanked(place.RankByStrength(g.layout.nodeList, string(g.Key), schedulersPerCell))
	}
	return g.schedulers
}

func (g *Group) setRanked(ranked []place.Ranked) {
	g.ranked = ranked
	g.schedulers = make([]string, len(ranked))
	for i, r := range ranked {
		g.schedulers[i] = r.ID
	}
}

// NewLayout divides the targets of each service with an engine into cells.
func NewLayout(x *routing.Index, targets *routing.TargetSet, nodes []place.Node) *Layout {
	return newLayout(x, targets, nodes, targetsPerCell)
}

func newLayout(x *routing.Index, targets *routing.TargetSet, nodes []place.Node, maxPerCell int) *Layout {
	l := &Layout{
		maxPerCell: maxPerCell, services: map[string]*serviceCells{}, byKey: map[Key]*Group{}, targets: routing.NewTargetSet(0),
		nodes: map[string]place.Node{},
	}
	l.SetNodes(nodes)
	l.SetTargets(x, targets)
	return l
}

// SetTargets applies a new configuration and list of targets. It returns the cells whose targets or
// number of siblings have changed, including those that no longer exist. Its cost depends on the
// number of changes.
func (l *Layout) SetTargets(x *routing.Index, targets *routing.TargetSet) map[Key]bool {
	changed := map[Key]bool{}
	if x == nil || targets == nil {
		return changed
	}
	changes := targets.Changes(l.targets)
	l.targets = targets
	divided := l.divideServices(x, changed)
	for _, ch := range changes {
		if ch.Before != nil && !divided[ch.Before.Service] {
			l.remove(ch.Before, changed)
		}
		if ch.After != nil && !divided[ch.After.Service] {
			l.add(ch.After, changed)
		}
	}
	for key := range changed {
		l.weigh(l.byKey[key])
	}
	return changed
}

// divideServices divides the services whose number of cells changes, and returns them.
func (l *Layout) divideServices(x *routing.Index, changed map[Key]bool) map[string]bool {
	for service := range maps.Clone(l.services) {
		if s := x.Service(service); s == nil || s.Engine == nil {
			l.divide(service, 0, changed)
		}
	}
	divided := map[string]bool{}
	for i := range x.Configuration.Services {
		s := &x.Configuration.Services[i]
		if s.Engine == nil {
			continue
		}
		if n := cellCount(len(l.targets.ByService(s.Name)), l.maxPerCell); len(l.GroupsOf(s.Name)) != n {
			l.divide(s.Name, n, changed)
			divided[s.Name] = true
		}
	}
	return divided
}

// divide divides the targets of a service into n cells, 0 to drop the service.
func (l *Layout) divide(service string, n int, changed map[Key]bool) {
	old := l.GroupsOf(service)
	kept := min(n, len(old))
	for _, g := range old[kept:] {
		delete(l.byKey, g.Key)
		changed[g.Key] = true
	}
	if n == 0 {
		delete(l.services, service)
		return
	}
	groups := slices.Clone(old[:kept])
	for i := kept; i < n; i++ {
		g := &Group{Key: Key(fmt.Sprintf("%s/%d", service, i)), Service: service, index: i, layout: l}
		groups = append(groups, g)
		l.byKey[g.Key] = g
	}
	names := make([]string, n)
	for i, g := range groups {
		names[i], g.Targets, changed[g.Key] = string(g.Key), nil, true
	}
	for _, t := range l.targets.ByService(service) {
		g := groups[place.Bucket(t.ID, n)]
		g.Targets = append(g.Targets, t)
	}
	l.services[service] = &serviceCells{groups, newPicker(names)}
}

// add adds a target to its cell, unless its service has no engines.
func (l *Layout) add(t *routing.Target, changed map[Key]bool) {
	g := l.groupOf(t)
	if g == nil {
		return
	}
	changed[g.Key] = true
	at, found := g.search(t.ID)
	if found {
		g.Targets[at] = t
		return
	}
	g.Targets = slices.Insert(g.Targets, at, t)
}

// remove removes a target from its cell, unless its service has no engines.
func (l *Layout) remove(t *routing.Target, changed map[Key]bool) {
	g := l.groupOf(t)
	if g == nil {
		return
	}
	changed[g.Key] = true
	if at, found := g.search(t.ID); found {
		g.Targets = slices.Delete(g.Targets, at, at+1)
	}
}

// groupOf returns the cell that a target belongs to, or nil if its service has none.
func (l *Layout) groupOf(t *routing.Target) *Group {
	groups := l.GroupsOf(t.Service)
	if len(groups) == 0 {
		return nil
	}
	return groups[place.Bucket(t.ID, len(groups))]
}

func (g *Group) search(id string) (at int, found bool) {
	return slices.BinarySearchFunc(g.Targets, id, func(t *routing.Target, id string) int { return cmp.Compare(t.ID, id) })
}

// weigh makes a cell get requests in proportion to its targets. Cells with only leaving or
// evacuated targets get none.
func (l *Layout) weigh(g *Group) {
	if g == nil {
		return
	}
	weight := 0.0
	if slices.ContainsFunc(g.Targets, (*routing.Target).AcceptsWork) {
		weight = float64(len(g.Targets))
	}
	l.services[g.Service].picker.setWeight(g.index, weight)
}

// SetNodes replaces the gateways that may schedule. Only the schedulers of cells that a change
// touches are computed anew.
func (l *Layout) SetNodes(nodes []place.Node) {
	now := make(map[string]place.Node, len(nodes))
	var added []place.Node
	for _, n := range nodes {
		now[n.ID] = n
		if l.nodes[n.ID] != n {
			added = append(added, n)
		}
	}
	removed := map[string]bool{}
	for id, n := range l.nodes {
		if now[id] != n {
			removed[id] = true
		}
	}
	l.nodes, l.nodeList = now, nodes
	for _, g := range l.byKey {
		g.updateSchedulers(added, removed)
	}
}

// updateSchedulers adapts the schedulers, if they are known, to a change of gateways. A gateway
// that has changed is both removed and added.
func (g *Group) updateSchedulers(added []place.Node, removed map[string]bool) {
	if g.ranked == nil {
		return
	}
	if len(removed) > 0 && slices.ContainsFunc(g.schedulers, func(id string) bool { return removed[id] }) {
		g.ranked, g.schedulers = nil, nil
		return
	}
	for _, n := range added {
		r := place.Ranked{ID: n.ID, Score: place.ScoreByStrength(n, string(g.Key))}
		if len(g.ranked) < schedulersPerCell || r.Score > g.ranked[len(g.ranked)-1].Score {
			g.setRanked(place.Insert(slices.Clone(g.ranked), r, schedulersPerCell))
		}
	}
}

// cellCount returns the number of cells for a number of targets. Few cells are a power of two, so
// that their number changes rarely as a service grows.
func cellCount(targets, maxPerCell int) int {
	n := 1
	for targets > n*maxPerCell && n < manyCells {
		n *= 2
	}
	if targets <= n*maxPerCell {
		return n
	}
	exact := manyCells * math.Sqrt(float64(targets)/float64(manyCells*maxPerCell))
	step := 1 << (bits.Len(uint(saturate.Int(exact))) - 1) / stepsPerDoubling
	return saturate.Int(math.Ceil(exact/float64(step))) * step
}

// GroupFor returns the cell that serves requests with this affinity, or nil. It uses
// rendezvous hashing weighted by the number of targets.
func (l *Layout) GroupFor(service string, affinity uint64) *Group {
	return l.AlternativeTo(service, affinity, "")
}

// AlternativeTo returns the cell that would serve requests with this affinity if the cell
// with the given key did not exist, or nil.
func (l *Layout) AlternativeTo(service string, affinity uint64, except Key) *Group {
	s := l.services[service]
	if s == nil {
		return nil
	}
	excluded := noChoice
	if g := l.byKey[except]; g != nil && g.Service == service {
		excluded = g.index
	}
	picked := s.picker.pick(affinity, excluded)
	if picked == noChoice {
		return nil
	}
	return s.groups[picked]
}

// GroupForSoftware returns a cell, other than except, with a target of a software version that
// accepts work, or nil: the one for the affinity if it has such a target, else that of the target
// with the highest hash. Few requests need one, so it looks at all targets of the service.
func (l *Layout) GroupForSoftware(service, software string, affinity uint64, except Key) *Group {
	var best *Group
	bestScore, home := uint64(0), l.AlternativeTo(service, affinity, except)
	for _, t := range l.targets.ByService(service) {
		if t.Software != software || !t.AcceptsWork() {
			continue
		}
		g := l.groupOf(t)
		if g == nil || g.Key == except {
			continue
		}
		if g == home {
			return home
		}
		if score := place.Score(t.ID, affinity); best == nil || score > bestScore {
			best, bestScore = g, score
		}
	}
	return best
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
func (l *Layout) GroupsOf(service string) []*Group {
	s := l.services[service]
	if s == nil {
		return nil
	}
	return s.groups
}

// SiblingCount returns the number of other cells of the same service.
func (l *Layout) SiblingCount(g *Group) int { return len(l.GroupsOf(g.Service)) - 1 }
