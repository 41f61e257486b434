// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"slices"
	"time"

	"madderway/models/routing"
)

// readAging takes the place of sizeAging under the forecast, as a factor of the prefill time:
// it differs less than sizes, since most of a prompt is cached or copied.
const readAging = 4

const (
	// turnShare lets the last request of an account's order go first once the account has got
	// this many times its prefill time since the last such turn, so that none starves.
	turnShare = 8
	// muchMore is the ratio of the last request's prefill time to the first one's from which
	// the last one needs turns.
	muchMore = 2
)

// prospect holds the expected times of a waiting request.
type prospect struct {
	read       time.Duration // prefill time at the preferred target
	elsewhere  time.Duration // least copy and prefill time without reading shared parts, 0 if it would
	shortest   time.Duration // least copy and prefill time at any target
	latency    time.Duration // from the end of the prefill to the first event
	firstEvent time.Time     // forecast when the request arrived
	late       bool          // the objective can no longer be met
	turn       bool          // goes first although it is late or reads much
}

// update takes over the preferred target and the times at the others.
func (x *prospect) update(views []view, best option, options []option, p *routing.Prompt) {
	x.latency = views[best.index].target.engine.FirstLatency()
	x.read = best.prefillTime(views)
	x.elsewhere, x.shortest = 0, x.read+best.linkTime
	for _, o := range options {
		took := o.linkTime + o.prefillTime(views)
		x.shortest = min(x.shortest, took)
		if o.index == best.index || sharedTokens(p, o.missing-o.tokens) > 0 {
			continue
		}
		if x.elsewhere == 0 || took < x.elsewhere {
			x.elsewhere = took
		}
	}
}

// prefillTime returns the time to prefill what is neither cached nor copied.
func (o *option) prefillTime(views []view) time.Duration {
	return seconds(float64(o.missing-o.tokens) / views[o.index].speed)
}

// isLate reports whether the request can no longer meet its objective. A request that no
// idle target would serve in time for its size is not late at its first attempt: a size is
// not shut out.
func (w *waiter) isLate(now time.Time) bool {
	o, took := w.ask.Objective, w.prospect.shortest+w.prospect.latency
	if o <= 0 || w.prospect.turn {
		return false
	}
	if !w.first.Before(w.arrived) && took > o && w.prospect.latency < o {
		return false
	}
	return now.Sub(w.first)+took > o
}

// orderQueues orders the requests of each account by rank, then those that can be in time
// before late ones, then by what their preferred target has to read.
func (c *Cell) orderQueues(now time.Time) {
	for _, a := range c.accounts {
		if len(a.queue) > 0 {
			c.orderQueue(now, a)
		}
	}
}

func (c *Cell) orderQueue(now time.Time, a *account) {
	for _, w := range a.queue {
		if v := c.viewOf(w.best); v == nil || !v.usable {
			c.pickCheapest(now, w, c.options(now, w))
		}
		w.prospect.late = w.isLate(now)
		w.orderAt = w.arrived.Add(readAging * w.prospect.read)
	}
	slices.SortStableFunc(a.queue, compareWaiters)
	if a.giveTurn() {
		slices.SortStableFunc(a.queue, compareWaiters)
	}
}

// giveTurn lets the last request of the queue go first if it would starve otherwise, and
// reports whether it did.
func (a *account) giveTurn() bool {
	first, last := &a.queue[0].prospect, &a.queue[len(a.queue)-1].prospect
	if first.turn || !last.late && last.read < muchMore*first.read || a.passed < turnShare*last.read {
		return false
	}
	last.late, last.turn, a.passed = false, true, 0
	return true
}

// viewOf returns the view of a target, or nil if it is not listed.
func (c *Cell) viewOf(t *target) *view {
	if t == nil || t.index >= len(c.views) || c.views[t.index].target != t {
		return nil
	}
	return &c.views[t.index]
}

func compareWaiters(a, b *waiter) int {
	if a.before(b) {
		return -1
	}
	if b.before(a) {
		return 1
	}
	return 0
}

// countTurn counts the prefill time of a placement for turnShare.
func (a *account) countTurn(w *waiter) {
	if !w.prospect.turn {
		a.passed += w.prospect.read
	}
}
