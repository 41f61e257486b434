// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package admit

import (
	"time"

	"madderway/core/message"
)

// reroute takes new targets and schedulers. Requests in flight whose target
// has another scheduler now are handed to that one.
func (q *Queuer) reroute(now time.Time, pools map[string][]Route) {
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
		q.forgetSchedulers(now, qu)
	}
}

// forgetSchedulers drops what was asked of routers that no longer schedule for
// the pool, or that have restarted, and asks anew.
func (q *Queuer) forgetSchedulers(now time.Time, qu *queue) {
	alive := map[string]bool{}
	for _, r := range q.routes[qu.key.pool] {
		alive[r.Scheduler.ID] = true
	}
	for id, a := range qu.asked {
		if !alive[id] {
			delete(qu.asked, id)
			continue
		}
		a.remaining = 0
	}
	if qu.tree.Len() > 0 {
		qu.widenBy, qu.widenAt = 1, now.Add(widenFirst)
	}
	q.updateDemands(now, qu)
}

// sendInventories tells each scheduler which of its grants are still in use,
// and hands over requests to new owners.
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
