// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package sched

import (
	"time"

	"madderway/core/fair"
	"madderway/core/message"
	"madderway/core/place"
)

// greeters is how many peers tell a scheduler that just started all they know.
const greeters = 2

// TallyInterval returns the time between two tallies to a peer: at least the
// least interval, and so long that tallies with so many rows to all peers stay
// within a budget of bytes a second, but at most maxTally; a budget of 0 is
// none.
func TallyInterval(peers, rows int, least time.Duration, budget float64) time.Duration {
	if budget <= 0 {
		return least
	}
	seconds := float64(peers*(tallyBytes+rows*tallyRowBytes)) / budget
	return max(least, min(time.Duration(seconds*float64(time.Second)), maxTally))
}

// tallyInterval is longer while nothing waits: the counters then decide
// nothing.
func (s *Scheduler) tallyInterval(p *pool) time.Duration {
	interval := TallyInterval(len(p.peers), p.lastRows, s.opts.TallyInterval, s.opts.TallyBudget)
	if s.opts.TallyBudget > 0 && p.quiet {
		return quietTally * interval
	}
	return interval
}

func (s *Scheduler) sendTallies(now time.Time, p *pool) {
	interval := s.tallyInterval(p)
	p.updateLocal(now)
	p.raiseFloor(now, tallyFreshness*interval)
	p.ledger.Settle(now, settleAge*interval/10, func(account string) float64 { return p.inflight[account] })
	started := p.local.waiting && p.quiet
	p.quiet = !p.local.waiting && !p.peersWait(now, tallyFreshness*interval)
	if now.Before(p.tallyAt) && !started {
		return
	}
	p.tallyAt = now.Add(s.tallyInterval(p))
	p.tallySeq++
	floor, waiting := p.local.floor, p.local.waiting
	full := p.tallySeq%fullTallyEvery == 0
	for r, peer := range p.peers {
		after := peer.sent
		if full {
			after = 0
		}
		rows, sent := p.ledger.Changed(after)
		p.lastRows = len(rows)
		if len(rows) == 0 && !waiting && !p.wasWaiting && peer.greeted {
			continue
		}
		t := message.Tally{Pool: p.spec.Name, Seq: p.tallySeq, Waiting: waiting, Floor: floor, Rows: rows}
		if !peer.greeted && s.greets(p, r) {
			t.Foreign = p.ledger.Foreign()
		}
		peer.greeted, peer.sent = true, sent
		s.out = append(s.out, TallyOut{To: r.ID, Tally: t})
	}
	p.wasWaiting = waiting
	p.ledger.NextRound()
	s.rekey(now, p)
}

// peersWait tells whether accounts wait at another scheduler.
func (p *pool) peersWait(now time.Time, freshness time.Duration) bool {
	for _, peer := range p.peers {
		if peer.waiting && now.Sub(peer.heardAt) <= freshness {
			return true
		}
	}
	return false
}

// greets tells whether this scheduler is one of the few that give a newcomer
// the rows of the others.
func (s *Scheduler) greets(p *pool, newcomer fair.Reporter) bool {
	nodes := []place.Node{{ID: s.opts.Self.ID}}
	for r := range p.peers {
		if r != newcomer {
			nodes = append(nodes, place.Node{ID: r.ID})
		}
	}
	for _, id := range place.Top(nodes, newcomer.ID, greeters) {
		if id == s.opts.Self.ID {
			return true
		}
	}
	return false
}

func (s *Scheduler) tally(now time.Time, from fair.Reporter, t message.Tally) {
	p := s.pools[t.Pool]
	if p == nil {
		return
	}
	if peer := p.peers[from]; peer != nil {
		peer.waiting, peer.floor, peer.heardAt = t.Waiting, t.Floor, now
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
	p.raiseFloor(now, tallyFreshness*s.tallyInterval(p))
}

func (s *Scheduler) requeueWaiting(now time.Time, p *pool, account string) {
	if p.queue.Has(account) {
		p.requeue(now, account, s.weight(account))
	}
}
