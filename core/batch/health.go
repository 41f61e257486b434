// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package batch

import (
	"math"
	"time"
)

const (
	errorGain     = 0.15            // weight of a new outcome in the error rate
	errorHalfLife = 2 * time.Second // half-life of the error rate without new outcomes
	// An engine is silent once a first event takes silentFactor times the expected time
	// plus silentSlack.
	silentFactor = 3
	silentSlack  = 400 * time.Millisecond

	avoidFirst    = 250 * time.Millisecond
	avoidMax      = 4 * time.Second
	maxDoublings  = 4
	rejectedPause = 120 * time.Millisecond
	movedPause    = 10 * time.Second
)

// health tracks failures of an engine and the backoff after them.
type health struct {
	rate       float64 // error rate at rateAt
	rateAt     time.Time
	failures   int // consecutive backoffs without a success
	avoidUntil time.Time
}

func (h *health) usable(now time.Time) bool { return !now.Before(h.avoidUntil) }

// errorRate returns the error rate. It decays over time, so that an engine that gets no
// requests because of it is tried again.
func (h *health) errorRate(now time.Time) float64 {
	since := now.Sub(h.rateAt)
	if since <= 0 {
		return h.rate
	}
	return h.rate * math.Exp2(-float64(since)/float64(errorHalfLife))
}

func (h *health) setErrorRate(now time.Time, rate float64) { h.rate, h.rateAt = rate, now }

func (h *health) begun() { h.failures = 0 }

// recordOutcome records the outcome of a run. A broken or failed run counts toward the
// error rate only before its first event: later breaks often come from connections, many
// at a time. It never makes the engine unusable.
func (h *health) recordOutcome(now time.Time, r *Run, o Outcome, silent bool) {
	switch o {
	case OutcomeDone:
		h.setErrorRate(now, (1-errorGain)*h.errorRate(now))
		h.failures = 0
	case OutcomeFull:
		h.avoidUntil = later(h.avoidUntil, now.Add(rejectedPause))
	case OutcomeMoved:
		h.avoidUntil = later(h.avoidUntil, now.Add(movedPause))
	case OutcomeNotSent:
		h.avoid(now, r)
	case OutcomeCanceled, OutcomeExpired:
		if silent && !r.begun {
			h.avoid(now, r)
		}
	case OutcomeBroken, OutcomeFailed:
		if !r.begun {
			h.setErrorRate(now, h.errorRate(now)+errorGain*(1-h.errorRate(now)))
		}
	}
}

// avoid backs off from the engine, twice as long each time. Failures of runs that
// started before the last backoff ended are ignored.
func (h *health) avoid(now time.Time, r *Run) {
	if now.Before(h.avoidUntil) || r.startedAt.Before(h.avoidUntil) && h.failures > 0 {
		return
	}
	pause := min(avoidFirst<<min(h.failures, maxDoublings), avoidMax)
	h.failures++
	h.avoidUntil = now.Add(pause)
}
