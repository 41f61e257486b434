// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package sched

import (
	"math"
	"slices"
	"time"

	"madderway/core/message"
)

// Ranks targets that probably have the prompt's prefix in their cache before all others
// with a free slot.
const prefixScore = 1 << 20

// dispatch grants free slots to the waiting accounts with the least virtual service until
// no slot is free or no waiting request may use one.
func (s *Scheduler) dispatch(now time.Time, p *pool) {
	if p == nil {
		return
	}
	for p.queue.Len() > 0 {
		free := p.freeSlots(now)
		if free == 0 || !s.grantOne(now, p, free) {
			return
		}
	}
}

func (s *Scheduler) grantOne(now time.Time, p *pool, free int) bool {
	reserved := s.reservedOnly(now, p, free)
	granted := false
	p.queue.Ascend(func(account string, _ float64) bool {
		granted = s.grantAccount(now, p, account, free, reserved)
		return !granted
	})
	return granted
}

// reservedOnly reports whether the free slots are reserved for interactive requests.
func (s *Scheduler) reservedOnly(now time.Time, p *pool, free int) bool {
	if p.spec.ReserveShare <= 0 || now.Sub(p.lastInteractive) > reserveWindow {
		return false
	}
	slots := 0
	for _, t := range p.targets {
		slots += t.limiter.Limit()
	}
	return float64(free) <= math.Ceil(p.spec.ReserveShare*float64(slots))
}

func (s *Scheduler) grantAccount(now time.Time, p *pool, account string, free int, reserved bool) bool {
	ad := p.demands[account]
	interactive := ad.interactive() > 0
	if reserved && !interactive {
		return false
	}
	for range ad.entries {
		e := ad.entries[ad.next%len(ad.entries)]
		ad.next = (ad.next + 1) % len(ad.entries)
		if interactive && e.interactive == 0 {
			continue
		}
		if t := s.pickTarget(now, p, e); t != nil {
			s.issueGrant(now, p, account, e, t, free-1, reserved)
			return true
		}
	}
	return false
}

// pickTarget chooses among the allowed targets with a free slot: first one with the
// prompt's prefix, then the one with the most free slots, then one in the entry router's
// data hall.
func (s *Scheduler) pickTarget(now time.Time, p *pool, e *entryDemand) *target {
	var best *target
	bestScore := -1
	hall := s.entryDataHalls[e.from]
	for _, t := range p.targets {
		free := t.free(now)
		if free <= 0 || slices.Contains(e.deny, t.spec.Name) {
			continue
		}
		score := 2 * free
		if t.spec.DataHall == hall {
			score++
		}
		if e.prefix != "" && t.prefixes.Holds(now, e.prefix) {
			score += prefixScore
		}
		if score > bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

func (s *Scheduler) issueGrant(now time.Time, p *pool, account string, e *entryDemand, t *target, free int, reserved bool) {
	s.nextID++
	g := &grant{to: e.from, account: account, pool: p, target: t, issuedAt: now, confirmedAt: now}
	s.grants[s.nextID] = g
	t.inFlight++
	if e.prefix != "" {
		t.prefixes.Note(now, e.prefix)
	}
	p.lastStart = math.Max(p.lastStart, p.settledLevel(account))
	s.reduceDemand(p, account, e)
	s.charge(now, g, e.cost)
	p.requeue(now, account, s.weight(account))
	s.Granted++
	s.out = append(s.out, GrantOut{To: e.from, Grant: message.Grant{
		ID: s.nextID, Account: account, Pool: p.spec.Name, Target: t.spec.Name,
		InteractiveOnly: reserved, Charged: e.cost, Quantum: p.spec.Quantum,
		Free: free, Waiting: p.queue.Len() > 0,
	}})
}

func (s *Scheduler) reduceDemand(p *pool, account string, e *entryDemand) {
	e.count--
	if e.interactive > 0 {
		e.interactive--
	}
	if e.count > 0 {
		return
	}
	ad := p.demands[account]
	ad.remove(ad.find(e.from))
}
