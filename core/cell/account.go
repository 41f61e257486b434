// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"math"
	"slices"
	"sort"
	"time"

	"madderway/modules/saturate"
)

const (
	minRetryAfter = 400 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// An underserved account's request may wait for up to this part of its objective.
	extendedWaitShare = 0.5
	// An account that is refused a larger share of its requests may use any target.
	starvedShare = 0.35
	// An account is underserved up to this share of another account's service.
	underservedRatio = 0.5
	// Replaces underservedRatio if there are other cells: moved requests are served later.
	elsewhereRatio = 0.65
	// Bounds how far a waiting account is ahead of another, as time of the capacity of all
	// targets. Without it, an account that used idle targets would wait for seconds once
	// others come.
	maxLead = 500 * time.Millisecond
	// Refresh interval of Cell.maxLevel.
	maxLevelInterval = 100 * time.Millisecond
	waitExtension    = 40 * time.Millisecond // extension of a request's wait before it is checked again
	evictInterval    = 10 * time.Second
)

// waiter is a request that waits for a target.
type waiter struct {
	key           requestKey
	ask           Ask
	arrived       time.Time
	first         time.Time // first attempt of the request, else the arrival
	returned      bool      // it was refused before
	due           bool      // it returned at the time it was told
	late          bool      // it could not be in time any more when it returned
	orderAt       time.Time // position within the account and rank: the arrival, later for longer prompts
	waitUntil     time.Time // then refused, unless extendWait moves it
	best          *target   // preferred target in the last decision
	scores        []uint64  // rendezvous hash of each target, valid for scoresVersion
	scoresVersion uint64
	prospect      prospect // with Rules.Forecast
}

// Span over which accounts are compared if the settings name none.
const defaultFairWindow = 4 * time.Second

// halfLifeOf returns the half-life of accounts' service for a fairness window. With half
// the window, service from a whole window ago counts for a quarter. With the whole window, an
// account that had used idle targets got less than half of what others got for seconds after
// they came.
func halfLifeOf(window time.Duration) time.Duration { return window / 2 }

// Within an account short prompts go first. A request is ordered as if it had arrived this
// many times its own prefill time later, so that long prompts do not starve.
const sizeAging = 2

// account is the queue of one client account. Waiting accounts are served in ascending
// order of level.
type account struct {
	name      string
	halfLife  time.Duration // of level, placed and refused
	level     float64       // decayed service in all cells of the service, in tokens
	placed    float64       // decayed number of requests
	refused   float64       // decayed number of requests
	decayedAt time.Time
	served    float64       // total service given in this cell
	reported  float64       // part of served that other cells were told of
	queue     []*waiter     // by rank, then by orderAt
	tried     int           // queue entries without a target in the current decision
	ahead     float64       // level after the requests that a forecast has passed
	next      int           // queue entry that a forecast comes to next
	passed    time.Duration // prefill time placed since the last turn of a request
}

func (a *account) before(b *account) bool {
	if a.level != b.level {
		return a.level < b.level
	}
	return a.name < b.name
}

func (c *Cell) account(name string) *account {
	a := c.accounts[name]
	if a == nil {
		a = &account{name: name, halfLife: halfLifeOf(c.fairWindow)}
		c.accounts[name] = a
	}
	return a
}

func (a *account) charge(now time.Time, service float64) {
	a.decay(now)
	a.level += service
}

func (a *account) decay(now time.Time) {
	if !now.After(a.decayedAt) {
		return
	}
	f := math.Exp2(-float64(now.Sub(a.decayedAt)) / float64(a.halfLife))
	a.level *= f
	a.placed *= f
	a.refused *= f
	a.decayedAt = now
}

func (w *waiter) before(other *waiter) bool {
	if w.ask.Rank != other.ask.Rank {
		return w.ask.Rank < other.ask.Rank
	}
	if w.ask.Bound != other.ask.Bound {
		return w.ask.Bound // its caller has a part of the stream, and fewer targets can serve it
	}
	if w.prospect.turn != other.prospect.turn {
		return w.prospect.turn
	}
	if order := w.compareReturns(other); order != 0 {
		return order < 0
	}
	if w.prospect.late != other.prospect.late {
		return other.prospect.late
	}
	return w.orderAt.Before(other.orderAt)
}

func (a *account) push(w *waiter) {
	at := sort.Search(len(a.queue), func(i int) bool { return w.before(a.queue[i]) })
	a.queue = append(a.queue, nil)
	copy(a.queue[at+1:], a.queue[at:])
	a.queue[at] = w
}

func (a *account) remove(w *waiter) {
	for i, other := range a.queue {
		if other == w {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			return
		}
	}
}

// orderAccounts returns the accounts with waiting requests, the lowest level first. Ranks
// only order requests within an account: marking work as urgent does not take another
// account's share.
func (c *Cell) orderAccounts(now time.Time) []*account {
	waiting := c.waitingAccounts[:0]
	for _, a := range c.accounts {
		if len(a.queue) > 0 {
			a.decay(now)
			a.tried = 0
			waiting = append(waiting, a)
		}
	}
	c.capLeads(waiting)
	sort.Slice(waiting, func(i, j int) bool { return waiting[i].before(waiting[j]) })
	c.waitingAccounts = waiting
	return waiting
}

// capLeads reduces the levels of waiting accounts to at most maxLead above the least
// served one: service given while nobody else waited must not delay an account for long.
func (c *Cell) capLeads(waiting []*account) {
	capacity := c.speed * float64(len(c.targets)*(c.siblings+1))
	if capacity <= 0 || len(waiting) == 0 {
		return
	}
	least := math.Inf(1)
	for _, a := range waiting {
		least = min(least, a.level)
	}
	for _, a := range waiting {
		a.level = min(a.level, least+capacity*maxLead.Seconds())
	}
}

// extendWait reports whether a request may wait beyond its hold time. An underserved
// account is next in line, so a refusal would only bring the request back to the same
// place. Requests of other accounts, except the most served one, keep waiting if their
// target will prefill them in time.
func (c *Cell) extendWait(now time.Time, w *waiter, a *account) bool {
	if w.ask.Objective <= 0 || now.Sub(w.arrived) >= saturate.Duration(extendedWaitShare*float64(w.ask.Objective)) {
		return false
	}
	if c.siblings > 0 && c.starved(now, a) {
		return false // the client should try another cell
	}
	if a.underserved(c.maxWaitingLevel) {
		return true
	}
	if a.level >= c.maxWaitingLevel && len(c.waitingAccounts) > 1 || !c.inTimeBehindQueue(now, w, a) {
		return false
	}
	w.waitUntil = now.Add(waitExtension)
	return true
}

// inTimeBehindQueue reports whether a request meets its objective at its preferred target
// after everything that is queued before it there.
func (c *Cell) inTimeBehindQueue(now time.Time, w *waiter, a *account) bool {
	i := slices.IndexFunc(c.views, func(v view) bool { return v.target == w.best })
	if i < 0 || !c.views[i].usable {
		return false
	}
	v := &c.views[i]
	ahead := v.target.engine.UncachedTokens(w.ask.Prompt)
	for _, other := range c.waiting {
		if other.best != w.best || other == w {
			continue
		}
		if b := c.accounts[other.ask.Account]; b.before(a) || b == a && other.before(w) {
			ahead += v.target.engine.UncachedTokens(other.ask.Prompt)
		}
	}
	return w.inTime(now, v.baseWait+seconds(float64(ahead)/v.speed))
}

// underserved reports whether the account has had far less service than the most served
// waiting account.
func (a *account) underserved(most float64) bool {
	return most > a.level && most*underservedRatio >= a.level
}

// starved reports whether the account has had far less service than another one and is
// often refused. With other cells, the comparison includes accounts that do not wait here:
// they may get their service there.
func (c *Cell) starved(now time.Time, a *account) bool {
	if a.refused <= starvedShare*(a.refused+a.placed) || a.refused <= 1 {
		return false
	}
	if c.siblings == 0 {
		return a.underserved(c.maxWaitingLevel)
	}
	best := c.highestLevel(now)
	return best > a.level && best*elsewhereRatio >= a.level
}

// highestLevel returns the highest level of all accounts; cached for maxLevelInterval.
func (c *Cell) highestLevel(now time.Time) float64 {
	if now.Sub(c.maxLevelAt) < maxLevelInterval {
		return max(c.maxLevel, c.maxWaitingLevel)
	}
	c.maxLevel, c.maxLevelAt = 0, now
	for _, a := range c.accounts {
		a.decay(now)
		c.maxLevel = max(c.maxLevel, a.level)
	}
	return c.maxLevel
}

// retryAfter returns when a refused client should retry, by its account's turn.
func (c *Cell) retryAfter(ahead float64, waiting int) time.Duration {
	return min(max(c.turn(ahead, waiting), minRetryAfter), maxRetryAfter)
}

// turn returns the time in which the account's share of the capacity makes up for its lead in
// service.
func (c *Cell) turn(ahead float64, waiting int) time.Duration {
	capacity := c.speed * float64(max(len(c.targets), 1))
	if capacity <= 0 {
		return 0
	}
	share := capacity / float64(max(waiting, 1))
	return saturate.Seconds(ahead / share)
}

// evictIdleAccounts drops accounts without requests, level or unreported service.
func (c *Cell) evictIdleAccounts(now time.Time) {
	if now.Sub(c.lastEviction) < evictInterval {
		return
	}
	c.lastEviction = now
	for name, a := range c.accounts {
		a.decay(now)
		if len(a.queue) == 0 && a.level < 1 && a.served == a.reported {
			delete(c.accounts, name)
		}
	}
}
