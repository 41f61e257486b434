// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"slices"
	"sort"
	"time"
)

// hopelessRetry is when a request may come back that no target of the cell takes: a new target
// is listed within a second or two of its start.
const hopelessRetry = time.Second

// view is a target as one decision sees it. It is made once for all requests
// that wait, and anew where something was placed.
type view struct {
	target *target
	usable bool
	source bool          // source tells that what the target keeps may be copied from it.
	full   bool          // full tells that it takes nothing now: all slots are taken, or it is cold and has just got something.
	booked time.Duration // booked is how long the target's reading is given away.
	base   time.Duration // base is the wait before a request that goes there is read.
	// penalty is what failures and a crowd there count for in the choice. It is no
	// wait: a request is not late for it.
	penalty time.Duration
	speed   float64 // tokens of prompts read in a second
}

// open tells whether the target takes a request while less than the limit of its
// reading is given away.
func (v *view) open(limit time.Duration) bool { return v.usable && !v.full && v.booked < limit }

func (c *Cell) makeView(now time.Time, t *target) view {
	e := t.engine
	slot, cold := e.SlotWait(), c.coldWait(now, t)
	source := !t.info.Leaving && e.Usable(now)
	crowd := float64(e.Running()) / float64(max(t.info.Slots, 1))
	return view{
		target: t, usable: source && !t.info.Evacuated, source: source, full: slot > 0 || cold > 0, booked: e.Booked(now), speed: e.Speed(),
		base:    max(e.Backlog(now)+slot, cold),
		penalty: time.Duration(e.Errors(now)*float64(errorPenalty)) + time.Duration(crowd*float64(crowdPenalty)),
	}
}

// look makes the views of all targets and tells whether one takes requests.
func (c *Cell) look(now time.Time) bool {
	c.views = c.views[:0]
	open := false
	for _, t := range c.sorted {
		v := c.makeView(now, t)
		open = open || v.open(backlogLimit)
		c.views = append(c.views, v)
	}
	return open
}

// dispatch places what may be placed, the account with the least service first, and
// refuses what has waited too long and has found no place now either. A request is
// tried once: what is placed takes room away and makes none.
func (c *Cell) dispatch(now time.Time) {
	if len(c.waiting) == 0 {
		return
	}
	open := c.look(now)
	for _, w := range c.unheard {
		c.prefer(w, c.options(now, w))
	}
	accounts := c.orderAccounts(now)
	c.maxWaitingLevel = accounts[len(accounts)-1].level
	all := slices.Clone(accounts)
	for open && len(accounts) > 0 {
		a := accounts[0]
		if !c.tryAccount(now, a) {
			accounts = accounts[1:]
			continue
		}
		open = c.anyOpen()
		sink(accounts)
	}
	c.refuseLate(now, all)
}

// sink moves the first account, which has just been given something, to its
// place among the others.
func sink(accounts []*account) {
	first := accounts[0]
	at := sort.Search(len(accounts)-1, func(i int) bool { return !accounts[i+1].before(first) })
	copy(accounts, accounts[1:at+1])
	accounts[at] = first
}

func (c *Cell) anyOpen() bool {
	for i := range c.views {
		if c.views[i].open(backlogLimit) {
			return true
		}
	}
	return false
}

// refuseLate refuses the requests of these accounts that have waited too long.
func (c *Cell) refuseLate(now time.Time, accounts []*account) {
	least := accounts[0].level
	for _, a := range accounts {
		least = min(least, a.level)
	}
	for _, a := range accounts {
		for _, w := range c.lateOf(now, a) {
			hopeless := c.hopeless(w)
			elsewhere := c.siblings > 0 && (hopeless || c.starved(now, a))
			after := c.retryAfter(a.level-least, len(accounts))
			if hopeless {
				after = max(after, hopelessRetry)
			}
			c.dequeue(w)
			c.counts.Refused++
			if c.anyOpen() {
				c.counts.RefusedWithRoom++
			}
			a.refused++
			c.emit(Refuse{
				Elsewhere: elsewhere,
				Entry:     w.key.entry, ID: w.key.id, RetryAfter: after, Account: a.name,
				Waited: now.Sub(w.arrived), Ahead: a.level - least, Booked: c.leastBooked(), Waiting: len(c.waiting),
			})
		}
	}
}

// lateOf returns the requests of an account that have waited for too long.
func (c *Cell) lateOf(now time.Time, a *account) []*waiter {
	var late []*waiter
	for _, w := range a.queue {
		if c.hopeless(w) || !now.Before(w.until) && !c.mayWaitOn(now, w, a) {
			late = append(late, w)
		}
	}
	return late
}

// hopeless tells whether no target of the cell will take a request, however long it waits:
// all leave, lie in evacuated data halls, or want nothing from its gateway.
func (c *Cell) hopeless(w *waiter) bool {
	for i := range c.views {
		t := &c.views[i].target.info
		if !t.Leaving && !t.Evacuated && !slices.Contains(w.ask.Deny, t.ID) {
			return false
		}
	}
	return len(c.views) > 0
}

// leastBooked returns how long the reading of the least busy target is given
// away, or -1 where no target is usable.
func (c *Cell) leastBooked() time.Duration {
	least := time.Duration(-1)
	for i := range c.views {
		if v := &c.views[i]; v.usable && (least < 0 || v.booked < least) {
			least = v.booked
		}
	}
	return least
}

// tryAccount places the next request of the account that finds a target.
func (c *Cell) tryAccount(now time.Time, a *account) bool {
	for i := a.tried; i < len(a.queue) && i < scanLimit; i++ {
		w := a.queue[i]
		c.counts.Tried++
		o, why, ok := c.choose(now, w)
		if !ok {
			a.tried++
			continue
		}
		c.dequeue(w)
		c.place(now, w, o, why)
		c.views[o.at] = c.makeView(now, c.views[o.at].target)
		return true
	}
	return false
}
