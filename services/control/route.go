// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package control

import (
	"time"

	"madderway/core/admit"
	"madderway/core/fair"
	"madderway/core/limit"
	"madderway/core/place"
	"madderway/core/sched"
	"madderway/models/conf"
)

// updateRoutes computes the scheduler of each target and updates both state machines.
func (l *Loop) updateRoutes(now time.Time) {
	l.rerouteAt = time.Time{}
	if l.index == nil {
		return
	}
	nodes := l.members.Nodes()
	routes := map[string][]admit.Route{}
	var owned []*conf.Target
	var specs []sched.TargetSpec
	var pools []sched.PoolSpec
	for _, p := range l.index.Document.Pools {
		pool, own := l.routePool(nodes, p.Name)
		routes[p.Name] = pool
		owned = append(owned, own...)
		for _, t := range own {
			specs = append(specs, l.targetSpec(t, p))
		}
		if len(own) > 0 {
			pools = append(pools, l.poolSpec(p, pool))
		}
	}
	l.owned.Store(&owned)
	l.stepScheduler(now, sched.Configured{Pools: pools, Targets: specs, Weights: l.weights(), EntryDataHalls: l.dataHalls()})
	l.stepAdmission(now, admit.Routed{Pools: routes})
}

func (l *Loop) routePool(nodes []place.Node, pool string) (routes []admit.Route, owned []*conf.Target) {
	self := place.Node{ID: l.opts.Self.ID, DataHall: l.opts.Self.DataHall, Region: l.opts.Self.Region}
	for _, t := range l.index.TargetsOf(pool) {
		if t.Leaving || l.leaving[t.Name] {
			continue
		}
		site := place.Site{Name: t.Name, DataHall: t.DataHall, Region: t.Region}
		owner, ok := place.Owner(nodes, site)
		if !ok {
			continue
		}
		if owner.ID == self.ID {
			owned = append(owned, t)
		}
		routes = append(routes, admit.Route{
			Target: t.Name, Scheduler: l.members.Reporter(owner.ID), Distance: place.Distance(self, site),
		})
	}
	return routes, owned
}

func (l *Loop) targetSpec(t *conf.Target, p conf.Pool) sched.TargetSpec {
	spec := sched.TargetSpec{Name: t.Name, Pool: t.Pool, DataHall: t.DataHall, Slots: t.Slots}
	if p.Kind == conf.KindModel {
		spec.FirstTokenGoal, spec.TokenGapGoal = limit.DefaultFirstTokenGoal, limit.DefaultTokenGapGoal
	}
	return spec
}

func (l *Loop) poolSpec(p conf.Pool, routes []admit.Route) sched.PoolSpec {
	seen := map[fair.Reporter]bool{}
	var peers []fair.Reporter
	for _, r := range routes {
		if r.Scheduler.ID != l.opts.Self.ID && !seen[r.Scheduler] {
			seen[r.Scheduler] = true
			peers = append(peers, r.Scheduler)
		}
	}
	slots := 0
	for _, t := range l.index.TargetsOf(p.Name) {
		slots += t.Slots
	}
	return sched.PoolSpec{
		Name: p.Name, HeadStart: p.HeadStart, Quantum: p.Quantum, ReserveShare: l.opts.ReserveShare,
		MaxDebt: debtLimitBounds * float64(slots+1) * p.MaxCost, Peers: peers,
	}
}

func (l *Loop) weights() map[string]float64 {
	weights := make(map[string]float64, len(l.index.Document.Accounts))
	for _, a := range l.index.Document.Accounts {
		if a.Weight != defaultWeight {
			weights[a.Name] = a.Weight
		}
	}
	return weights
}

func (l *Loop) dataHalls() map[string]string {
	halls := map[string]string{l.opts.Self.ID: l.opts.Self.DataHall}
	for _, m := range l.members.Others() {
		halls[m.ID] = m.DataHall
	}
	return halls
}
