// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package admit

import (
	"sort"
	"time"

	"madderway/core/message"
)

func (q *Queuer) setHint(now time.Time, pool, scheduler string, free int) {
	if q.hints[pool] == nil {
		q.hints[pool] = map[string]hint{}
	}
	q.hints[pool][scheduler] = hint{free, now}
}

// updateDemands keeps the schedulers' view of a queue current: a scheduler that has granted
// all that was demanded gets a new demand, and demands of an empty queue are withdrawn after
// withdrawDelay.
func (q *Queuer) updateDemands(now time.Time, qu *queue) {
	if qu.tree.Len() == 0 {
		q.withdrawDemands(now, qu)
		return
	}
	if len(qu.demands) == 0 {
		q.addSchedulers(now, qu, 1)
	}
	interactive := qu.interactive > 0
	for id, d := range qu.demands {
		d.withdrawAt = time.Time{}
		fresh := now.Sub(d.sentAt) < demandRefreshInterval
		if d.remaining > 0 && d.interactive == interactive && fresh {
			continue
		}
		q.sendDemand(now, qu, id, d)
	}
}

func (q *Queuer) sendDemand(now time.Time, qu *queue, id string, d *demandState) {
	d.sentAt = now
	count := min(qu.tree.Len(), maxDemandCount)
	d.remaining, d.interactive = count, qu.interactive > 0
	head := qu.head()
	q.emit(DemandOut{To: id, Demand: message.Demand{
		Account: qu.key.account, Pool: qu.key.pool, Count: count,
		Interactive: min(qu.interactive, count), Cost: head.Cost, Deny: head.Deny, Prefix: head.Prefix,
	}})
}

func (q *Queuer) withdrawDemands(now time.Time, qu *queue) {
	for id, d := range qu.demands {
		if d.remaining == 0 {
			delete(qu.demands, id)
			continue
		}
		if d.withdrawAt.IsZero() {
			d.withdrawAt = now.Add(withdrawDelay)
			continue
		}
		if now.Before(d.withdrawAt) {
			continue
		}
		delete(qu.demands, id)
		q.emit(DemandOut{To: id, Lazy: true, Demand: message.Demand{Account: qu.key.account, Pool: qu.key.pool}})
	}
}

// widen sends the demand to more schedulers, doubling their number each time until all of the
// pool have it, so that a free slot anywhere is found.
func (q *Queuer) widen(now time.Time, qu *queue) {
	if !q.addSchedulers(now, qu, qu.widenBy) {
		qu.widenAt = now.Add(widenMaxDelay)
		return
	}
	qu.widenBy *= 2
	qu.widenAt = now.Add(min(widenInitialDelay*time.Duration(qu.widenBy), widenMaxDelay))
}

// addSchedulers sends the demand to up to n more schedulers. Those that were full by the last
// hint come last. Among the others, those with preferred targets come first, then this
// router's own scheduler, which costs no message, then those known to have free slots, the
// nearest, and the rest in rotation. It reports whether any scheduler was left.
func (q *Queuer) addSchedulers(now time.Time, qu *queue, n int) bool {
	candidates := q.candidates(now, qu)
	for _, id := range candidates[:min(n, len(candidates))] {
		d := &demandState{}
		qu.demands[id] = d
		q.sendDemand(now, qu, id, d)
	}
	return len(candidates) > 0
}

type candidate struct {
	id       string
	free     int
	prefer   float64
	distance int
	order    int
}

func (q *Queuer) candidates(now time.Time, qu *queue) []string {
	byID := map[string]*candidate{}
	var list []*candidate
	q.rotation++
	head := qu.head().Request
	for i, r := range q.allowed(head) {
		id := r.Scheduler.ID
		if qu.demands[id] != nil {
			continue
		}
		c := byID[id]
		if c == nil {
			c = &candidate{id: id, free: q.freeHint(now, qu.key.pool, id), distance: r.Distance, order: (i + q.rotation) % (len(q.routes[qu.key.pool]) + 1)}
			byID[id] = c
			list = append(list, c)
		}
		c.distance = min(c.distance, r.Distance)
		c.prefer = max(c.prefer, head.Prefer[r.Target])
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if (a.free < 0) != (b.free < 0) {
			return a.free >= 0
		}
		if a.prefer != b.prefer {
			return a.prefer > b.prefer
		}
		if (a.id == q.self) != (b.id == q.self) {
			return a.id == q.self
		}
		if a.free != b.free {
			return a.free > b.free
		}
		if a.distance != b.distance {
			return a.distance < b.distance
		}
		return a.order < b.order
	})
	ids := make([]string, len(list))
	for i, c := range list {
		ids[i] = c.id
	}
	return ids
}

// freeHint returns 1 if slots were free by the last hint, -1 if none was, and 0 if unknown.
// The number of slots is left out so that distance decides between schedulers with free slots.
func (q *Queuer) freeHint(now time.Time, pool, id string) int {
	h, ok := q.hints[pool][id]
	if !ok || now.Sub(h.at) > hintMaxAge {
		return 0
	}
	if h.free > 0 {
		return 1
	}
	return -1
}
