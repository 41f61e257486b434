// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package sched

import (
	"time"

	"madderway/core/fair"
	"madderway/core/limit"
	"madderway/core/message"
	"madderway/core/place"
)

// Timing of the grant protocol.
const (
	UnconfirmedGrantTimeout = 20 * time.Second       // after it a grant missing from all inventories is released
	InventoryGrace          = 3 * time.Second        // inventories may miss younger grants
	TakeoverWait            = 300 * time.Millisecond // a new owner waits for adoptions before it grants
	TakeoverCountPeriod     = 3 * time.Second        // a new owner also uses the target's own count
	reserveWindow           = 2 * time.Second        // slots stay reserved after an interactive demand
	fullTallyEvery          = 32                     // every so many tallies contain all rows
	prefixMaxAge            = 5 * time.Minute        // older cache hints are ignored
	prefixMaxSize           = 512                    // cache hints per target
	tallyFreshnessIntervals = 3                      // older floors of a peer are ignored
	settleAgeTenths         = 12                     // age at which the ledger settles, in tenths of a tally interval
	minFloorWait            = 500 * time.Millisecond // accounts that have waited for less do not hold the floor
	defaultTallyInterval    = time.Second
	grantCounterBits        = 24 // low bits of a grant ID; the incarnation uses the next ones
)

// Options configure a Scheduler.
type Options struct {
	Self          fair.Reporter
	TallyInterval time.Duration // least time between two tallies to a peer
	TallyBudget   float64       // limit for tallies in bytes per second, 0 for none
}

// Size of a tally on the wire: packet and headers, and each row.
const (
	tallyOverheadBytes = 100
	tallyRowBytes      = 35
)

// Longest interval of tallies. While no account waits, the interval is multiplied by
// idleTallyFactor.
const (
	maxTallyInterval = 2500 * time.Millisecond
	idleTallyFactor  = 4
)

type grant struct {
	to          string // ID of the entry router
	account     string
	pool        *pool
	target      *target
	charged     float64
	issuedAt    time.Time
	confirmedAt time.Time // last report or inventory that named the grant
}

// Scheduler grants the slots of the targets that it owns. It is not safe for concurrent
// use.
type Scheduler struct {
	opts           Options
	pools          map[string]*pool
	targets        map[string]*target
	grants         map[message.GrantID]*grant
	weights        map[string]float64
	entryDataHalls map[string]string
	nextID         message.GrantID
	out            []Action
	Granted        uint64 // total number of grants
	Expired        uint64 // grants released without a report
}

// New returns a scheduler that owns no targets.
func New(opts Options) *Scheduler {
	if opts.TallyInterval == 0 {
		opts.TallyInterval = defaultTallyInterval
	}
	return &Scheduler{
		opts:           opts,
		pools:          map[string]*pool{},
		targets:        map[string]*target{},
		grants:         map[message.GrantID]*grant{},
		weights:        map[string]float64{},
		entryDataHalls: map[string]string{},
		// The incarnation keeps grant IDs unique across restarts of a router.
		nextID: message.GrantID(opts.Self.Incarnation%(1<<grantCounterBits)) << grantCounterBits,
	}
}

// Step applies an event and returns the resulting actions.
func (s *Scheduler) Step(now time.Time, ev Event) []Action {
	s.out = nil
	switch e := ev.(type) {
	case Configured:
		s.configure(now, e)
	case DemandSeen:
		s.applyDemand(now, e.From, e.Demand)
	case ReportSeen:
		s.applyReport(now, e.From, e.Report)
	case InventorySeen:
		s.reconcileInventory(now, e.From, e.Inventory)
	case TallySeen:
		s.mergeTally(now, e.From, e.Tally)
	case LoadSeen:
		s.applyLoad(now, e)
	case CacheSeen:
		s.applyCacheEvents(now, e)
	case EntryEnded:
		s.releaseEntry(now, e.ID)
	case Tick:
		s.tick(now)
	}
	return s.out
}

func (s *Scheduler) weight(account string) float64 {
	if w := s.weights[account]; w > 0 {
		return w
	}
	return 1
}

func (s *Scheduler) configure(now time.Time, c Configured) {
	s.weights, s.entryDataHalls = c.Weights, c.EntryDataHalls
	s.configurePools(c.Pools)
	s.configureTargets(now, c.Targets)
	for _, p := range s.pools {
		s.dispatch(now, p)
	}
}

func (s *Scheduler) configurePools(specs []PoolSpec) {
	keep := map[string]bool{}
	for _, spec := range specs {
		keep[spec.Name] = true
		p, ok := s.pools[spec.Name]
		if !ok {
			p = newPool(spec, s.opts.Self.ID)
			s.pools[spec.Name] = p
		}
		p.spec = spec
		p.ledger.SetMaxDebt(spec.MaxDebt)
		p.setPeers(spec.Peers, s.opts.Self)
	}
	for name := range s.pools {
		if !keep[name] {
			delete(s.pools, name)
		}
	}
}

func (p *pool) setPeers(peers []fair.Reporter, self fair.Reporter) {
	keep := map[fair.Reporter]bool{}
	for _, r := range peers {
		if r == self {
			continue
		}
		keep[r] = true
		if p.peers[r] == nil {
			p.peers[r] = &peerState{}
		}
	}
	for r := range p.peers {
		if !keep[r] {
			delete(p.peers, r)
		}
	}
}

func (s *Scheduler) configureTargets(now time.Time, specs []TargetSpec) {
	old := s.targets
	s.targets = make(map[string]*target, len(specs))
	for _, p := range s.pools {
		p.targets = p.targets[:0]
	}
	for _, spec := range specs {
		p := s.pools[spec.Pool]
		if p == nil {
			continue
		}
		t := old[spec.Name]
		if t == nil || t.spec.Pool != spec.Pool {
			t = newTarget(now, spec)
		}
		t.spec = spec
		t.limiter.SetCeiling(spec.Slots)
		s.targets[spec.Name] = t
		p.targets = append(p.targets, t)
	}
	// Entry routers hand the running requests of a lost target to its new owner, so the
	// grants are dropped without settling them.
	for id, g := range s.grants {
		if s.targets[g.target.spec.Name] != g.target {
			g.pool.addInFlight(g.account, -g.charged/s.weight(g.account))
			delete(s.grants, id)
		}
	}
}

func newTarget(now time.Time, spec TargetSpec) *target {
	return &target{
		spec: spec,
		limiter: limit.New(limit.Config{
			Ceiling:        spec.Slots,
			FirstTokenGoal: spec.FirstTokenGoal,
			TokenGapGoal:   spec.TokenGapGoal,
		}),
		prefixes:        place.NewPrefixMap(prefixMaxAge, prefixMaxSize),
		openFrom:        now.Add(TakeoverWait),
		countCompleteAt: now.Add(TakeoverCountPeriod),
	}
}

func (s *Scheduler) applyDemand(now time.Time, from string, d message.Demand) {
	p := s.pools[d.Pool]
	if p == nil {
		return
	}
	if d.Interactive > 0 {
		p.lastInteractive = now
	}
	p.setDemand(from, d)
	p.requeue(now, d.Account, s.weight(d.Account))
	s.dispatch(now, p)
}

func (s *Scheduler) charge(now time.Time, g *grant, cost float64) {
	delta := cost - g.charged
	g.charged = cost
	w := s.weight(g.account)
	g.pool.ledger.Charge(g.account, delta/w)
	g.pool.addInFlight(g.account, delta/w)
	if g.pool.queue.Has(g.account) {
		g.pool.requeue(now, g.account, w)
	}
}

func (s *Scheduler) release(id message.GrantID, g *grant) {
	delete(s.grants, id)
	g.pool.addInFlight(g.account, -g.charged/s.weight(g.account))
	g.target.inFlight--
}

func (s *Scheduler) applyReport(now time.Time, from string, r message.Report) {
	g := s.grants[r.Grant]
	if g == nil || g.to != from {
		return
	}
	g.confirmedAt = now
	switch r.Kind {
	case message.ReportProgress:
		if r.Cost > g.charged {
			s.charge(now, g, r.Cost)
		}
		return
	case message.ReportUnused:
		s.charge(now, g, 0)
	case message.ReportDone:
		s.charge(now, g, r.Cost)
		if r.Failed && r.Cost == 0 {
			// Unreachable: the next load report reopens the target.
			g.target.down = true
		}
		g.target.limiter.Observe(now, limit.Sample{FirstToken: r.FirstToken, TokenGap: r.TokenGap, Failed: r.Failed})
	}
	s.release(r.Grant, g)
	s.dispatch(now, g.pool)
}

func (s *Scheduler) reconcileInventory(now time.Time, from string, inv message.Inventory) {
	held := make(map[message.GrantID]bool, len(inv.Held))
	for _, id := range inv.Held {
		held[id] = true
		if g := s.grants[id]; g != nil && g.to == from {
			g.confirmedAt = now
		}
	}
	for _, a := range inv.Adopt {
		held[a.Grant] = true
		s.adopt(now, from, a)
	}
	for id, g := range s.grants {
		if g.to == from && !held[id] && now.Sub(g.issuedAt) > InventoryGrace {
			s.expire(now, id, g)
		}
	}
}

func (s *Scheduler) adopt(now time.Time, from string, a message.Adoption) {
	t := s.targets[a.Target]
	if t == nil || s.grants[a.Grant] != nil {
		return
	}
	t.inFlight++
	p := s.pools[t.spec.Pool]
	s.grants[a.Grant] = &grant{to: from, account: a.Account, pool: p, target: t, charged: a.Charged, issuedAt: now, confirmedAt: now}
	p.addInFlight(a.Account, a.Charged/s.weight(a.Account))
}

func (s *Scheduler) expire(now time.Time, id message.GrantID, g *grant) {
	s.Expired++
	s.release(id, g)
	s.dispatch(now, g.pool)
}

func (s *Scheduler) applyLoad(now time.Time, l LoadSeen) {
	t := s.targets[l.Target]
	if t == nil {
		return
	}
	t.running, t.down, t.leaving = l.Running, !l.Healthy, l.Leaving
	s.dispatch(now, s.pools[t.spec.Pool])
}

func (s *Scheduler) applyCacheEvents(now time.Time, c CacheSeen) {
	t := s.targets[c.Target]
	if t == nil {
		return
	}
	for _, e := range c.Events {
		t.prefixes.Apply(now, e)
	}
}

func (s *Scheduler) releaseEntry(now time.Time, id string) {
	for _, p := range s.pools {
		for account, ad := range p.demands {
			if at := ad.find(id); at >= 0 {
				ad.remove(at)
				p.requeue(now, account, s.weight(account))
			}
		}
	}
	for gid, g := range s.grants {
		if g.to == id {
			s.expire(now, gid, g)
		}
	}
}

func (s *Scheduler) tick(now time.Time) {
	for id, g := range s.grants {
		if now.Sub(g.confirmedAt) > 2*UnconfirmedGrantTimeout || g.confirmedAt.Equal(g.issuedAt) && now.Sub(g.issuedAt) > UnconfirmedGrantTimeout {
			s.expire(now, id, g)
		}
	}
	for _, p := range s.pools {
		s.sendTallies(now, p)
		s.dispatch(now, p)
	}
}

// reorderQueue updates the positions of all waiting accounts at the start of a tally
// round.
func (s *Scheduler) reorderQueue(now time.Time, p *pool) {
	waiting := make([]string, 0, len(p.demands))
	for account := range p.demands {
		waiting = append(waiting, account)
	}
	p.ledger.SetReference(waiting)
	for _, account := range waiting {
		p.requeue(now, account, s.weight(account))
	}
}
