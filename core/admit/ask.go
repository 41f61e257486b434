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

// updateDemands keeps the schedulers' view of a queue good enough: a scheduler that has
// granted all that it was told of hears of the rest, one that was asked for
// requests that are gone hears so a little later.
func (q *Queuer) updateDemands(now time.Time, qu *queue) {
	if qu.tree.Len() == 0 {
		q.takeBack(now, qu)
		return
	}
	if len(qu.asked) == 0 {
		q.askMore(now, qu, 1)
	}
	interactive := qu.interactive > 0
	for id, a := range qu.asked {
		a.cleanupAt = time.Time{}
		fresh := now.Sub(a.toldAt) < demandRefresh
		if a.remaining > 0 && a.interactive == interactive && fresh {
			continue
		}
		q.tell(now, qu, id, a)
	}
}

func (q *Queuer) tell(now time.Time, qu *queue, id string, a *asked) {
	a.toldAt = now
	count := min(qu.tree.Len(), demandCap)
	a.remaining, a.interactive = count, qu.interactive > 0
	head := qu.head()
	q.emit(DemandOut{To: id, Demand: message.Demand{
		Account: qu.key.account, Pool: qu.key.pool, Count: count,
		Interactive: min(qu.interactive, count), Cost: head.Cost, Deny: head.Deny, Prefix: head.Prefix,
	}})
}

func (q *Queuer) takeBack(now time.Time, qu *queue) {
	for id, a := range qu.asked {
		if a.remaining == 0 {
			delete(qu.asked, id)
			continue
		}
		if a.cleanupAt.IsZero() {
			a.cleanupAt = now.Add(cleanupDelay)
			continue
		}
		if now.Before(a.cleanupAt) {
			continue
		}
		delete(qu.asked, id)
		q.emit(DemandOut{To: id, Lazy: true, Demand: message.Demand{Account: qu.key.account, Pool: qu.key.pool}})
	}
}

// widen asks more schedulers, twice as many each time, until all of the pool
// are asked. So a free slot anywhere finds the work that waits.
func (q *Queuer) widen(now time.Time, qu *queue) {
	if !q.askMore(now, qu, qu.widenBy) {
		qu.widenAt = now.Add(widenMax)
		return
	}
	qu.widenBy *= 2
	qu.widenAt = now.Add(min(widenFirst*time.Duration(qu.widenBy), widenMax))
}

// askMore adds up to n schedulers. Those that were full by the last hint come
// last; of the others those with the preferred targets come first, then this
// router's own scheduler, which costs no message, then those known to have free
// slots, the nearest, and the rest in rotation. It reports whether there was any
// left to ask.
func (q *Queuer) askMore(now time.Time, qu *queue, n int) bool {
	candidates := q.candidates(now, qu)
	for _, id := range candidates[:min(n, len(candidates))] {
		a := &asked{}
		qu.asked[id] = a
		q.tell(now, qu, id, a)
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
	q.rotate++
	head := qu.head().Request
	for i, r := range q.allowed(head) {
		id := r.Scheduler.ID
		if qu.asked[id] != nil {
			continue
		}
		c := byID[id]
		if c == nil {
			c = &candidate{id: id, free: q.hintOf(now, qu.key.pool, id), distance: r.Distance, order: (i + q.rotate) % (len(q.routes[qu.key.pool]) + 1)}
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

// hintOf returns 1 where some slots were free, 0 where nothing is known and -1
// where no slot was free, so that near schedulers come first among equals.
func (q *Queuer) hintOf(now time.Time, pool, id string) int {
	h, ok := q.hints[pool][id]
	if !ok || now.Sub(h.at) > hintFreshness {
		return 0
	}
	if h.free > 0 {
		return 1
	}
	return -1
}
