// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package balance chooses targets of plain services by the requests in flight,
// latencies and failures that this gateway has observed. Other gateways are not
// consulted.
package balance

import (
	"slices"
	"time"

	"madderway/core/attempt"
	"madderway/core/cold"
	"madderway/models/routing"
	"madderway/modules/saturate"
)

const (
	latencyGain    = 0.1                   // weight of a new sample in the latency
	errorGain      = 0.1                   // weight of a new outcome in the error rate
	errorWeight    = 3                     // of the error rate in the cost of a target
	initialLatency = 20 * time.Millisecond // latency before any target has responded
	avoidFirst     = 200 * time.Millisecond
	avoidMax       = 4 * time.Second
	// A target is stuck once a request takes stuckFactor times its usual latency, and
	// at least minStuck.
	stuckFactor     = 8
	minStuck        = 150 * time.Millisecond
	otherHallFactor = 1.1 // cost factor of a target in another data hall
)

type targetState struct {
	inFlight   map[uint64]time.Time
	latency    time.Duration // 0 before the first response
	errors     float64       // error rate
	failures   int           // consecutive failures
	avoidUntil time.Time
	lossyUntil time.Time  // avoided until then by requests that must not run twice
	pacer      cold.Pacer // limits requests while the target is cold
	recent     recentExcess
}

// Balancer chooses targets. It is not safe for concurrent use.
type Balancer struct {
	dataHall   string
	states     map[string]*targetState
	latency    time.Duration // of all targets, used for those without a response
	lastNumber uint64
	random     func() float64
	byRecent   bool
}

// New returns the balancer of a gateway in a data hall. random must return numbers
// in [0, 1).
func New(dataHall string, random func() float64) *Balancer {
	return &Balancer{dataHall: dataHall, states: map[string]*targetState{}, latency: initialLatency, random: random}
}

// Limits bound the requests to cold targets, and the choice for a request that must not run twice.
type Limits struct {
	ColdRate  float64 // requests per second that a cold target can serve, 0 for no limit
	ColdShare float64 // this gateway's share of ColdRate
	Once      bool    // the request must not run twice
}

// Pick is a request in flight at its chosen target. Pass it to Done, Canceled or Failed.
type Pick struct {
	Target *routing.Target
	number uint64
}

func (b *Balancer) state(id string) *targetState {
	s := b.states[id]
	if s == nil {
		s = &targetState{inFlight: map[uint64]time.Time{}}
		b.states[id] = s
	}
	return s
}

// Choose returns the target with the lowest expected latency, or nil if there is none.
// Denied targets and cold ones at their limit are never chosen, avoided ones only if
// there is no other.
func (b *Balancer) Choose(now time.Time, targets []*routing.Target, deny []string, l Limits) *Pick {
	var best *routing.Target
	bestAvoided, bestCost := true, 0.0
	b.lastNumber++
	for i := range targets {
		t := targets[(i+int(b.lastNumber))%len(targets)]
		if !t.AcceptsWork() || slices.Contains(deny, t.ID) {
			continue
		}
		s := b.state(t.ID)
		if l.cold(now, t) && s.pacer.Wait(now, t.ColdUntil, l.ColdShare*l.ColdRate, b.random()) > 0 {
			continue
		}
		avoided := now.Before(s.avoidUntil) || b.stuck(now, s) || l.Once && now.Before(s.lossyUntil)
		cost := b.cost(now, s)
		if t.DataHall != b.dataHall {
			cost *= b.otherHallFactor()
		}
		if best == nil || bestAvoided && !avoided || bestAvoided == avoided && cost < bestCost {
			best, bestAvoided, bestCost = t, avoided, cost
		}
	}
	if best == nil {
		return nil
	}
	s := b.state(best.ID)
	s.inFlight[b.lastNumber] = now
	if l.cold(now, best) {
		s.pacer.Take(now, l.ColdShare*l.ColdRate)
	}
	return &Pick{best, b.lastNumber}
}

// cold reports whether the limit for cold targets applies to a target. Each gateway
// starts a cold period with a random credit, so that their first requests are spread out.
func (l Limits) cold(now time.Time, t *routing.Target) bool { return l.ColdRate > 0 && t.Cold(now) }

func (b *Balancer) cost(now time.Time, s *targetState) float64 {
	return float64(len(s.inFlight)+1) * b.expected(now, s).Seconds() * (1 + errorWeight*s.errors)
}

// stuck reports whether any request has been in flight for far too long.
func (b *Balancer) stuck(now time.Time, s *targetState) bool {
	for _, since := range s.inFlight {
		if now.Sub(since) > max(stuckFactor*b.latencyOf(s), minStuck) {
			return true
		}
	}
	return false
}

// Latency returns the average latency of a target.
func (b *Balancer) Latency(id string) time.Duration { return b.latencyOf(b.state(id)) }

func (b *Balancer) latencyOf(s *targetState) time.Duration {
	if s.latency == 0 {
		return b.latency
	}
	return s.latency
}

// Done records a successful response.
func (b *Balancer) Done(now time.Time, p *Pick) {
	s, sentAt, known := b.end(p)
	if !known {
		return
	}
	took := now.Sub(sentAt)
	s.recent.observe(now, took-b.latencyOf(s))
	if s.latency == 0 {
		s.latency = took
	}
	s.latency += saturate.Duration(b.latencyGain() * float64(took-s.latency))
	b.latency += saturate.Duration(latencyGain * float64(took-b.latency))
	s.errors -= errorGain * s.errors
	s.failures = 0
}

// end ends an attempt and returns when it was sent. known is false if the target was removed since.
func (b *Balancer) end(p *Pick) (s *targetState, sentAt time.Time, known bool) {
	if s = b.states[p.Target.ID]; s == nil {
		return nil, time.Time{}, false
	}
	sentAt, known = s.inFlight[p.number]
	delete(s.inFlight, p.number)
	return s, sentAt, known
}

// Canceled records that the caller disconnected.
func (b *Balancer) Canceled(p *Pick) { b.end(p) }

// Failed records a failed attempt.
func (b *Balancer) Failed(now time.Time, p *Pick, o attempt.Outcome) {
	s, sentAt, known := b.end(p)
	if !known {
		return
	}
	if excess := now.Sub(sentAt) - b.latencyOf(s); excess > 0 {
		s.recent.observe(now, excess)
	}
	s.errors += errorGain * (1 - s.errors)
	if o == attempt.Failed {
		return
	}
	s.failures++
	if b.byRecent && o == attempt.Unknown {
		s.lossyUntil = now.Add(lossPause)
	}
	if o == attempt.NotSent || s.failures > 1 {
		pause := min(avoidFirst<<min(s.failures, 5), avoidMax)
		s.avoidUntil = now.Add(pause)
	}
}

// Keep removes the state of all targets that are not in the set.
func (b *Balancer) Keep(targets *routing.TargetSet) {
	for id := range b.states {
		if targets.Find(id) == nil {
			delete(b.states, id)
		}
	}
}
