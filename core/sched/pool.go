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

// epsilon is below any charge that counts, in virtual units.
const epsilon = 1e-6

type target struct {
	spec     TargetSpec
	limiter  *limit.Limiter
	prefixes *place.PrefixMap
	inflight int
	running  int // running is the load report's word, used only after a takeover.
	openAt   time.Time
	trustAt  time.Time // trustAt is when the own count of inflight is complete.
	down     bool
	leaving  bool
}

func (t *target) free(now time.Time) int {
	if t.down || t.leaving || t.spec.Leaving || now.Before(t.openAt) {
		return 0
	}
	busy := t.inflight
	if now.Before(t.trustAt) {
		busy = max(busy, t.running)
	}
	return t.limiter.Limit() - busy
}

// entryDemand is what one entry router asks for one account.
type entryDemand struct {
	from        string
	count       int
	interactive int
	cost        float64
	deny        []string
	prefix      string
}

type accountDemand struct {
	entries []*entryDemand
	next    int // next rotates over the entries.
}

func (d *accountDemand) interactive() int {
	n := 0
	for _, e := range d.entries {
		n += e.interactive
	}
	return n
}

type peerState struct {
	sent    uint64 // sent is the change counter that the peer has been told.
	waiting bool
	floor   float64
	heardAt time.Time
	greeted bool
}

type pool struct {
	spec            PoolSpec
	ledger          *fair.Ledger
	queue           *fair.Queue
	demands         map[string]*accountDemand
	targets         []*target
	peers           map[fair.Reporter]*peerState
	since           map[string]time.Time // since is when an account began to wait here.
	inflight        map[string]float64   // inflight is what is charged for requests that run, in virtual units.
	local           floorState
	lastStart       float64
	lastInteractive time.Time
	tallyAt         time.Time
	tallySeq        uint64
	wasWaiting      bool
	quiet           bool // quiet tells that nothing waits here or at a peer.
	lastRows        int  // lastRows is how many rows the last tally had.
}

// floorState is what a scheduler knows of the virtual time from what waits at
// itself.
type floorState struct {
	floor   float64
	waiting bool
}

func newPool(spec PoolSpec, salt string) *pool {
	return &pool{
		spec:     spec,
		ledger:   fair.NewLedger(spec.MaxDebt),
		queue:    fair.NewQueue(salt),
		demands:  map[string]*accountDemand{},
		since:    map[string]time.Time{},
		inflight: map[string]float64{},
		peers:    map[fair.Reporter]*peerState{},
	}
}

func (p *pool) setDemand(from string, d message.Demand) {
	ad := p.demands[d.Account]
	if ad == nil {
		if d.Count == 0 {
			return
		}
		ad = &accountDemand{}
		p.demands[d.Account] = ad
	}
	at := ad.find(from)
	if d.Count == 0 {
		if at >= 0 {
			ad.remove(at)
		}
		return
	}
	if at < 0 {
		ad.entries = append(ad.entries, &entryDemand{from: from})
		at = len(ad.entries) - 1
	}
	e := ad.entries[at]
	e.count, e.interactive, e.cost, e.deny, e.prefix = d.Count, d.Interactive, d.Cost, d.Deny, d.Prefix
}

func (d *accountDemand) find(from string) int {
	for i, e := range d.entries {
		if e.from == from {
			return i
		}
	}
	return -1
}

func (d *accountDemand) remove(at int) {
	d.entries = append(d.entries[:at], d.entries[at+1:]...)
	if d.next > at {
		d.next--
	}
}

// requeue puts the account where its virtual service says, or takes it out of
// the queue when nothing of it waits.
func (p *pool) requeue(now time.Time, account string, weight float64) {
	ad := p.demands[account]
	if ad == nil || len(ad.entries) == 0 {
		delete(p.demands, account)
		delete(p.since, account)
		p.queue.Remove(account)
		return
	}
	if !p.queue.Has(account) {
		p.ledger.BeginWaiting(now, account)
		p.since[account] = now
	}
	key, gain := p.ledger.Key(account)
	if p.spec.HeadStart > 0 && ad.interactive() > 0 {
		key -= gain * p.spec.HeadStart / weight
	}
	p.queue.Set(account, key)
}

func (p *pool) freeSlots(now time.Time) int {
	n := 0
	for _, t := range p.targets {
		n += max(t.free(now), 0)
	}
	return n
}

// begun is an account's key without what is charged here for requests that
// still run: the service that it certainly had.
func (p *pool) begun(account string) float64 { return p.ledger.Level(account) - p.inflight[account] }

// noteInflight adds to what is charged for an account's running requests.
func (p *pool) noteInflight(account string, delta float64) {
	p.inflight[account] += delta
	if p.inflight[account] < epsilon {
		delete(p.inflight, account)
	}
}

// updateLocal finds the least service that waits here, or the start tag of the
// last grant where nothing does. Charges for running requests do not count: an
// estimate that is too high would lift all others for good. Nor do accounts
// that wait for a moment only: there is nearly always one somewhere, and it
// would hold the floor down, which gives credit for idle time to all others.
func (p *pool) updateLocal(now time.Time) {
	p.local = floorState{floor: p.lastStart}
	p.queue.Ascend(func(account string, _ float64) bool {
		if now.Sub(p.since[account]) < persistentAfter {
			return true
		}
		v := p.begun(account)
		if !p.local.waiting || v < p.local.floor {
			p.local = floorState{v, true}
		}
		return true
	})
}

// raiseFloor computes the fleet's virtual time from what waits here and what
// the peers said. Where nothing waits anywhere, the highest start tag counts.
func (p *pool) raiseFloor(now time.Time, freshness time.Duration) {
	floor, waiting := p.local.floor, p.local.waiting
	for _, peer := range p.peers {
		if peer.heardAt.IsZero() || now.Sub(peer.heardAt) > freshness {
			continue
		}
		switch {
		case peer.waiting && !waiting:
			floor, waiting = peer.floor, true
		case peer.waiting:
			floor = min(floor, peer.floor)
		case !waiting:
			floor = max(floor, peer.floor)
		}
	}
	p.ledger.RaiseFloor(floor)
}
