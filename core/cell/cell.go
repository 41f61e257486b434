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

// Weights of the scheduling decision.
const (
	// backlogLimit bounds what is sent to an engine ahead of its reading: enough
	// to keep it busy, little enough that who goes first is decided here.
	backlogLimit = 120 * time.Millisecond
	// outputWeight is the service of a token made, in tokens read.
	outputWeight = 2
	// scanLimit is how many waiting requests of an account are tried in one go.
	scanLimit = 16
)

type requestKey struct {
	entry string
	id    RequestID
}

type target struct {
	info     TargetInfo
	engine   *batch.Engine
	counted  time.Duration // counted is how much of its reading is in the cell's counts.
	linkFree time.Time     // linkFree is when the transfers that it takes part in are over.
	cold     cold.Pacer    // cold paces what it gets while it is cold.
}

type run struct {
	key     requestKey
	account string
	target  *target
	model   *batch.Run
}

// Cell is the scheduler of a few targets.
type Cell struct {
	targets         map[string]*target
	sorted          []*target
	draining        map[string]*target // gone holds targets that are no longer listed but still run something.
	accounts        map[string]*account
	waiting         map[requestKey]*waiter
	runs            map[requestKey]*run
	foreign         map[string]*foreign
	swept           time.Time
	speed           float64
	prior           *batch.Prior // prior is how fast the engines here read, as far as any has shown.
	siblings        int
	transfer        *routing.Transfer
	fairWindow      time.Duration
	coldRate        float64           // coldRate is how many requests a second a cold target bears, 0 for any number.
	coldShare       float64           // coldShare is the part of them that is placed here.
	inHall          map[string]keeper // inHall is what keepers returns, kept for its memory.
	counts          Counts
	layout          uint64  // layout counts the changes of the list of targets.
	maxWaitingLevel float64 // most is the highest level of an account that waits.
	maxLevel        float64 // best is the highest level of any account, as of bestAt.
	bestAt          time.Time
	views           []view     // views are the targets as one decision sees them, in the order of sorted.
	unheard         []*waiter  // unheard are waiters that arrived since the last decision.
	queued          []*account // queued is what order returns, kept for its memory.
	scratch         []option
	out             []Action
}

// New returns a cell without targets.
func New() *Cell {
	return &Cell{
		targets: map[string]*target{}, draining: map[string]*target{}, accounts: map[string]*account{},
		waiting: map[requestKey]*waiter{}, runs: map[requestKey]*run{}, foreign: map[string]*foreign{}, inHall: map[string]keeper{}, fairWindow: defaultFairWindow,
	}
}

// Step takes one event and returns what is to be done.
func (c *Cell) Step(now time.Time, ev Event) []Action {
	c.Apply(now, ev)
	return c.Decide(now)
}

// Apply notes one event. What follows from it is decided by the next Decide, so
// that events that come together cost one decision.
func (c *Cell) Apply(now time.Time, ev Event) {
	switch e := ev.(type) {
	case AskSeen:
		c.ask(now, e)
	case WithdrawSeen:
		c.withdraw(now, requestKey{e.Entry, e.ID})
	case BeganSeen:
		if r := c.runs[requestKey{e.Entry, e.ID}]; r != nil {
			r.target.engine.Begin(now, r.model)
		}
	case EndedSeen:
		c.endRun(now, requestKey{e.Entry, e.ID}, e.Outcome)
	case InventorySeen:
		c.inventory(now, e)
	case EntryGone:
		c.entryGone(now, e.Entry)
	case TargetsSeen:
		c.countReading(now)
		c.setTargets(e)
	case ColdShareSeen:
		c.coldShare = e.Share
	case TallySeen:
		c.takeTally(now, e)
	case SiblingTallySeen:
		c.takeGiven(now, e.Rows)
	case CachedPartsSeen:
		if t := c.targets[e.Target]; t != nil {
			t.engine.Learn(e.At, e.Parts)
		}
	case Tick:
		c.forget(now)
	}
}

// Decide refuses what is too late, places what may be placed and tells those
// that have arrived and wait.
func (c *Cell) Decide(now time.Time) []Action {
	c.out = nil
	c.dispatch(now)
	for _, w := range c.unheard {
		if c.waiting[w.key] == w {
			c.emit(Wait{w.key.entry, w.key.id})
		}
	}
	c.unheard = c.unheard[:0]
	return c.out
}

func (c *Cell) emit(a Action) { c.out = append(c.out, a) }

func (c *Cell) ask(now time.Time, e AskSeen) {
	key := requestKey{e.Entry, e.Ask.ID}
	if c.waiting[key] != nil || c.runs[key] != nil {
		return
	}
	c.counts.Asked++
	c.counts.AskedTokens += uint64(e.Ask.Prompt.Tokens)
	w := &waiter{key: key, ask: e.Ask, arrived: now, stands: now, until: now.Add(e.Ask.Hold)}
	if c.speed > 0 {
		w.stands = now.Add(seconds(sizeAging * float64(e.Ask.Prompt.Tokens) / c.speed))
	}
	c.waiting[key] = w
	c.account(e.Ask.Account).push(w)
	c.unheard = append(c.unheard, w)
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
	r.target.engine.End(now, r.model, o)
	if gone := c.draining[r.target.info.ID]; gone == r.target && gone.engine.Empty() {
		c.countTarget(now, gone)
		delete(c.draining, r.target.info.ID)
	}
}

// inventory makes the runs of an entry gateway those that it tells.
func (c *Cell) inventory(now time.Time, e InventorySeen) {
	told := map[RequestID]bool{}
	for i := range e.Held {
		h := &e.Held[i]
		told[h.ID] = true
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
		c.runs[key] = &run{key: key, account: h.Account, target: t, model: model}
	}
	for key := range c.runs {
		if key.entry == e.Entry && !told[key.id] {
			c.endRun(now, key, batch.OutcomeCanceled)
		}
	}
}

func (c *Cell) entryGone(now time.Time, entry string) {
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
	if c.prior == nil {
		c.prior = batch.NewPrior(e.TokensPerSecond)
	}
	seen := map[string]bool{}
	for _, info := range e.Targets {
		seen[info.ID] = true
		t := c.targets[info.ID]
		if t == nil {
			t = &target{engine: batch.NewEngineWithPrior(info.Slots, info.CacheTokens, c.prior)}
			c.targets[info.ID] = t
		}
		t.info = info
	}
	for id, t := range c.targets {
		if seen[id] {
			continue
		}
		delete(c.targets, id)
		if !t.engine.Empty() {
			c.draining[id] = t
		}
	}
	c.sorted = c.sorted[:0]
	for _, t := range c.targets {
		c.sorted = append(c.sorted, t)
	}
	sort.Slice(c.sorted, func(i, j int) bool { return c.sorted[i].info.ID < c.sorted[j].info.ID })
	c.layout++
}

func (c *Cell) place(now time.Time, w *waiter, o option, why Reason) {
	p, t, x := w.ask.Prompt, c.views[o.at].target, o.transfer
	anew := sharedOf(p, o.missing-x.tokens)
	if anew > 0 && why == ReasonCheapest && !c.cachedInCell(p) {
		why = ReasonUnseen
	}
	c.counts.Placed++
	c.counts.PlacedTokens += uint64(p.Tokens)
	c.counts.Read += uint64(max(o.missing-x.tokens, 0))
	c.counts.Anew[why] += uint64(anew)
	c.account(w.ask.Account).placed++
	c.startRun(now, w.key, w.ask.Account, t, p, x)
	placed := Place{
		Entry: w.key.entry, ID: w.key.id, Target: t.info.ID, Waited: now.Sub(w.arrived),
		Account: w.ask.Account, Subject: p.Affinity(), Anew: anew, Copied: x.tokens, Why: why,
	}
	if x.source != nil {
		placed.Source = x.source.info.ID
		c.counts.Copies++
		c.counts.Copied += uint64(x.tokens)
	}
	c.emit(placed)
}

// cachedInCell tells whether some engine of the cell keeps all the shared parts.
func (c *Cell) cachedInCell(p *routing.Prompt) bool {
	for _, t := range c.sorted {
		if sharedOf(p, t.engine.Missing(p)) == 0 {
			return true
		}
	}
	return false
}

func (c *Cell) startRun(now time.Time, key requestKey, account string, t *target, p *routing.Prompt, x transfer) {
	r := &run{key: key, account: account, target: t}
	r.model = t.engine.StartCopy(now, p, p.OutputEstimate(), x.tokens, x.takes)
	x.take(now, t)
	if c.isCold(now, t) {
		t.cold.Take(now, c.coldShare*c.coldRate)
	}
	c.runs[key] = r
	service := float64(p.Tokens + outputWeight*r.model.Output)
	a := c.account(account)
	a.charge(now, service)
	a.served += service
}

// isCold tells whether a target gets no more than a isCold one bears.
func (c *Cell) isCold(now time.Time, t *target) bool {
	return c.coldRate > 0 && now.Before(t.info.ColdUntil)
}

// coldWait returns how long it takes until a target may get a request, for its being
// cold: until it bears the next one, or is warm.
func (c *Cell) coldWait(now time.Time, t *target) time.Duration {
	if !c.isCold(now, t) {
		return 0
	}
	return t.cold.Wait(now, t.info.ColdUntil, c.coldShare*c.coldRate, c.coldShare)
}

// Waiting returns how many requests wait.
func (c *Cell) Waiting() int { return len(c.waiting) }

// Idle tells whether nothing waits and nothing runs.
func (c *Cell) Idle() bool { return len(c.waiting) == 0 && len(c.runs) == 0 }
