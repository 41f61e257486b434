// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"math"
	"slices"
	"sort"
	"time"
)

const (
	minRetryAfter = 400 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// waitOnShare is the part of the objective up to which a request of an
	// account that has had no more than waitOnLevel of another's service waits.
	waitOnShare = 0.5
	// starvedShare is the share of an account's requests that may be refused
	// before its work goes to any target.
	starvedShare = 0.35
	waitOnLevel  = 0.5
	// elsewhereLevel is the share of another account's service below which work goes to
	// other cells. It is more than the half at which the platform compares accounts:
	// what is moved is served a second later at best.
	elsewhereLevel = 0.65
	// mostAhead bounds how far an account that waits is ahead of another one, in time of
	// the capacity of all targets: one that had used idle targets waited for seconds
	// once others came, and got less than half of what they got. Half a second is what
	// one decision of fairness can be late by, the pause between tallies.
	mostAhead = 500 * time.Millisecond
	// bestEvery is how often it is looked who has had the most in all cells.
	bestEvery = 100 * time.Millisecond
	// waitOnStep is how long a request waits on before that is thought over.
	waitOnStep  = 40 * time.Millisecond
	forgetEvery = 10 * time.Second
)

// waiter is a request that waits for a target.
type waiter struct {
	key     requestKey
	ask     Ask
	arrived time.Time
	stands  time.Time // stands is its arrival for the order within its account, later the longer it is.
	until   time.Time // until is when it is refused, unless it may wait on.
	best    *target   // best is the target that it was last found to wait for.
	scores  []uint64  // scores are the targets' hashes for it, as of layout number scored.
	scored  uint64
}

// defaultFairWindow is the span over which accounts are compared where the
// settings name none.
const defaultFairWindow = 4 * time.Second

// halfOf returns the time in which the service that an account has had fades to a
// half: half of the span, so that what it got a whole span ago counts for a
// quarter. With the whole span an account that had used idle engines paid for that
// for seconds after others came, and got less than half of what they got.
func halfOf(window time.Duration) time.Duration { return window / 2 }

// sizeAging is how much later than it came a request stands in its account's
// queue, in times that a target needs to read its prompt: short work goes first,
// and long work is passed by what comes in that time only. With 1 the worth of days
// was the same, with 0 it fell by 0.02 on a deployment with many short replies.
const sizeAging = 2

// account is one client account's queue. Level is the service that it has had
// of late, in all cells of the service; between waiting accounts the one with
// the lowest level goes first.
type account struct {
	name    string
	half    time.Duration // half is the time in which level, placed and refused fade to a half.
	level   float64
	placed  float64 // placed and refused count requests of late; they fade alike.
	refused float64
	at      time.Time // at is when these were last faded.
	served  float64   // served is all it was given in this cell.
	told    float64   // told is served as the other cells know it.
	queue   []*waiter // by rank, then by where they stand
	tried   int       // tried is how many of the queue have found no target in this decision.
}

// before tells whether the account goes before another one.
func (a *account) before(b *account) bool {
	if a.level != b.level {
		return a.level < b.level
	}
	return a.name < b.name
}

func (c *Cell) account(name string) *account {
	a := c.accounts[name]
	if a == nil {
		a = &account{name: name, half: halfOf(c.fairWindow)}
		c.accounts[name] = a
	}
	return a
}

// charge adds service at a time.
func (a *account) charge(now time.Time, service float64) {
	a.fade(now)
	a.level += service
}

func (a *account) fade(now time.Time) {
	if !now.After(a.at) {
		return
	}
	f := math.Exp2(-float64(now.Sub(a.at)) / float64(a.half))
	a.level *= f
	a.placed *= f
	a.refused *= f
	a.at = now
}

// before tells whether a request goes before another one of its account.
func (w *waiter) before(other *waiter) bool {
	if w.ask.Rank != other.ask.Rank {
		return w.ask.Rank < other.ask.Rank
	}
	return w.stands.Before(other.stands)
}

// push adds a request.
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

// orderAccounts returns the accounts with waiting requests, the lowest level first.
// Ranks orderAccounts the requests of one account only: no account can take another's
// share by calling its work urgent.
func (c *Cell) orderAccounts(now time.Time) []*account {
	waiting := c.queued[:0]
	for _, a := range c.accounts {
		if len(a.queue) > 0 {
			a.fade(now)
			a.tried = 0
			waiting = append(waiting, a)
		}
	}
	c.boundLeads(waiting)
	sort.Slice(waiting, func(i, j int) bool { return waiting[i].before(waiting[j]) })
	c.queued = waiting
	return waiting
}

// boundLeads forgets what accounts that wait are ahead of the least served one beyond
// mostAhead of the service's capacity: they got it while others did not want it.
func (c *Cell) boundLeads(waiting []*account) {
	capacity := c.speed * float64(len(c.targets)*(c.siblings+1))
	if capacity <= 0 || len(waiting) == 0 {
		return
	}
	least := math.Inf(1)
	for _, a := range waiting {
		least = min(least, a.level)
	}
	for _, a := range waiting {
		a.level = min(a.level, least+capacity*mostAhead.Seconds())
	}
}

// mayWaitOn tells whether a request waits on beyond its time. One of an account
// that has had far less than another that waits is next in line, and would only
// come back to the same line. Any other one, but for those of the account that
// has had the most, waits on where what goes before it will be read soon enough.
func (c *Cell) mayWaitOn(now time.Time, w *waiter, a *account) bool {
	if w.ask.Objective <= 0 || now.Sub(w.arrived) >= time.Duration(waitOnShare*float64(w.ask.Objective)) {
		return false
	}
	if c.siblings > 0 && c.starved(now, a) {
		return false // another cell may have what this one has not
	}
	if a.underserved(c.maxWaitingLevel) {
		return true
	}
	if a.level >= c.maxWaitingLevel && len(c.queued) > 1 || !c.soon(now, w, a) {
		return false
	}
	w.until = now.Add(waitOnStep)
	return true
}

// soon tells whether a request will be in time at the target that it waits for,
// behind all that goes before it there.
func (c *Cell) soon(now time.Time, w *waiter, a *account) bool {
	i := slices.IndexFunc(c.views, func(v view) bool { return v.target == w.best })
	if i < 0 || !c.views[i].usable {
		return false
	}
	v := &c.views[i]
	ahead := v.target.engine.Missing(w.ask.Prompt)
	for _, other := range c.waiting {
		if other.best != w.best || other == w {
			continue
		}
		if b := c.accounts[other.ask.Account]; b.before(a) || b == a && other.before(w) {
			ahead += v.target.engine.Missing(other.ask.Prompt)
		}
	}
	return w.inTime(now, v.base+seconds(float64(ahead)/v.speed))
}

// underserved tells whether the account has had far less than another account
// that waits, most being the highest level of those.
func (a *account) underserved(most float64) bool {
	return most > a.level && most*waitOnLevel >= a.level
}

// starved tells whether the account has had far less than another one, and is refused
// so often that it gets less than it may claim. Where there are other cells, the other
// account need not wait here: it may get all that it asks there.
func (c *Cell) starved(now time.Time, a *account) bool {
	if a.refused <= starvedShare*(a.refused+a.placed) || a.refused <= 1 {
		return false
	}
	if c.siblings == 0 {
		return a.underserved(c.maxWaitingLevel)
	}
	best := c.bestLevel(now)
	return best > a.level && best*elsewhereLevel >= a.level
}

// bestLevel returns the highest level of all accounts, in all cells.
func (c *Cell) bestLevel(now time.Time) float64 {
	if now.Sub(c.bestAt) < bestEvery {
		return max(c.maxLevel, c.maxWaitingLevel)
	}
	c.maxLevel, c.bestAt = 0, now
	for _, a := range c.accounts {
		a.fade(now)
		c.maxLevel = max(c.maxLevel, a.level)
	}
	return c.maxLevel
}

// retryAfter tells a refused caller when its account's queue will have moved
// on: the time in which the engines read what the account is ahead by, beside so
// many accounts that wait.
func (c *Cell) retryAfter(ahead float64, waiting int) time.Duration {
	capacity := c.speed * float64(max(len(c.targets), 1))
	if capacity <= 0 {
		return minRetryAfter
	}
	share := capacity / float64(max(waiting, 1))
	d := time.Duration(ahead / share * float64(time.Second))
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// forget drops accounts that have neither requests nor a level to speak of.
func (c *Cell) forget(now time.Time) {
	if now.Sub(c.swept) < forgetEvery {
		return
	}
	c.swept = now
	for name, a := range c.accounts {
		a.fade(now)
		if len(a.queue) == 0 && a.level < 1 && a.served == a.told {
			delete(c.accounts, name)
		}
	}
}
