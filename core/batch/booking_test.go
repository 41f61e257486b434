// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package batch

import (
	"math"
	"math/rand/v2"
	"slices"
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
	if booked := e.Booked(start.Add(idleReset)); booked > 0 {
		t.Errorf("%v booked %v after the last run, want nothing", booked, idleReset)
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

// Guards against failures, silence or bookings that keep requests from an engine for good, once no run
// is left that could end them.
func TestIdleEngineIsUsableAgainAfterAnyRuns(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 5))
		e := NewEngine(1+rng.IntN(64), 1_000_000, []float64{0, minSpeed, 45_000, maxSpeed}[rng.IntN(4)])
		now := start
		var runs []*Run
		for range 200 {
			now = now.Add(time.Duration(rng.ExpFloat64() * float64(300*time.Millisecond)))
			switch {
			case len(runs) == 0 || rng.IntN(3) == 0:
				runs = append(runs, e.Start(now, prompt(rng.Uint64N(20), 1+rng.IntN(200_000)), rng.IntN(500)))
			case rng.IntN(2) == 0:
				e.Begin(now, runs[rng.IntN(len(runs))])
			default:
				i := rng.IntN(len(runs))
				e.End(now, runs[i], Outcome(1+rng.IntN(int(OutcomeUnlisted))))
				runs = slices.Delete(runs, i, i+1)
			}
			if rng.IntN(40) == 0 {
				now = now.Add(time.Duration(rng.Int64N(int64(20 * time.Second))))
				e.EndStandstill(now)
			}
		}
		for _, r := range runs {
			e.End(now, r, Outcome(1+rng.IntN(int(OutcomeUnlisted))))
		}
		at := now.Add(movedPause)
		if !e.Usable(at) || e.Booked(at) > 0 || e.SlotWait() > 0 || e.Running() > 0 {
			t.Errorf("seed %d: usable %t, booked %v, slot in %v, %d runs %v after the last run ended", seed, e.Usable(at), e.Booked(at), e.SlotWait(), e.Running(), movedPause)
		}
		if speed := e.PrefillSpeed(); !(speed > 0 && speed <= maxSpeed*maxSpeedup) {
			t.Errorf("seed %d: speed %v, want one above 0", seed, speed)
		}
	}
}
