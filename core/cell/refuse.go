// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import "time"

// Least retry time for a request that no target of the cell may serve: new targets are
// listed within about a second of their start.
const unservableRetryAfter = time.Second

func (c *Cell) refuseOverdue(now time.Time, accounts []*account) {
	least := leastLevel(accounts)
	for _, a := range accounts {
		for _, w := range c.overdue(now, a) {
			c.refuse(now, w, a, least, len(accounts))
		}
	}
}

func leastLevel(accounts []*account) float64 {
	least := accounts[0].level
	for _, a := range accounts {
		least = min(least, a.level)
	}
	return least
}

// refuse refuses a waiting request. The least level and the number of waiting accounts set
// the time after which the client should retry. If a target has long been idle, the request is placed
// there instead.
func (c *Cell) refuse(now time.Time, w *waiter, a *account, least float64, accounts int) {
	if c.placeProbe(now, w) {
		return
	}
	unservable := c.unservable(w)
	elsewhere := c.siblings > 0 && (unservable || c.starved(now, a))
	moveTo := Key("")
	if !elsewhere && !c.anyAccepts() {
		moveTo = c.moveTo(now, w)
	}
	after, told := c.returnTime(now, w, c.turn(a.level-least, accounts), c.retryAfter(a.level-least, accounts))
	if unservable {
		after = max(after, unservableRetryAfter)
	}
	c.dequeue(w)
	c.counts.Refused++
	if c.anyAccepts() {
		c.counts.RefusedWithRoom++
	}
	a.refused++
	c.emit(Refuse{
		Elsewhere: elsewhere || moveTo != "", Cell: moveTo,
		Entry: w.key.entry, ID: w.key.id, RetryAfter: after, Account: a.name,
		Waited: now.Sub(w.arrived), Ahead: a.level - least, Booked: c.leastBooked(), Waiting: len(c.waiting),
		Return: told, SinceFirst: now.Sub(w.first),
	})
}

// overdue returns the account's requests that must be refused now.
func (c *Cell) overdue(now time.Time, a *account) []*waiter {
	var late []*waiter
	for _, w := range a.queue {
		if c.unservable(w) || !now.Before(w.waitUntil) && !c.extendWait(now, w, a) {
			late = append(late, w)
		}
	}
	return late
}

// unservable reports whether every target of the cell is leaving, evacuated or not for the
// request.
func (c *Cell) unservable(w *waiter) bool {
	for i := range c.views {
		t := &c.views[i].target.info
		if !t.Leaving && !t.Evacuated && w.ask.mayUse(t) {
			return false
		}
	}
	return len(c.views) > 0
}

// leastBooked returns the least booked prefill time of the usable targets, or -1 if there
// are none.
func (c *Cell) leastBooked() time.Duration {
	least := time.Duration(-1)
	for i := range c.views {
		if v := &c.views[i]; v.usable && (least < 0 || v.booked < least) {
			least = v.booked
		}
	}
	return least
}
