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

// Smaller than any charge, in virtual units; absorbs rounding errors.
const epsilon = 1e-6

type target struct {
	spec            TargetSpec
	limiter         *limit.Limiter
	prefixes        *place.PrefixMap
	inFlight        int
	running         int       // from the load report; used only after a takeover
	openFrom        time.Time // no grants before, so that adoptions can arrive
	countCompleteAt time.Time // from then on inFlight alone counts the busy slots
	down            bool
	leaving         bool
}

func (t *target) free(now time.Time) int {
	if t.down || t.leaving || t.spec.Leaving || now.Before(t.openFrom) {
		return 0
	}
	busy := t.inFlight
	if now.Before(t.countCompleteAt) {
		busy = max(busy, t.running)
	}
	return t.limiter.Limit() - busy
}

// entryDemand is the demand of one entry router for one account.
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
	next    int // index of the next entry to serve, round robin
}

func (d *accountDemand) interactive() int {
	n := 0
	for _, e := range d.entries {
		n += e.interactive
	}
	return n
}

type peerState struct {
	sentRevision uint64 // ledger revision up to which rows were sent to the peer
	waiting      bool
	floor        float64
	lastTallyAt  time.Time
	contacted    bool // a tally was sent to the peer
}

type pool struct {
	spec             PoolSpec
	ledger           *fair.Ledger
	queue            *fair.Queue
	demands          map[string]*accountDemand
	targets          []*target
	peers            map[fair.Reporter]*peerState
	waitingSince     map[string]time.Time // by account
	inFlight         map[string]float64   // charges for running requests by account, in virtual units
	localFloor       virtualFloor         // lower bound of the virtual time from the accounts that wait here
	lastStart        float64              // highest virtual service of an account at a grant
	lastInteractive  time.Time
	nextTallyAt      time.Time
	tallySeq         uint64
	lastTallyWaiting bool
	idle             bool // no account waits here or at a peer
	lastRowCount     int  // rows of the last tally
}

// virtualFloor is a lower bound of the pool's virtual time.
type virtualFloor struct {
	floor   float64
	waiting bool
}

func newPool(spec PoolSpec, salt string) *pool {
	return &pool{
		spec:         spec,
		ledger:       fair.NewLedger(spec.MaxDebt),
		queue:        fair.NewQueue(salt),
		demands:      map[string]*accountDemand{},
		waitingSince: map[string]time.Time{},
		inFlight:     map[string]float64{},
		peers:        map[fair.Reporter]*peerState{},
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

// requeue updates the account's position by its virtual service, or removes an account
// without demand.
func (p *pool) requeue(now time.Time, account string, weight float64) {
	ad := p.demands[account]
	if ad == nil || len(ad.entries) == 0 {
		delete(p.demands, account)
		delete(p.waitingSince, account)
		p.queue.Remove(account)
		return
	}
	if !p.queue.Has(account) {
		p.ledger.BeginWaiting(now, account)
		p.waitingSince[account] = now
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

// settledLevel returns the account's virtual service without the charges for its running
// requests, which may still be corrected.
func (p *pool) settledLevel(account string) float64 {
	return p.ledger.Level(account) - p.inFlight[account]
}

func (p *pool) addInFlight(account string, delta float64) {
	p.inFlight[account] += delta
	if p.inFlight[account] < epsilon {
		delete(p.inFlight, account)
	}
}

// updateLocalFloor sets the floor to the least service of the accounts that wait here, or
// to the start tag of the last grant if none does. Charges for running requests are left
// out: an estimate that is too high would raise all other accounts for good. Accounts that
// have waited for less than minFloorWait are left out as well: they would hold the floor
// down and give all others credit for idle time.
func (p *pool) updateLocalFloor(now time.Time) {
	p.localFloor = virtualFloor{floor: p.lastStart}
	p.queue.Ascend(func(account string, _ float64) bool {
		if now.Sub(p.waitingSince[account]) < minFloorWait {
			return true
		}
		v := p.settledLevel(account)
		if !p.localFloor.waiting || v < p.localFloor.floor {
			p.localFloor = virtualFloor{v, true}
		}
		return true
	})
}

// raiseFloor raises the ledger's floor to the fleet's virtual time: the least floor of the
// schedulers with waiting accounts, or the highest floor if no account waits. Peers
// without a recent tally are ignored.
func (p *pool) raiseFloor(now time.Time, freshness time.Duration) {
	floor, waiting := p.localFloor.floor, p.localFloor.waiting
	for _, peer := range p.peers {
		if peer.lastTallyAt.IsZero() || now.Sub(peer.lastTallyAt) > freshness {
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
