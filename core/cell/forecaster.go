// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"time"

	"madderway/core/batch"
	"madderway/core/forecast"
	"madderway/modules/saturate"
)

// meanReadGain is the weight of a placement in forecaster.meanRead: it spans about a second of
// a busy cell.
const meanReadGain = 1.0 / 64

// forecaster forecasts which waiting requests begin in time.
type forecaster struct {
	queue    forecast.Queue
	margin   forecast.Margin
	slack    forecast.Slack
	tightest time.Duration // slack, in the current decision
	meanRead time.Duration // prefill time of the placed requests
}

// refuseLate refuses waiting requests that are not forecast to begin in time. Requests are
// forecast in the order in which accounts will be served, so that those which find no room
// are of accounts that had more service.
func (c *Cell) refuseLate(now time.Time, accounts []*account) {
	c.forecastCapacity(now)
	c.forecaster.tightest = c.forecaster.slack.Tightest()
	least, count := leastLevel(accounts), len(accounts)
	var refused []*waiter
	c.forEachInFairOrder(accounts, func(w *waiter) bool {
		keep := c.mayWait(now, w)
		if !keep {
			refused = append(refused, w)
		}
		return keep
	})
	for _, w := range refused {
		if !w.prospect.firstEvent.IsZero() {
			c.forecaster.margin.ObserveAtLeast(now.Sub(w.prospect.firstEvent))
		}
		c.refuse(now, w, c.account(w.ask.Account), least, count)
	}
}

// forecastCapacity gives the forecast the targets that take requests. Cold ones are left
// out: their rate limit leaves no room to count on.
func (c *Cell) forecastCapacity(now time.Time) {
	q := &c.forecaster.queue
	q.Reset()
	for i := range c.views {
		v := &c.views[i]
		e := forecast.Engine{Wait: v.baseWait, FreeSlots: v.target.engine.FreeSlots(), SlotInterval: v.target.engine.SlotInterval()}
		if v.usable && !c.isCold(now, v.target) {
			e.Share = v.target.engine.PrefillShare()
		}
		q.AddEngine(e)
	}
}

// mayWait reports whether a request may wait on, and books its prefill in the forecast.
func (c *Cell) mayWait(now time.Time, w *waiter) bool {
	if c.unservable(w) {
		return false
	}
	waited := now.Sub(w.arrived)
	if !c.forecaster.queue.HasCapacity() || c.viewOf(w.best) == nil {
		return now.Before(w.waitUntil) // targets may come back soon
	}
	if waited >= c.longestWait(w) {
		return false
	}
	if w.prospect.late {
		return true
	}
	r := c.forecastRequest(w)
	engine, prefilled := c.forecaster.queue.Begin(r)
	if engine < 0 || !c.beginsInTime(now, w, prefilled) {
		return false
	}
	c.forecaster.queue.Book(engine, r)
	if w.prospect.firstEvent.IsZero() {
		w.prospect.firstEvent = now.Add(prefilled + w.prospect.latency)
	}
	return true
}

// forecastRequest returns the request as the forecast sees it. One whose preferred target
// gives no capacity may run anywhere.
func (c *Cell) forecastRequest(w *waiter) forecast.Request {
	r := forecast.Request{Engine: w.best.index, Read: w.prospect.read, Elsewhere: w.prospect.elsewhere}
	if !c.forecaster.queue.Takes(w.best.index) {
		r.Engine, r.Elsewhere = -1, max(w.prospect.elsewhere, w.prospect.shortest)
	}
	return r
}

// beginsInTime reports whether the request may count on its objective if its prefill ends
// after the given time. Within its hold time, in which a refused client can still come back,
// all sizes wait alike; a longer wait takes twice the margin, as a refusal would be too late.
func (c *Cell) beginsInTime(now time.Time, w *waiter, prefilled time.Duration) bool {
	o, p, margin := w.ask.Objective, &w.prospect, c.forecaster.margin.Get()
	waited := now.Sub(w.arrived)
	placed := waited + prefilled - p.read - backlogLimit
	if placed <= w.ask.Hold || c.nextInLine(now, w, c.account(w.ask.Account)) {
		return true
	}
	if placed > c.longestWait(w) {
		return false
	}
	if o <= 0 || p.turn || p.shortest+p.latency > o {
		return true
	}
	if waited < w.ask.Hold {
		margin *= 2
	}
	return now.Sub(w.first)+prefilled+p.latency+margin <= o
}

// nextInLine reports whether the request's account is so far behind another one that it goes
// first wherever a target has room. A refusal would bring the request back to the same place.
// With other cells, one of a starved account tries another after its hold time.
func (c *Cell) nextInLine(now time.Time, w *waiter, a *account) bool {
	if c.starved(now, a) {
		return c.siblings == 0 || now.Sub(w.arrived) < w.ask.Hold
	}
	return a.underserved(c.maxWaitingLevel)
}

// longestWait returns how long a request may wait. It follows the least time that requests
// had to spare lately: one that may wait longer than others would fill the queue before them.
func (c *Cell) longestWait(w *waiter) time.Duration {
	limit := saturate.Duration(extendedWaitShare * float64(w.ask.Objective))
	if c.forecaster.tightest > 0 && !c.account(w.ask.Account).underserved(c.maxWaitingLevel) {
		limit = min(limit, c.forecaster.fairWait(w.prospect.read))
	}
	return max(limit, w.ask.Hold)
}

// fairWait returns how long a request with the prefill time may wait beside others: the
// tightest slack, and longer the less of their time it takes.
func (o *forecaster) fairWait(read time.Duration) time.Duration {
	if read >= o.meanRead {
		return o.tightest
	}
	return saturate.Duration(float64(o.tightest) * float64(o.meanRead) / float64(max(read, time.Millisecond)))
}

// observePlaced takes the prefill time of a placement into the mean.
func (o *forecaster) observePlaced(read time.Duration) {
	o.meanRead += saturate.Duration(meanReadGain * float64(read-o.meanRead))
}

// observeSlack records how much time the new requests have to spare at an idle target.
func (c *Cell) observeSlack(now time.Time) {
	for _, w := range c.newWaiters {
		if w.best != nil && w.ask.Objective > 0 {
			c.forecaster.slack.Observe(now, w.ask.Objective-w.prospect.shortest-w.prospect.latency)
		}
	}
}

// observeBegin compares the first event of a run with its forecast.
func (c *Cell) observeBegin(now time.Time, r *run) {
	if !r.forecast.IsZero() && !r.engineRun.Begun() {
		c.forecaster.margin.Observe(now.Sub(r.forecast))
	}
}

// observeEnd records the delay of a run that ends without a first event.
func (c *Cell) observeEnd(now time.Time, r *run, o batch.Outcome) {
	if !r.forecast.IsZero() && !r.engineRun.Begun() && o != batch.OutcomeUnlisted {
		c.forecaster.margin.ObserveAtLeast(now.Sub(r.forecast))
	}
}
