// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package admit

import (
	"time"

	"madderway/core/message"
)

// setRoutes replaces the routes. Running requests whose target has a new scheduler are handed
// to it for adoption.
func (q *Queuer) setRoutes(now time.Time, pools map[string][]Route) {
	q.routes = pools
	adopt := map[string][]message.Adoption{}
	for _, r := range q.running {
		route, ok := q.route(r.pool, r.target)
		if !ok || route.Scheduler == r.scheduler {
			continue
		}
		r.scheduler = route.Scheduler
		q.adoptSeq++
		r.key = GrantKey{route.Scheduler.ID, q.adoptSeq}
		adopt[route.Scheduler.ID] = append(adopt[route.Scheduler.ID], message.Adoption{
			Grant: q.adoptSeq, Account: r.req.Account, Pool: r.pool, Target: r.target, Charged: r.charged,
		})
	}
	if len(adopt) > 0 {
		q.sendInventories(adopt)
	}
	for _, qu := range q.queues {
		q.resetDemands(now, qu)
	}
}

// resetDemands drops the demands of routers that no longer schedule for the pool and sends the
// others again, as their schedulers may have restarted.
func (q *Queuer) resetDemands(now time.Time, qu *queue) {
	schedulers := map[string]bool{}
	for _, r := range q.routes[qu.key.pool] {
		schedulers[r.Scheduler.ID] = true
	}
	for id, d := range qu.demands {
		if !schedulers[id] {
			delete(qu.demands, id)
			continue
		}
		d.remaining = 0
	}
	if qu.tree.Len() > 0 {
		qu.widenBy, qu.widenAt = 1, now.Add(widenInitialDelay)
	}
	q.updateDemands(now, qu)
}

// sendInventories sends each scheduler the grants that are still in use, and those to adopt.
func (q *Queuer) sendInventories(adopt map[string][]message.Adoption) {
	held := map[string][]message.GrantID{}
	for id := range adopt {
		held[id] = nil
	}
	for _, r := range q.running {
		held[r.key.Scheduler] = append(held[r.key.Scheduler], r.key.ID)
	}
	for id, ids := range held {
		q.emit(InventoryOut{To: id, Inventory: message.Inventory{Held: ids, Adopt: adopt[id]}})
	}
}
