// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"slices"
	"sort"
	"time"

	"madderway/modules/saturate"
)

// view is the state of a target in one decision. It is shared by all waiting requests and
// refreshed after a placement.
type view struct {
	target   *target
	usable   bool
	source   bool          // cached parts may be copied from the target
	full     bool          // no free slot, or cold and at its rate limit
	booked   time.Duration // prefill time committed to placed requests
	baseWait time.Duration // time until the prefill of a request placed now starts
	// Cost of failures and load in the choice. Not part of the expected wait.
	penalty time.Duration
	speed   float64 // prompt tokens per second
}

// accepts reports whether the target can take a request and has less prefill time booked
// than the limit.
func (v *view) accepts(limit time.Duration) bool { return v.usable && !v.full && v.booked < limit }

func (c *Cell) makeView(now time.Time, t *target) view {
	e := t.engine
	slot, cold := e.SlotWait(), c.coldWait(now, t)
	source := !t.info.Leaving && e.Usable(now)
	occupancy := float64(e.Running()) / float64(max(t.info.Slots, 1))
	return view{
		target: t, usable: source && !t.info.Evacuated, source: source, full: slot > 0 || cold > 0, booked: e.Booked(now), speed: e.PrefillSpeed(),
		baseWait: max(e.Backlog(now)+slot, cold),
		penalty:  saturate.Duration(e.ErrorRate(now)*float64(errorPenalty)) + saturate.Duration(occupancy*float64(fullBatchPenalty)),
	}
}

// refreshViews rebuilds the views and reports whether a target accepts requests.
func (c *Cell) refreshViews(now time.Time) bool {
	c.views = c.views[:0]
	open := false
	for i, t := range c.sorted {
		t.index = i
		v := c.makeView(now, t)
		open = open || v.accepts(backlogLimit)
		c.views = append(c.views, v)
	}
	return open
}

// dispatch places waiting requests, the least served account first, and then refuses
// overdue ones. Each request is tried once: placements only use up capacity.
func (c *Cell) dispatch(now time.Time) {
	if len(c.waiting) == 0 {
		return
	}
	open := c.refreshViews(now)
	for _, w := range c.newWaiters {
		c.recordDemand(now, w)
		c.pickCheapest(now, w, c.options(now, w))
	}
	if c.rules.Forecast {
		c.observeSlack(now)
		c.orderQueues(now)
	}
	accounts := c.orderAccounts(now)
	c.maxWaitingLevel = accounts[len(accounts)-1].level
	all := slices.Clone(accounts)
	for open && len(accounts) > 0 {
		a := accounts[0]
		if !c.placeNext(now, a) {
			accounts = accounts[1:]
			continue
		}
		open = c.anyAccepts()
		reinsertFirst(accounts)
	}
	c.observeStall(now)
	if c.rules.Forecast {
		c.refuseLate(now, all)
		return
	}
	c.refuseOverdue(now, all)
}

// reinsertFirst moves the first account to its new position after its level has risen.
func reinsertFirst(accounts []*account) {
	first := accounts[0]
	at := sort.Search(len(accounts)-1, func(i int) bool { return !accounts[i+1].before(first) })
	copy(accounts, accounts[1:at+1])
	accounts[at] = first
}

func (c *Cell) anyAccepts() bool {
	for i := range c.views {
		if c.views[i].accepts(backlogLimit) {
			return true
		}
	}
	return false
}

// placeNext places the account's first request that finds a target.
func (c *Cell) placeNext(now time.Time, a *account) bool {
	for i := a.tried; i < len(a.queue) && i < scanLimit; i++ {
		w := a.queue[i]
		c.counts.Tried++
		o, reason, ok := c.choose(now, w)
		if !ok {
			a.tried++
			continue
		}
		c.dequeue(w)
		c.place(now, w, o, reason)
		c.views[o.index] = c.makeView(now, c.views[o.index].target)
		return true
	}
	return false
}
