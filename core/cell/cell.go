// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"sort"
	"time"

	"madderway/core/batch"
	"madderway/core/cold"
	"madderway/models/routing"
)

const (
	// Prefill time that may be queued at a target: enough to keep it busy, little enough
	// that the order is decided here.
	backlogLimit = 120 * time.Millisecond
	// Service of one output token, in input tokens.
	outputWeight = 2
	// Number of an account's waiting requests that are tried in one decision.
	scanLimit = 16
)

type requestKey struct {
	entry string
	id    RequestID
}

type target struct {
	info           TargetInfo
	engine         *batch.Engine // estimate of the target's queue, cache and speed
	countedPrefill time.Duration // part of the engine's prefill time that is in Cell.counts
	linkFreeAt     time.Time     // end of the transfers from or to the target
	coldPacer      cold.Pacer    // rate limit while the target is cold
	cacheKnown     bool          // it has reported the parts in its cache
	index          int           // in Cell.views
}

type run struct {
	key       requestKey
	account   string
	target    *target
	engineRun *batch.Run // the run in the target's batch.Engine
	forecast  time.Time  // forecast first event, zero without Rules.Forecast
}

// Cell schedules the requests of one cell. It is not safe for concurrent use.
type Cell struct {
	targets          map[string]*target
	sorted           []*target
	draining         map[string]*target // unlisted targets that still run requests
	accounts         map[string]*account
	waiting          map[requestKey]*waiter
	runs             map[requestKey]*run
	remoteTallies    map[string]*remoteTally
	lastEviction     time.Time
	speed            float64      // initial estimate of one target's tokens per second
	prior            *batch.Prior // prefill speed of all targets, the initial estimate for new ones
	siblings         int          // number of the service's other cells
	transfer         *routing.Transfer
	rules            Rules
	forecaster       forecaster
	fairWindow       time.Duration
	coldRate         float64 // requests per second that a cold target can serve, 0 for no limit
	coldShare        float64 // part of coldRate that this scheduler may use
	demand           hallDemand
	rooms            rooms                     // of the service's other cells
	lastRoom         readingSample             // as of the last report of this cell's room
	pendingEstimates map[string]batch.Estimate // of an earlier scheduler, of targets that are not listed yet
	holdersByHall    map[string]cacheHolder    // reused by findHolders
	counts           Counts
	returns          returns
	stall            stallWatch
	layoutVersion    uint64  // incremented when the list of targets changes
	maxWaitingLevel  float64 // highest level of the waiting accounts
	maxLevel         float64 // highest level of all accounts at maxLevelAt
	maxLevelAt       time.Time
	views            []view     // targets in the order of sorted, as seen by the current decision
	newWaiters       []*waiter  // arrived since the last decision
	waitingAccounts  []*account // result of the last orderAccounts
	cachesDue        time.Time  // until then the caches of some targets may be unknown
	scratch          []option   // reused by options
	out              []Action
}

// New returns a cell without targets.
func New() *Cell {
	return &Cell{
		targets: map[string]*target{}, draining: map[string]*target{}, accounts: map[string]*account{},
		waiting: map[requestKey]*waiter{}, runs: map[requestKey]*run{}, remoteTallies: map[string]*remoteTally{}, holdersByHall: map[string]cacheHolder{}, rooms: rooms{}, fairWindow: defaultFairWindow,
		prior: batch.NewPrior(0),
	}
}

// Step applies an event and decides.
func (c *Cell) Step(now time.Time, ev Event) []Action {
	c.Apply(now, ev)
	return c.Decide(now)
}

// Apply applies an event without deciding. Callers with several events apply all of them
// and call Decide once.
func (c *Cell) Apply(now time.Time, ev Event) {
	switch e := ev.(type) {
	case AskSeen:
		c.enqueue(now, e)
	case WithdrawSeen:
		c.withdraw(now, requestKey{e.Entry, e.ID})
	case BeganSeen:
		if r := c.runs[requestKey{e.Entry, e.ID}]; r != nil {
			c.observeBegin(now, r)
			r.target.engine.Begin(now, r.engineRun)
		}
	case EndedSeen:
		c.endRun(now, requestKey{e.Entry, e.ID}, e.Outcome)
	case InventorySeen:
		c.reconcile(now, e)
	case EntryEnded:
		c.releaseEntry(now, e.Entry)
	case TargetsSeen:
		c.countPrefillTime(now)
		c.setTargets(e)
	case ColdShareSeen:
		c.coldShare = e.Share
	case TallySeen:
		c.applyTally(now, e)
	case SiblingTallySeen:
		c.applySiblingTally(now, e.Rows)
	case HandoverSeen:
		c.applyHandover(now, e.Handover)
	case CachedPartsSeen:
		if t := c.targets[e.Target]; t != nil {
			t.engine.SyncCache(e.At, e.Parts)
			t.cacheKnown = true
		}
	case CachedPartsAsked:
		c.askedCaches(e)
	case RoomsSeen:
		c.rooms.record(now, e.Rooms)
	case StandstillEnded:
		for _, t := range c.sorted {
			t.engine.EndStandstill(now)
		}
	case Tick:
		c.evictIdleAccounts(now)
		c.expirePromises(now)
		c.demand.evict(now)
	}
}

// Decide refuses requests that are overdue, places others and acknowledges new ones that
// wait.
func (c *Cell) Decide(now time.Time) []Action {
	c.out = nil
	c.dispatch(now)
	for _, w := range c.newWaiters {
		if c.waiting[w.key] == w {
			c.emit(Wait{w.key.entry, w.key.id})
		}
	}
	c.newWaiters = c.newWaiters[:0]
	return c.out
}

func (c *Cell) emit(a Action) { c.out = append(c.out, a) }

func (c *Cell) enqueue(now time.Time, e AskSeen) {
	key := requestKey{e.Entry, e.Ask.ID}
	if c.waiting[key] != nil || c.runs[key] != nil {
		return
	}
	c.counts.Asked++
	c.counts.AskedTokens += uint64(e.Ask.Prompt.Tokens)
	w := &waiter{key: key, ask: e.Ask, arrived: now, first: now, orderAt: now, waitUntil: now.Add(e.Ask.Hold)}
	if c.speed > 0 {
		w.orderAt = now.Add(seconds(sizeAging * float64(e.Ask.Prompt.Tokens) / c.speed))
	}
	c.recognizeReturn(now, w)
	c.waiting[key] = w
	c.account(e.Ask.Account).push(w)
	c.newWaiters = append(c.newWaiters, w)
}

func (c *Cell) withdraw(now time.Time, key requestKey) {
	if w := c.waiting[key]; w != nil {
		c.dequeue(w)
		return
	}
	c.endRun(now, key, batch.OutcomeCanceled)
}

func (c *Cell) dequeue(w *waiter) {
	delete(c.waiting, w.key)
	a := c.account(w.ask.Account)
	a.remove(w)
}

func (c *Cell) endRun(now time.Time, key requestKey, o batch.Outcome) {
	r := c.runs[key]
	if r == nil {
		return
	}
	delete(c.runs, key)
	c.observeEnd(now, r, o)
	r.target.engine.End(now, r.engineRun, o)
	if t := c.draining[r.target.info.ID]; t == r.target && t.engine.Idle() {
		c.countTarget(now, t)
		delete(c.draining, r.target.info.ID)
	}
}

// reconcile replaces the runs of an entry gateway by those in its inventory.
func (c *Cell) reconcile(now time.Time, e InventorySeen) {
	held := map[RequestID]bool{}
	for i := range e.Held {
		h := &e.Held[i]
		held[h.ID] = true
		key := requestKey{e.Entry, h.ID}
		if c.runs[key] != nil {
			continue
		}
		if w := c.waiting[key]; w != nil {
			c.dequeue(w)
		}
		t := c.targets[h.Target]
		if t == nil {
			continue
		}
		model := t.engine.Adopt(now, h.Prompt, h.Prompt.OutputEstimate(), h.Begun)
		c.runs[key] = &run{key: key, account: h.Account, target: t, engineRun: model}
	}
	for key := range c.runs {
		if key.entry == e.Entry && !held[key.id] {
			c.endRun(now, key, batch.OutcomeCanceled)
		}
	}
}

func (c *Cell) releaseEntry(now time.Time, entry string) {
	for key, w := range c.waiting {
		if key.entry == entry {
			c.dequeue(w)
		}
	}
	for key := range c.runs {
		if key.entry == entry {
			c.endRun(now, key, batch.OutcomeCanceled)
		}
	}
}

func (c *Cell) setTargets(e TargetsSeen) {
	if e.FairWindow > 0 {
		c.fairWindow = e.FairWindow
	}
	c.speed, c.siblings, c.transfer = e.TokensPerSecond, e.Siblings, e.Transfer
	c.coldRate, c.coldShare = e.ColdRate, e.ColdShare
	c.rules = e.Rules
	c.enableReturns()
	c.prior.SetInitialSpeed(e.TokensPerSecond)
	seen := map[string]bool{}
	for _, info := range e.Targets {
		seen[info.ID] = true
		t := c.targets[info.ID]
		if t == nil {
			t = &target{engine: batch.NewEngineWithPrior(info.Slots, info.CacheTokens, c.prior)}
			c.seedNewTarget(info.ID, t.engine)
			c.targets[info.ID] = t
		}
		if t.info.Slots != info.Slots || t.info.CacheTokens != info.CacheTokens {
			t.engine.Resize(info.Slots, info.CacheTokens)
		}
		t.info = info
	}
	for id, t := range c.targets {
		if seen[id] {
			continue
		}
		delete(c.targets, id)
		if !t.engine.Idle() {
			c.draining[id] = t
		}
	}
	c.sorted = c.sorted[:0]
	for _, t := range c.targets {
		c.sorted = append(c.sorted, t)
	}
	sort.Slice(c.sorted, func(i, j int) bool { return c.sorted[i].info.ID < c.sorted[j].info.ID })
	c.layoutVersion++
}

func (c *Cell) place(now time.Time, w *waiter, o option, reason Reason) {
	p, t, x := w.ask.Prompt, c.views[o.index].target, o.transfer
	reread := sharedTokens(p, o.missing-x.tokens)
	if reread > 0 && reason == ReasonCheapest && !c.cachedInCell(p) {
		reason = ReasonUnseen
	}
	c.counts.Placed++
	c.counts.PlacedTokens += uint64(p.Tokens)
	c.counts.Read += uint64(max(o.missing-x.tokens, 0))
	c.counts.Anew[reason] += uint64(reread)
	c.account(w.ask.Account).placed++
	c.servedReturn(now, w, max(o.missing-x.tokens, 0))
	r := c.startRun(now, w.key, w.ask.Account, t, p, x)
	if c.rules.Forecast {
		r.forecast = w.prospect.firstEvent
		if r.forecast.IsZero() {
			r.forecast = now.Add(o.wait + t.engine.FirstLatency())
		}
		c.account(w.ask.Account).countTurn(w)
		c.forecaster.observePlaced(w.prospect.read)
	}
	crosses := t.crosses(&w.ask)
	if crosses {
		c.counts.Crossed++
	}
	placed := Place{
		Entry: w.key.entry, ID: w.key.id, Target: t.info.ID, Waited: now.Sub(w.arrived),
		Account: w.ask.Account, Affinity: p.AffinityKey(), RereadTokens: reread, CopiedTokens: x.tokens, Reason: reason, Crosses: crosses,
	}
	if x.source != nil {
		placed.Source = x.source.info.ID
		c.counts.Copies++
		c.counts.Copied += uint64(x.tokens)
	}
	c.emit(placed)
}

// cachedInCell reports whether a target of the cell has all shared parts of the prompt in
// its cache.
func (c *Cell) cachedInCell(p *routing.Prompt) bool {
	for _, t := range c.sorted {
		if sharedTokens(p, t.engine.UncachedTokens(p)) == 0 {
			return true
		}
	}
	return false
}

func (c *Cell) startRun(now time.Time, key requestKey, account string, t *target, p *routing.Prompt, x transfer) *run {
	r := &run{key: key, account: account, target: t}
	r.engineRun = t.engine.StartCopy(now, p, p.OutputEstimate(), x.tokens, x.delay)
	x.reserveLinks(now, t)
	if c.isCold(now, t) {
		t.coldPacer.Take(now, c.coldShare*c.coldRate)
	}
	c.runs[key] = r
	service := float64(p.Tokens + outputWeight*r.engineRun.OutputTokens)
	a := c.account(account)
	a.charge(now, service)
	a.served += service
	return r
}

// isCold reports whether the rate limit for cold targets applies.
func (c *Cell) isCold(now time.Time, t *target) bool {
	return c.coldRate > 0 && now.Before(t.info.ColdUntil)
}

// coldWait returns the time until the cold target may get a request, 0 if it may now or is
// warm.
func (c *Cell) coldWait(now time.Time, t *target) time.Duration {
	if !c.isCold(now, t) {
		return 0
	}
	return t.coldPacer.Wait(now, t.info.ColdUntil, c.coldShare*c.coldRate, c.coldShare)
}

// Waiting returns the number of waiting requests.
func (c *Cell) Waiting() int { return len(c.waiting) }

// Idle reports whether no request waits or runs.
func (c *Cell) Idle() bool { return len(c.waiting) == 0 && len(c.runs) == 0 }
