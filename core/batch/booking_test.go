// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package batch

import (
	"math"
	"testing"
	"time"
)

// Guards against time that stays booked at a wrong speed after the run for which it was booked.
func TestBookingEndsWithItsRun(t *testing.T) {
	const took = 200 * time.Millisecond
	for name, leave := range map[string]func(*Engine, time.Time, *Run){
		"begun":    func(e *Engine, now time.Time, r *Run) { e.Begin(now, r) },
		"canceled": func(e *Engine, now time.Time, r *Run) { e.End(now, r, OutcomeCanceled) },
	} {
		e := NewEngine(64, 1_000_000, minSpeed)
		stays := e.Start(start, prompt(1, 10), 10)
		e.Begin(start.Add(time.Millisecond), stays)
		r := e.Start(start, prompt(2, 60_000), 10)
		if booked := e.Booked(start); booked < time.Minute {
			t.Fatalf("%s: %v booked at %d tokens a second, want a minute", name, booked, minSpeed)
		}
		now := start.Add(took)
		leave(e, now, r)
		if booked := e.Booked(now); booked > maxDecodeTime+took {
			t.Errorf("%s: %v booked after the run, want at most %v", name, booked, maxDecodeTime+took)
		}
	}
}

// Guards against an idle engine that no request may correct the estimate of.
func TestNothingStaysBookedAtIdleEngine(t *testing.T) {
	e := NewEngine(64, 1_000_000, minSpeed)
	r := e.Start(start, prompt(1, 600_000), 10)
	e.prefill.bookedUntil = start.Add(math.MaxInt64)
	e.End(start, r, OutcomeExpired)
	if booked := e.Booked(start.Add(idleTrial)); booked > 0 {
		t.Errorf("%v booked %v after the last run, want nothing", booked, idleTrial)
	}
}

// Guards against assumed speeds from which the true one is not learned in a few requests.
func TestAssumedSpeedIsLimited(t *testing.T) {
	for _, told := range []float64{0, -1, 1e-9, 1, 45_000, 1e30, math.Inf(1), math.NaN()} {
		e := NewEngine(64, 1_000_000, told)
		e.Seed(Estimate{TokensPerSecond: told})
		if speed := e.PrefillSpeed(); !(speed >= minSpeed && speed <= maxSpeed) {
			t.Errorf("speed %v after being told %v, want between %d and %d", speed, told, minSpeed, maxSpeed)
		}
	}
}
