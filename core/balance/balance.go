// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package balance chooses targets of plain services from what this gateway
// itself has seen of them: how much is under way, how long answers take, what
// failed. It is a pure state machine without a goroutine of its own.
package balance

import (
	"slices"
	"time"

	"madderway/core/attempt"
	"madderway/core/cold"
	"madderway/models/routing"
)

const (
	timeGain    = 0.1
	errorGain   = 0.1
	errorWeight = 3
	firstGuess  = 20 * time.Millisecond // before any target has answered
	avoidFirst  = 200 * time.Millisecond
	avoidMax    = 4 * time.Second
	// stuckFactor is how many usual times the oldest request may take before
	// its target is taken for stuck.
	stuckFactor = 8
	stuckLeast  = 150 * time.Millisecond
	otherHall   = 1.1 // weight of a target in another data hall
)

type state struct {
	underWay map[uint64]time.Time
	usual    time.Duration // usual is 0 before the first answer.
	errors   float64
	failures int
	avoid    time.Time
	cold     cold.Pacer // cold paces what it gets while it is cold.
}

// Balancer chooses targets.
type Balancer struct {
	dataHall   string
	states     map[string]*state
	usual      time.Duration // of all targets, for those that have not answered yet
	lastNumber uint64
	draw       func() float64
}

// New returns a balancer of a gateway in a data hall; draw returns random numbers
// between 0 and 1.
func New(dataHall string, draw func() float64) *Balancer {
	return &Balancer{dataHall: dataHall, states: map[string]*state{}, usual: firstGuess, draw: draw}
}

// Limits bound what targets get beside their load.
type Limits struct {
	// ColdRate is how many requests a second a cold target bears, 0 for any number,
	// ColdShare the part of them that this gateway may send.
	ColdRate  float64
	ColdShare float64
}

// Pick is a chosen target with the number by which its end is told.
type Pick struct {
	Target *routing.Target
	number uint64
}

func (b *Balancer) state(id string) *state {
	s := b.states[id]
	if s == nil {
		s = &state{underWay: map[uint64]time.Time{}}
		b.states[id] = s
	}
	return s
}

// Choose returns the target where an answer is expected soonest, or nil where
// there is none. It prefers targets that are not denied and not avoided, but
// takes an avoided one rather than none. A cold one that has had what it bears is
// not taken.
func (b *Balancer) Choose(now time.Time, targets []*routing.Target, deny []string, l Limits) *Pick {
	var best *routing.Target
	bestAvoided, bestCost := true, 0.0
	b.lastNumber++
	for i := range targets {
		t := targets[(i+int(b.lastNumber))%len(targets)]
		if !t.TakesWork() || slices.Contains(deny, t.ID) {
			continue
		}
		s := b.state(t.ID)
		if l.cold(now, t) && s.cold.Wait(now, t.ColdUntil, l.ColdShare*l.ColdRate, b.draw()) > 0 {
			continue
		}
		avoided := now.Before(s.avoid) || b.stuck(now, s)
		cost := b.cost(s)
		if t.DataHall != b.dataHall {
			cost *= otherHall
		}
		if best == nil || bestAvoided && !avoided || bestAvoided == avoided && cost < bestCost {
			best, bestAvoided, bestCost = t, avoided, cost
		}
	}
	if best == nil {
		return nil
	}
	s := b.state(best.ID)
	s.underWay[b.lastNumber] = now
	if l.cold(now, best) {
		s.cold.Take(now, l.ColdShare*l.ColdRate)
	}
	return &Pick{best, b.lastNumber}
}

// cold tells whether a target gets no more than a cold one bears. Each gateway begins a
// cold period with a part of a request that is drawn, so that they do not all send their
// first one at once.
func (l Limits) cold(now time.Time, t *routing.Target) bool { return l.ColdRate > 0 && t.Cold(now) }

func (b *Balancer) cost(s *state) float64 {
	return float64(len(s.underWay)+1) * b.usualOf(s).Seconds() * (1 + errorWeight*s.errors)
}

// stuck tells whether the oldest request has been under way for far too long.
func (b *Balancer) stuck(now time.Time, s *state) bool {
	for _, since := range s.underWay {
		if now.Sub(since) > max(stuckFactor*b.usualOf(s), stuckLeast) {
			return true
		}
	}
	return false
}

// Usual returns how long an answer of a target usually takes.
func (b *Balancer) Usual(id string) time.Duration { return b.usualOf(b.state(id)) }

func (b *Balancer) usualOf(s *state) time.Duration {
	if s.usual == 0 {
		return b.usual
	}
	return s.usual
}

// Done tells that a target answered.
func (b *Balancer) Done(now time.Time, p *Pick) {
	s := b.state(p.Target.ID)
	took := now.Sub(s.underWay[p.number])
	delete(s.underWay, p.number)
	if s.usual == 0 {
		s.usual = took
	}
	s.usual += time.Duration(timeGain * float64(took-s.usual))
	b.usual += time.Duration(timeGain * float64(took-b.usual))
	s.errors -= errorGain * s.errors
	s.failures = 0
}

// Canceled tells that the caller has gone.
func (b *Balancer) Canceled(p *Pick) { delete(b.state(p.Target.ID).underWay, p.number) }

// Failed tells that an attempt came to nothing.
func (b *Balancer) Failed(now time.Time, p *Pick, o attempt.Outcome) {
	s := b.state(p.Target.ID)
	delete(s.underWay, p.number)
	s.errors += errorGain * (1 - s.errors)
	if o == attempt.Failed {
		return
	}
	s.failures++
	if o == attempt.NotSent || s.failures > 1 {
		pause := min(avoidFirst<<min(s.failures, 5), avoidMax)
		s.avoid = now.Add(pause)
	}
}

// Keep forgets all targets but those.
func (b *Balancer) Keep(targets *routing.TargetSet) {
	for id := range b.states {
		if targets.Find(id) == nil {
			delete(b.states, id)
		}
	}
}
