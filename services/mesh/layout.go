// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"slices"
	"time"

	"madderway/core/cell"
	"madderway/core/cold"
	"madderway/core/entry"
	coreorigin "madderway/core/origin"
	"madderway/core/place"
	"madderway/core/watch"
	"madderway/models/routing"
	"madderway/modules/ident"
	"madderway/services/discover"
)

// setRouting applies a new configuration and list of targets. A configuration may change the rules
// of all cells; otherwise only cells whose targets have changed are told.
func (l *Loop) setRouting(now time.Time, index *routing.Index, targets *routing.TargetSet) {
	configured := index != l.index
	l.index, l.targets = index, targets
	changed := l.layout.SetTargets(index, targets)
	for key, s := range l.cells {
		if configured || changed[key] {
			l.setTargets(now, key, s)
		}
	}
	l.stepEntry(now, entry.LayoutSeen{Layout: l.layout})
}

// applyInterval is the least time between two applications of membership changes for each member.
// They cost in proportion to the members, so the share of the processor stays the same.
const applyInterval = 100 * time.Microsecond

// applyMembers applies membership changes, once per batch of inputs or less often.
func (l *Loop) applyMembers(now time.Time) {
	if !l.membersChanged || now.Before(l.nextMembers) {
		return
	}
	l.membersChanged, l.nextMembers = false, now.Add(time.Duration(l.members.Count())*applyInterval)
	l.settle(now, now)
	nodes := l.members.Nodes()
	l.log.Info("Members changed.", "alive", len(nodes))
	l.memberCount.Store(int64(max(len(nodes), 1)))
	l.memberHistory.set(now, max(len(nodes), 1))
	l.knownCount.Store(int64(l.members.Count() + 1))
	l.watcher.Store(slices.Contains(place.Top(nodes, watcherKey, watch.Watchers), l.opts.Self.ID))
	l.registrar.Store(slices.Contains(place.Top(nodes, registrarKey, discover.Registrars), l.opts.Self.ID))
	if l.opts.OnMembers != nil {
		l.opts.OnMembers(l.members.Others())
	}
	l.layout.SetNodes(nodes)
	l.originKeepers = coreorigin.Keepers(nodes)
	l.keeper.Store(slices.ContainsFunc(l.originKeepers, func(n place.Node) bool { return n.ID == l.opts.Self.ID }))
	l.originBackups = coreorigin.Backups(nodes, l.opts.Self.ID)
	for key, s := range l.cells {
		l.updateColdShare(now, key, s)
	}
	l.stepEntry(now, entry.LayoutSeen{Layout: l.layout})
}

// announce gossips new versions to some peers at once. These announce them in turn, so that all
// gateways learn of them within a few hops.
func (l *Loop) announce(now time.Time) {
	v := l.opts.Follow.Versions()
	if v.Configuration == l.announced.Configuration && v.Targets == l.announced.Targets && v.Evacuations == l.announced.Evacuations && v.Leaving == l.announced.Leaving {
		return
	}
	l.announced = v
	for _, id := range l.members.GossipPeers(now) {
		l.out.Frame(now, id, true).Versions = versionsToWire(v)
	}
}

func (l *Loop) setTargets(now time.Time, key cell.Key, s *cellScheduler) {
	g := l.layout.Group(key)
	if g == nil {
		l.applyToCell(now, key, s, cell.TargetsSeen{})
		return
	}
	service := l.index.Service(g.Service)
	ev := cell.TargetsSeen{Siblings: l.layout.SiblingCount(g), FairWindow: l.opts.FairWindow, Transfer: service.Engine.Transfer}
	for _, t := range g.Targets {
		ev.Targets = append(ev.Targets, cell.TargetInfo{
			ID: t.ID, Slots: service.Engine.Slots, CacheTokens: service.Engine.CacheTokens, DataHall: t.DataHall, Leaving: t.Leaving,
			Evacuated: t.Evacuated, ColdUntil: t.ColdUntil, Software: t.Software,
		})
	}
	ev.Rules = l.opts.Scheduling.RulesFor(service)
	s.coldShare = l.coldShare(g)
	ev.ColdRate, ev.ColdShare = service.ColdRate, s.coldShare
	if n := len(l.targets.ByService(g.Service)); n > 0 {
		ev.TokensPerSecond = l.index.Configuration.Limits.TokensPerSecond / float64(n)
	}
	l.applyToCell(now, key, s, ev)
}

// targetCount returns the number of targets that are known of a cell.
func (l *Loop) targetCount(key cell.Key) int {
	if g := l.layout.Group(key); g != nil {
		return len(g.Targets)
	}
	return 0
}

// coldShare returns the part of a cell's cold targets' rate that this gateway may use.
func (l *Loop) coldShare(g *cell.Group) float64 {
	return cold.SchedulerShare(slices.Index(g.Schedulers(), l.opts.Self.ID), l.Members(), l.Known())
}

// updateColdShare updates a cell's share of its cold targets' rate after a membership change.
func (l *Loop) updateColdShare(now time.Time, key cell.Key, s *cellScheduler) {
	g := l.layout.Group(key)
	if g == nil {
		return
	}
	if share := l.coldShare(g); share != s.coldShare {
		s.coldShare = share
		l.applyToCell(now, key, s, cell.ColdShareSeen{Share: share})
	}
}

// schedulerOf returns the scheduler of a cell and creates it on first use. One that was not used
// for a while learns from a handover like a new one.
func (l *Loop) schedulerOf(now time.Time, key cell.Key) *cellScheduler {
	s := l.cells[key]
	if s == nil {
		s = &cellScheduler{cell: cell.New(), incarnation: ident.Incarnation(now.Unix())}
		l.cells[key] = s
		l.setTargets(now, key, s)
		l.log.Info("Scheduler taken over.", "cell", key, "targets", l.targetCount(key))
	}
	if now.Sub(s.lastUsed) > handoverLife {
		l.applyHandover(now, key, s)
	}
	s.lastUsed = now
	return s
}
