// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"madderway/core/batch"
	"madderway/models/routing"
)

var epoch = time.Unix(1_700_000_000, 0)

// simEngine prefills prompts in order at a fixed speed, has an LRU cache of parts and sends
// the first event a fixed time after the prefill.
type simEngine struct {
	id          string
	hall        string
	speed       float64
	idleAt      time.Time
	cached      map[uint64]int // tokens by part
	order       []uint64       // cached parts, least recently used first
	usedTokens  int
	cacheTokens int
	down        bool // sends no events
	crashed     bool // its runs have ended
}

// prefill queues a prompt and returns the tokens that are not cached, and those of them in
// shared parts.
func (e *simEngine) prefill(now time.Time, p *routing.Prompt) (missing, sharedMissing int) {
	whole := true
	for i, part := range p.Parts {
		if _, ok := e.cached[part.ID]; !ok || !whole {
			whole = false
			missing += part.Tokens
			if i < len(p.Parts)-1 {
				sharedMissing += part.Tokens
			}
		}
		e.touch(part)
	}
	if e.idleAt.Before(now) {
		e.idleAt = now
	}
	e.idleAt = e.idleAt.Add(time.Duration(float64(missing) / e.speed * float64(time.Second)))
	return missing, sharedMissing
}

// copy takes over the cached prefix of a prompt from another engine.
func (e *simEngine) copy(from *simEngine, p *routing.Prompt) {
	for _, part := range p.Parts {
		if _, ok := from.cached[part.ID]; !ok {
			return
		}
		e.touch(part)
	}
}

func (e *simEngine) touch(part routing.PromptPart) {
	if _, ok := e.cached[part.ID]; ok {
		for i, id := range e.order {
			if id == part.ID {
				e.order = append(e.order[:i], e.order[i+1:]...)
				break
			}
		}
	} else {
		e.cached[part.ID] = part.Tokens
		e.usedTokens += part.Tokens
	}
	e.order = append(e.order, part.ID)
	for e.usedTokens > e.cacheTokens {
		e.usedTokens -= e.cached[e.order[0]]
		delete(e.cached, e.order[0])
		e.order = e.order[1:]
	}
}

type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simAccount is a Poisson stream of requests of one account.
type simAccount struct {
	name      string
	perSecond float64
	prefixes  int    // number of shared parts that it draws from
	shared    int    // tokens of a shared part
	own       int    // average tokens of the part that is not shared
	base      uint64 // ID of its first shared part
	from      time.Duration
	until     time.Duration
	objective time.Duration // 0 for that of the simulation
	client    string        // client account, the name if empty
	hall      string        // where its requests enter
}

type simResult struct {
	asked, placed, refused, late, sharedPrefilled, prefilled int
	service                                                  float64
	lastRefused                                              time.Duration
}

// sim runs one cell against simulated engines, with a fixed seed.
type sim struct {
	now       time.Time
	cell      *Cell
	engines   map[string]*simEngine
	links     *routing.Transfer
	rules     Rules
	siblings  int
	assumed   float64 // configured speed of an engine, its own if 0
	crossed   int     // bodies sent to another hall
	queue     simQueue
	seq       int
	steps     int
	rng       *rand.Rand
	next      RequestID
	asks      map[RequestID]simAsk
	results   map[string]*simResult
	objective time.Duration
	slots     int                                    // per engine
	stream    time.Duration                          // run time of a request after its first event
	onRefuse  func(Refuse) bool                      // reports whether the request is tried elsewhere
	onPlace   func(id RequestID, target string) bool // reports whether the target accepts the request
	onBegin   func(ask simAsk)
	onWaited  func(ask simAsk, waited time.Duration) // before a placement or refusal
	onRefused func(a Refuse)                         // nil if refused callers give up
	deadline  time.Duration                          // of callers, from their first attempt; 0 if unknown
	frozen    time.Time                              // until then the scheduler handles no events
	held      []Event                                // that came since
}

type simAsk struct {
	account   string
	hall      string
	prompt    *routing.Prompt
	at        time.Time
	objective time.Duration
	moved     bool // tried in another cell
}

const simFirstEventDelay = 50 * time.Millisecond

func newSim(engines int, speed float64, memory int) *sim {
	s := &sim{
		now: epoch, cell: New(), engines: map[string]*simEngine{}, rng: rand.New(rand.NewPCG(1, 2)),
		asks: map[RequestID]simAsk{}, results: map[string]*simResult{}, objective: 800 * time.Millisecond, slots: 64, stream: time.Second,
	}
	for i := range engines {
		id := fmt.Sprintf("t%02d", i)
		s.engines[id] = &simEngine{id: id, speed: speed, cached: map[uint64]int{}, cacheTokens: memory}
	}
	s.sendTargets()
	return s
}

func (s *sim) sendTargets() {
	ev := TargetsSeen{Transfer: s.links, Rules: s.rules, Siblings: s.siblings}
	for id, e := range s.engines {
		ev.TokensPerSecond = cmp.Or(s.assumed, e.speed)
		ev.Targets = append(ev.Targets, TargetInfo{ID: id, Slots: s.slots, CacheTokens: e.cacheTokens, DataHall: e.hall})
	}
	s.step(ev)
}

func (s *sim) at(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now.Add(d), s.seq, run})
}

func (s *sim) step(ev Event) {
	if s.now.Before(s.frozen) || len(s.held) > 0 {
		s.hold(ev)
		return
	}
	s.handle(ev)
}

// hold keeps an event until the scheduler is no longer frozen.
func (s *sim) hold(ev Event) {
	s.held = append(s.held, ev)
	if len(s.held) == 1 {
		s.at(s.frozen.Sub(s.now), s.release)
	}
}

// release handles the held events in the order in which they came.
func (s *sim) release() {
	if s.now.Before(s.frozen) {
		s.at(s.frozen.Sub(s.now), s.release)
		return
	}
	held := s.held
	s.held = nil
	s.handle(StandstillEnded{})
	for _, ev := range held {
		s.handle(ev)
	}
}

func (s *sim) handle(ev Event) {
	s.steps++
	for _, a := range s.cell.Step(s.now, ev) {
		switch a := a.(type) {
		case Place:
			s.place(a)
		case Refuse:
			if s.onRefuse != nil && s.onRefuse(a) {
				continue
			}
			ask := s.asks[a.ID]
			s.observeWait(ask, a.Waited)
			r := s.results[ask.account]
			r.refused++
			r.lastRefused = s.now.Sub(epoch)
			if s.onRefused != nil {
				s.onRefused(a)
			}
		}
	}
}

func (s *sim) place(a Place) {
	ask, e := s.asks[a.ID], s.engines[a.Target]
	s.observeWait(ask, a.Waited)
	if s.onPlace != nil && !s.onPlace(a.ID, a.Target) {
		s.at(time.Millisecond, func() { s.step(EndedSeen{"entry", a.ID, batch.OutcomeNotSent}) })
		return
	}
	r := s.results[ask.account]
	if from := s.engines[a.Source]; from != nil {
		e.copy(from, ask.prompt)
	}
	missing, shared := e.prefill(s.now, ask.prompt)
	r.placed++
	if ask.hall != e.hall {
		s.crossed++
	}
	r.prefilled += missing
	r.sharedPrefilled += shared
	r.service += float64(missing + outputWeight*ask.prompt.MaxOutput)
	if e.down {
		return
	}
	first := e.idleAt.Add(simFirstEventDelay)
	if first.Sub(ask.at) > ask.objective {
		r.late++
	}
	s.at(first.Sub(s.now), func() {
		if e.crashed {
			return
		}
		s.step(BeganSeen{"entry", a.ID})
		if s.onBegin != nil {
			s.onBegin(ask)
		}
	})
	s.at(first.Sub(s.now)+s.stream, func() {
		if !e.crashed {
			s.step(EndedSeen{"entry", a.ID, batch.OutcomeDone})
		}
	})
}

func (s *sim) observeWait(ask simAsk, waited time.Duration) {
	if s.onWaited != nil {
		s.onWaited(ask, waited)
	}
}

// crash ends the runs of an engine and removes it from the list.
func (s *sim) crash(id string) {
	s.engines[id].crashed = true
	delete(s.engines, id)
	s.sendTargets()
	var lost []RequestID
	for key, r := range s.cell.runs {
		if r.target.info.ID == id {
			lost = append(lost, key.id)
		}
	}
	slices.Sort(lost)
	for _, id := range lost {
		s.step(EndedSeen{"entry", id, batch.OutcomeBroken})
	}
}

// restart lists an engine without cached parts.
func (s *sim) restart(id string, speed float64, memory int) {
	s.engines[id] = &simEngine{id: id, speed: speed, cached: map[uint64]int{}, cacheTokens: memory}
	s.sendTargets()
}

func (s *sim) ask(a *simAccount) {
	s.next++
	prefix := a.base + uint64(s.rng.IntN(a.prefixes))
	own := 1 + a.own/2 + s.rng.IntN(a.own)
	p := &routing.Prompt{
		Tokens: a.shared + own, MaxOutput: 60,
		Parts: []routing.PromptPart{{ID: prefix, Tokens: a.shared}, {ID: 1<<40 + uint64(s.next), Tokens: own}},
	}
	objective := cmp.Or(a.objective, s.objective)
	s.asks[s.next] = simAsk{account: a.name, hall: a.hall, prompt: p, at: s.now, objective: objective}
	s.results[a.name].asked++
	s.step(AskSeen{"entry", Ask{
		ID: s.next, Account: cmp.Or(a.client, a.name), Prompt: p, Hold: objective / 4, Objective: objective, Remaining: s.deadline, DataHall: a.hall, BodyBytes: p.Tokens,
	}})
}

func (s *sim) arrivals(a *simAccount) {
	if s.results[a.name] == nil {
		s.results[a.name] = &simResult{}
	}
	gap := time.Duration(s.rng.ExpFloat64() / a.perSecond * float64(time.Second))
	s.at(gap, func() {
		if s.now.Sub(epoch) >= a.until {
			return
		}
		s.ask(a)
		s.arrivals(a)
	})
}

// run simulates the accounts for the given time.
func (s *sim) run(length time.Duration, accounts []*simAccount) {
	s.start(length, accounts)
	runUntil(epoch.Add(length), s)
}

// start schedules the arrivals of the accounts and the ticks.
func (s *sim) start(length time.Duration, accounts []*simAccount) {
	for _, a := range accounts {
		if a.until == 0 {
			a.until = length
		}
		if a.from > 0 {
			s.results[a.name] = &simResult{}
		}
		s.at(a.from, func() { s.arrivals(a) })
	}
	s.every(10*time.Millisecond, func() { s.step(Tick{}) })
}

// every runs a function now and after each interval.
func (s *sim) every(interval time.Duration, run func()) {
	s.at(0, func() {
		run()
		s.at(interval, func() { s.every(interval, run) })
	})
}

// move asks another cell to place a refused request if the refusal names a cell, once.
func (s *sim) move(to *sim, r Refuse) bool {
	ask := s.asks[r.ID]
	if r.Cell == "" || ask.moved {
		return false
	}
	ask.moved = true
	to.asks[r.ID] = ask
	if to.results[ask.account] == nil {
		to.results[ask.account] = &simResult{}
	}
	to.now = s.now
	elapsed := s.now.Sub(ask.at)
	to.step(AskSeen{"entry", Ask{ID: r.ID, Account: ask.account, Prompt: ask.prompt, Hold: s.objective * 15 / 100, Objective: s.objective - elapsed}})
	return true
}

// runUntil runs the events of the simulations in the order of their times.
func runUntil(end time.Time, sims ...*sim) {
	for {
		first := slices.MinFunc(sims, func(a, b *sim) int { return a.queue[0].at.Compare(b.queue[0].at) })
		ev := heap.Pop(&first.queue).(simEvent)
		if ev.at.After(end) {
			return
		}
		first.now = ev.at
		ev.run()
	}
}

func (s *sim) total() simResult {
	var t simResult
	for _, r := range s.results {
		t.asked += r.asked
		t.placed += r.placed
		t.refused += r.refused
		t.late += r.late
		t.sharedPrefilled += r.sharedPrefilled
		t.prefilled += r.prefilled
	}
	return t
}
