// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package cold limits the request rate of cold targets. A target that has just started, or
// lost its caches, handles few requests a second and fails above that. Gateways decide
// without coordination, so each uses a share of the rate that leaves room for those that it
// cannot hear.
package cold

import (
	"time"

	"madderway/modules/saturate"
)

const (
	// schedulerShare is the share of a cold target's rate that the first scheduler of its
	// cell uses. Each further one uses nextSchedulerFactor times the share of the one before:
	// gateways with different views may schedule at the same time, and together they must
	// stay near the rate.
	schedulerShare      = 0.9
	nextSchedulerFactor = 0.5
	// independentShare is the share that all gateways use together where each chooses
	// targets independently.
	independentShare = 0.8
	// roundingTolerance, in requests, absorbs floating-point errors.
	roundingTolerance = 1e-6
)

// SchedulerShare returns the share of a cold target's rate that a scheduler of its cell may
// use. rank is its place among the cell's schedulers; it is -1 for a gateway that schedules
// only because it reaches no scheduler, which gets no share. Of the known gateways, those not
// alive may be scheduling, too, on the other side of a partition.
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

// IndependentShare returns the share of a cold target's rate that one of the known gateways may
// use where each chooses targets independently.
func IndependentShare(known int) float64 { return independentShare / float64(max(known, 1)) }

// Pacer is a token bucket for the requests to one target. It holds one token at most, so that
// no second sees more than the rate plus one request.
type Pacer struct {
	until     time.Time // end of the cold period of this bucket
	updatedAt time.Time
	tokens    float64 // in requests, at updatedAt
}

// Wait returns the time until the target may get a request, 0 if it may now. The target is cold
// until the given time. rate is in requests a second. first is the number of tokens, at most 1,
// at the start of a new cold period.
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
	return min(saturate.Seconds(missing/rate), left)
}

// Take takes a token for a request sent now.
func (p *Pacer) Take(now time.Time, rate float64) {
	p.tokens, p.updatedAt = p.available(now, rate)-1, now
}

func (p *Pacer) available(now time.Time, rate float64) float64 {
	return min(p.tokens+rate*max(now.Sub(p.updatedAt), 0).Seconds(), 1)
}
