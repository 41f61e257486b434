// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"math"
	"time"

	"madderway/core/promise"
	"madderway/models/routing"
	"madderway/modules/saturate"
)

const (
	// Half-life of the rate of new requests: long enough for an average over some dozens,
	// short enough to see within the patience of callers that a load has ended.
	newWorkHalfLife = time.Second
	// Part of the engines' speed that returns find while new requests ask for all of it: requests
	// that end early, are withdrawn or fit between others leave as much.
	returnShare = 0.05
	// A return that keeps its time may wait for this part of its remaining time, as long as its
	// caller would wait to come again: its account's turn may come later than was foreseen.
	dueWaitShare         = 1.0 / 3
	promiseSweepInterval = time.Second
	// A rate over less than this part of its decayed time is no rate yet.
	leastObserved = 0.2
)

// Return classifies the retry time of a refused request.
type Return uint8

// What a refused request was told.
const (
	ReturnUnplanned Return = iota // a time by the account's lead
	ReturnPromised                // a time at which room is expected
	ReturnUnchanged               // the time of an earlier promise, as the request came before it
	ReturnUnsure                  // a time within its patience, as room comes later than it would wait
	ReturnNoRoom                  // a time past its deadline
)

var returnNames = [...]string{"unplanned", "promised", "unchanged", "unsure", "no room"}

// String returns the name as used in logs.
func (r Return) String() string { return returnNames[r] }

// returns schedules the returns of refused requests.
type returns struct {
	table     *promise.Table
	newWork   float64 // decayed tokens per second that new requests made engines prefill
	newWorkAt time.Time
	observed  float64 // part of the decayed time that is observed
	expiredAt time.Time
	room      promise.Capacity // as of roomAt
	roomAt    time.Time
}

// enableReturns creates or drops the promises as the rules say.
func (c *Cell) enableReturns() {
	switch {
	case !c.rules.Returns:
		c.returns = returns{}
	case c.returns.table == nil:
		c.returns.table = promise.NewTable()
	}
}

// ReturnCounts returns the totals of promises since the cell's start.
func (c *Cell) ReturnCounts() promise.Counts {
	if c.returns.table == nil {
		return promise.Counts{}
	}
	return c.returns.table.Counts()
}

func (c *Cell) returnState(now time.Time) *ReturnState {
	if c.returns.table == nil {
		return nil
	}
	return &ReturnState{Counts: c.returns.table.Counts(), Outstanding: c.returns.table.Len(), NewWork: c.returns.newWorkRate(now)}
}

// returnKey names a request in all its attempts.
func returnKey(p *routing.Prompt) promise.Key {
	if len(p.Parts) == 0 {
		return 0
	}
	return promise.Key(p.Parts[len(p.Parts)-1].ID)
}

// recognizeReturn makes the objective of a request that was refused before count from its
// first attempt. Only one that keeps the time it was told goes before new requests.
func (c *Cell) recognizeReturn(now time.Time, w *waiter) {
	if c.returns.table == nil {
		return
	}
	p := c.returns.table.Find(now, w.ask.Account, returnKey(w.ask.Prompt))
	if p == nil {
		return
	}
	w.first, w.returned, w.due = p.First, true, p.Room == promise.SureRoom && p.Due(now)
	left := w.ask.Objective - now.Sub(w.first)
	w.late = w.ask.Objective > 0 && left <= seconds(float64(w.ask.Prompt.OwnTokens())/max(c.meanSpeed(), 1))
	c.returns.table.Returned(!w.due)
	if w.due {
		w.waitUntil = later(w.waitUntil, now.Add(saturate.Duration(dueWaitShare*float64(w.ask.Remaining))))
	}
}

// compareReturns puts a return at the time it was told before the account's new requests, as
// long as it can still be in time. A late one waits like a new request: those that can be in time
// would be late behind it. It returns 0 if only their arrival decides.
func (w *waiter) compareReturns(other *waiter) int {
	if w.goesFirst() == other.goesFirst() {
		return 0
	}
	if w.goesFirst() {
		return -1
	}
	return 1
}

func (w *waiter) goesFirst() bool { return w.due && !w.late }

// servedReturn drops the promise to a request that was placed. The tokens are what its engine
// prefills.
func (c *Cell) servedReturn(now time.Time, w *waiter, tokens int) {
	if c.returns.table == nil {
		return
	}
	c.countNewWork(now, w, tokens)
	if w.returned {
		c.returns.table.Served(w.ask.Account, returnKey(w.ask.Prompt), w.due)
	}
}

// countNewWork counts the prompt tokens of a new request, placed or refused: what new requests
// would take is no room for returns.
func (c *Cell) countNewWork(now time.Time, w *waiter, tokens int) {
	if w.returned {
		return
	}
	c.returns.decay(now)
	c.returns.newWork += float64(tokens) * math.Ln2 / newWorkHalfLife.Seconds()
}

func (r *returns) decay(now time.Time) {
	if r.newWorkAt.IsZero() {
		r.newWorkAt = now
	}
	if since := now.Sub(r.newWorkAt); since > 0 {
		keep := math.Exp2(-float64(since) / float64(newWorkHalfLife))
		r.newWork *= keep
		r.observed = 1 - (1-r.observed)*keep
		r.newWorkAt = now
	}
}

// newWorkRate returns the tokens per second that new requests bring. A scheduler that has just
// started divides by the part of the time that it has seen.
func (r *returns) newWorkRate(now time.Time) float64 {
	r.decay(now)
	return r.newWork / max(r.observed, leastObserved)
}

// returnTime returns when a refused request should return: the given time, by the account's
// lead, or one at which the engines have room. The latter also waits for the account's turn,
// the time in which its share of the capacity makes up for its lead.
func (c *Cell) returnTime(now time.Time, w *waiter, turn, byLead time.Duration) (time.Duration, Return) {
	if c.returns.table == nil || c.unservable(w) {
		return byLead, ReturnUnplanned
	}
	work := c.leastUncached(w)
	c.countNewWork(now, w, work)
	room := c.roomForReturns(now)
	if room == nil {
		return byLead, ReturnUnplanned
	}
	if w.due {
		c.returns.table.Broke()
	}
	p, isNew := c.returns.table.Refuse(now, promise.Refusal{
		Key: returnKey(w.ask.Prompt), Account: w.ask.Account, First: w.first, Work: float64(work),
		Remaining: w.ask.Remaining, NotBefore: now.Add(c.decayedTurn(turn)), Unsure: now.Add(byLead),
	}, room)
	told := ReturnPromised
	switch {
	case !isNew:
		told = ReturnUnchanged
	case p.Room == promise.UnsureRoom:
		told = ReturnUnsure
	case p.Room == promise.NoRoom:
		told = ReturnNoRoom
	}
	return p.At.Sub(now), told
}

// decayedTurn shortens the time in which an account's lead is made up for, as the lead itself
// decays: a lead of many half-lives is gone after about one.
func (c *Cell) decayedTurn(turn time.Duration) time.Duration {
	halfLife := halfLifeOf(c.fairWindow)
	return saturate.Duration(float64(turn) / (1 + float64(turn)/float64(halfLife)))
}

// leastUncached returns the tokens of the request that its preferred target would prefill.
func (c *Cell) leastUncached(w *waiter) int {
	if w.best == nil {
		return w.ask.Prompt.Tokens
	}
	return w.best.engine.UncachedTokens(w.ask.Prompt)
}

// roomForReturns returns the capacity that new requests leave: the speed of the usable targets
// less the work that new requests brought lately, after all that is booked and waits. It
// returns nil if no target is usable. Refusals at the same time share the result.
func (c *Cell) roomForReturns(now time.Time) promise.Capacity {
	if now.Equal(c.returns.roomAt) {
		return c.returns.room
	}
	c.returns.roomAt, c.returns.room = now, nil
	speed, queued := 0.0, 0.0
	for i := range c.views {
		v := &c.views[i]
		if !v.usable || c.isCold(now, v.target) {
			continue
		}
		speed += v.speed
		queued += v.speed * v.booked.Seconds()
	}
	if speed <= 0 {
		return nil
	}
	for _, w := range c.waiting {
		queued += float64(c.leastUncached(w))
	}
	left := max(speed-c.returns.newWorkRate(now), returnShare*speed)
	c.returns.room = promise.Steady{Rate: left, FreeFrom: now.Add(seconds(queued / speed))}
	return c.returns.room
}

// expirePromises drops the promises that nobody will claim any more, about once a second.
func (c *Cell) expirePromises(now time.Time) {
	if c.returns.table == nil || now.Sub(c.returns.expiredAt) < promiseSweepInterval {
		return
	}
	c.returns.expiredAt = now
	c.returns.table.Expire(now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
