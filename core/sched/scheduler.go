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

// Times of the grant protocol.
const (
	UnconfirmedGrantTimeout = 20 * time.Second       // after it a grant that no inventory names is released
	InventoryGrace          = 3 * time.Second        // a younger grant may be missing from an inventory
	TakeoverWait            = 300 * time.Millisecond // a new owner waits for adoptions
	TakeoverCountPeriod     = 3 * time.Second        // so long a new owner heeds the target's own count
	reserveWindow           = 2 * time.Second        // so long after interactive work slots stay reserved
	fullTallyEvery          = 32                     // every so many tallies all rows are sent
	prefixMaxAge            = 5 * time.Minute        // an older cache hint is not heeded
	prefixMaxSize           = 512                    // cache hints kept for one target
	tallyFreshness          = 3                      // intervals after which a peer's floor is not heeded
	settleAge               = 12                     // tenths of an interval after which a lift is fixed
	persistentAfter         = 500 * time.Millisecond // an account that waits for less does not hold the floor
	defaultTally            = time.Second
	incarnationWindow       = 24 // bits of grant IDs left to the counter
)

// Options of a Scheduler.
type Options struct {
	Self          fair.Reporter
	TallyInterval time.Duration // TallyInterval is the least time between two tallies to a peer.
	TallyBudget   float64       // TallyBudget bounds the bytes a second spent on tallies.
}

// What a tally costs on the wire: its packet and headers, and each row.
const (
	tallyBytes    = 100
	tallyRowBytes = 35
)

// maxTally is the longest interval of tallies while accounts wait; while none
// does it is quietTally times as long.
const (
	maxTally   = 2500 * time.Millisecond
	quietTally = 4
)

type grant struct {
	to      string
	account string
	pool    *pool
	target  *target
	charged float64
	at      time.Time
	seenAt  time.Time
}

// Scheduler hands out the slots of the targets it owns.
type Scheduler struct {
	opts           Options
	pools          map[string]*pool
	targets        map[string]*target
	grants         map[message.GrantID]*grant
	weights        map[string]float64
	entryDataHalls map[string]string
	nextID         message.GrantID
	out            []Action
	Granted        uint64 // Granted counts the grants given out.
	Expired        uint64 // Expired counts the grants released without a report.
}

// New returns a scheduler that owns nothing.
func New(opts Options) *Scheduler {
	if opts.TallyInterval == 0 {
		opts.TallyInterval = defaultTally
	}
	return &Scheduler{
		opts:           opts,
		pools:          map[string]*pool{},
		targets:        map[string]*target{},
		grants:         map[message.GrantID]*grant{},
		weights:        map[string]float64{},
		entryDataHalls: map[string]string{},
		// The incarnation keeps the IDs of two lives of one router apart.
		nextID: message.GrantID(opts.Self.Incarnation%(1<<incarnationWindow)) << incarnationWindow,
	}
}

// Step takes one event and returns what is to be done.
func (s *Scheduler) Step(now time.Time, ev Event) []Action {
	s.out = nil
	switch e := ev.(type) {
	case Configured:
		s.configure(now, e)
	case DemandSeen:
		s.demand(now, e.From, e.Demand)
	case ReportSeen:
		s.applyReport(now, e.From, e.Report)
	case InventorySeen:
		s.inventory(now, e.From, e.Inventory)
	case TallySeen:
		s.tally(now, e.From, e.Tally)
	case LoadSeen:
		s.applyLoad(now, e)
	case CacheSeen:
		s.applyCacheEvents(now, e)
	case EntryGone:
		s.entryGone(now, e.ID)
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
	s.weights, s.entryDataHalls = c.Weights, c.Halls
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
	// The entry routers hand the requests in flight at a lost target to its
	// new owner, so the grants are forgotten without settling them.
	for id, g := range s.grants {
		if s.targets[g.target.spec.Name] != g.target {
			g.pool.noteInflight(g.account, -g.charged/s.weight(g.account))
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
		prefixes: place.NewPrefixMap(prefixMaxAge, prefixMaxSize),
		openAt:   now.Add(TakeoverWait),
		trustAt:  now.Add(TakeoverCountPeriod),
	}
}

func (s *Scheduler) demand(now time.Time, from string, d message.Demand) {
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
	g.pool.noteInflight(g.account, delta/w)
	if g.pool.queue.Has(g.account) {
		g.pool.requeue(now, g.account, w)
	}
}

func (s *Scheduler) release(id message.GrantID, g *grant) {
	delete(s.grants, id)
	g.pool.noteInflight(g.account, -g.charged/s.weight(g.account))
	g.target.inflight--
}

func (s *Scheduler) applyReport(now time.Time, from string, r message.Report) {
	g := s.grants[r.Grant]
	if g == nil || g.to != from {
		return
	}
	g.seenAt = now
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
			// It could not be reached; the next load report opens it again.
			g.target.down = true
		}
		g.target.limiter.Observe(now, limit.Sample{FirstToken: r.FirstToken, TokenGap: r.TokenGap, Failed: r.Failed})
	}
	s.release(r.Grant, g)
	s.dispatch(now, g.pool)
}

func (s *Scheduler) inventory(now time.Time, from string, inv message.Inventory) {
	held := make(map[message.GrantID]bool, len(inv.Held))
	for _, id := range inv.Held {
		held[id] = true
		if g := s.grants[id]; g != nil && g.to == from {
			g.seenAt = now
		}
	}
	for _, a := range inv.Adopt {
		held[a.Grant] = true
		s.adopt(now, from, a)
	}
	for id, g := range s.grants {
		if g.to == from && !held[id] && now.Sub(g.at) > InventoryGrace {
			s.expire(now, id, g)
		}
	}
}

func (s *Scheduler) adopt(now time.Time, from string, a message.Adoption) {
	t := s.targets[a.Target]
	if t == nil || s.grants[a.Grant] != nil {
		return
	}
	t.inflight++
	p := s.pools[t.spec.Pool]
	s.grants[a.Grant] = &grant{to: from, account: a.Account, pool: p, target: t, charged: a.Charged, at: now, seenAt: now}
	p.noteInflight(a.Account, a.Charged/s.weight(a.Account))
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

func (s *Scheduler) entryGone(now time.Time, id string) {
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
		if now.Sub(g.seenAt) > 2*UnconfirmedGrantTimeout || g.seenAt.Equal(g.at) && now.Sub(g.at) > UnconfirmedGrantTimeout {
			s.expire(now, id, g)
		}
	}
	for _, p := range s.pools {
		s.sendTallies(now, p)
		s.dispatch(now, p)
	}
}

// rekey brings the order of the queue up to date when a round begins.
func (s *Scheduler) rekey(now time.Time, p *pool) {
	waiting := make([]string, 0, len(p.demands))
	for account := range p.demands {
		waiting = append(waiting, account)
	}
	p.ledger.Refer(waiting)
	for _, account := range waiting {
		p.requeue(now, account, s.weight(account))
	}
}
