// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package cold bounds what a target gets while it is cold: one that has just started,
// or lost what it had in memory, bears few requests a second and falls over above that.
// Gateways decide without a centre, so each one takes a part of the rate that leaves
// room for those that it cannot hear.
package cold

import "time"

const (
	// schedulerShare is the part of a cold target's rate that the first scheduler of
	// its cell uses, nextShare of what the one before it used, each further one. Where
	// gateways disagree on who lives, two or three of them schedule at the same time;
	// all together stay near the rate.
	schedulerShare      = 0.9
	nextSchedulerFactor = 0.5
	// independentShare is the part of the rate that all gateways together use where each
	// chooses targets by itself.
	independentShare = 0.8
	// roundingTolerance is the part of a request that is lost in sums of fractions.
	roundingTolerance = 1e-6
)

// SchedulerShare returns the part of a cold target's rate that one scheduler of its cell
// may use. Rank is its place among the cell's schedulers, -1 for a gateway that is none
// and schedules since it reaches none; it places nothing there. Alive of the known
// gateways are heard of: the others may schedule, too.
func SchedulerShare(rank, alive, known int) float64 {
	if rank < 0 {
		return 0
	}
	share := schedulerShare
	for range rank {
		share *= nextSchedulerFactor
	}
	return share * float64(alive) / float64(max(known, alive, 1))
}

// IndependentShare returns the part of a cold target's rate that one of so many gateways may
// use where each of them chooses by itself.
func IndependentShare(known int) float64 { return independentShare / float64(max(known, 1)) }

// Pacer paces the requests to one target. It saves up one request at most, so that no
// second sees more than the rate and one.
type Pacer struct {
	until     time.Time // until is the end of the cold period that it was made for.
	updatedAt time.Time
	tokens    float64 // level is what was saved up at that time, in requests.
}

// Wait returns how long it takes until the target may get a request, 0 where it may
// now: it is warm, or bears one more. It is cold until a time, and the rate is in
// requests a second. A new cold period begins with first, a part of a request, saved up.
func (p *Pacer) Wait(now, until time.Time, rate, first float64) time.Duration {
	left := until.Sub(now)
	if left <= 0 {
		return 0
	}
	if !p.until.Equal(until) {
		*p = Pacer{until: until, updatedAt: now, tokens: first}
	}
	if rate <= 0 {
		return left
	}
	missing := 1 - p.available(now, rate)
	if missing <= roundingTolerance {
		return 0
	}
	return min(time.Duration(missing/rate*float64(time.Second)), left)
}

// Take notes that the target gets a request now.
func (p *Pacer) Take(now time.Time, rate float64) {
	p.tokens, p.updatedAt = p.available(now, rate)-1, now
}

func (p *Pacer) available(now time.Time, rate float64) float64 {
	return min(p.tokens+rate*max(now.Sub(p.updatedAt), 0).Seconds(), 1)
}
