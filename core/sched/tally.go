// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package sched

import (
	"time"

	"madderway/core/fair"
	"madderway/core/message"
	"madderway/core/place"
	"madderway/modules/saturate"
)

// Number of peers that send the rows of all schedulers to a new one.
const bootstrapPeers = 2

// TallyInterval returns the time between two tallies to a peer. It is at least least, and
// long enough to keep tallies of the given rows to all peers within the budget in bytes
// per second, up to maxTallyInterval. A budget of 0 is no limit.
func TallyInterval(peers, rows int, least time.Duration, budget float64) time.Duration {
	if budget <= 0 {
		return least
	}
	seconds := float64(peers*(tallyOverheadBytes+rows*tallyRowBytes)) / budget
	return max(least, min(saturate.Seconds(seconds), maxTallyInterval))
}

// tallyInterval returns a longer interval while no account waits: the counters then affect
// no decision.
func (s *Scheduler) tallyInterval(p *pool) time.Duration {
	interval := TallyInterval(len(p.peers), p.lastRowCount, s.opts.TallyInterval, s.opts.TallyBudget)
	if s.opts.TallyBudget > 0 && p.idle {
		return idleTallyFactor * interval
	}
	return interval
}

func (s *Scheduler) sendTallies(now time.Time, p *pool) {
	interval := s.tallyInterval(p)
	p.updateLocalFloor(now)
	p.raiseFloor(now, tallyFreshnessIntervals*interval)
	p.ledger.Settle(now, settleAgeTenths*interval/10, func(account string) float64 { return p.inFlight[account] })
	started := p.localFloor.waiting && p.idle
	p.idle = !p.localFloor.waiting && !p.peersWait(now, tallyFreshnessIntervals*interval)
	if now.Before(p.nextTallyAt) && !started {
		return
	}
	p.nextTallyAt = now.Add(s.tallyInterval(p))
	p.tallySeq++
	floor, waiting := p.localFloor.floor, p.localFloor.waiting
	full := p.tallySeq%fullTallyEvery == 0
	for r, peer := range p.peers {
		after := peer.sentRevision
		if full {
			after = 0
		}
		rows, sent := p.ledger.Changed(after)
		p.lastRowCount = len(rows)
		if len(rows) == 0 && !waiting && !p.lastTallyWaiting && peer.contacted {
			continue
		}
		t := message.Tally{Pool: p.spec.Name, Seq: p.tallySeq, Waiting: waiting, Floor: floor, Rows: rows}
		if !peer.contacted && s.bootstraps(p, r) {
			t.Foreign = p.ledger.Foreign()
		}
		peer.contacted, peer.sentRevision = true, sent
		s.out = append(s.out, TallyOut{To: r.ID, Tally: t})
	}
	p.lastTallyWaiting = waiting
	p.ledger.NextRound()
	s.reorderQueue(now, p)
}

// peersWait reports whether accounts wait at another scheduler.
func (p *pool) peersWait(now time.Time, freshness time.Duration) bool {
	for _, peer := range p.peers {
		if peer.waiting && now.Sub(peer.lastTallyAt) <= freshness {
			return true
		}
	}
	return false
}

// bootstraps reports whether this scheduler sends the rows of all schedulers to the new
// one.
func (s *Scheduler) bootstraps(p *pool, newcomer fair.Reporter) bool {
	nodes := []place.Node{{ID: s.opts.Self.ID}}
	for r := range p.peers {
		if r != newcomer {
			nodes = append(nodes, place.Node{ID: r.ID})
		}
	}
	for _, id := range place.Top(nodes, newcomer.ID, bootstrapPeers) {
		if id == s.opts.Self.ID {
			return true
		}
	}
	return false
}

func (s *Scheduler) mergeTally(now time.Time, from fair.Reporter, t message.Tally) {
	p := s.pools[t.Pool]
	if p == nil {
		return
	}
	if peer := p.peers[from]; peer != nil {
		peer.waiting, peer.floor, peer.lastTallyAt = t.Waiting, t.Floor, now
	}
	p.ledger.RecordReport(from, t.Seq)
	for _, row := range t.Rows {
		if p.ledger.Merge(from, t.Seq, row) {
			s.requeueWaiting(now, p, row.Account)
		}
	}
	for _, f := range t.Foreign {
		if f.From == s.opts.Self {
			continue
		}
		if p.ledger.Merge(f.From, f.Seq, f.Row) {
			s.requeueWaiting(now, p, f.Row.Account)
		}
	}
	p.raiseFloor(now, tallyFreshnessIntervals*s.tallyInterval(p))
}

func (s *Scheduler) requeueWaiting(now time.Time, p *pool, account string) {
	if p.queue.Has(account) {
		p.requeue(now, account, s.weight(account))
	}
}
