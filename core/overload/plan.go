// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package overload

import (
	"math"
	"time"

	"madderway/modules/saturate"
)

const (
	// standingLateness is the lateness aimed at under overload: the costs can only be
	// learned from a process that is never idle. A backlog beyond it is drained within
	// drainTime.
	standingLateness = 50 * time.Millisecond
	drainTime        = 700 * time.Millisecond
	// When refusals take most of the time, so that at most maxHeldShare is admitted, lateness
	// up to holdLateness is tolerated and the share that keeps it constant is still admitted:
	// a caller that waits that long, and again after a refusal, is still served in time.
	// From holdEndLateness on only the share that drains the backlog is admitted.
	maxHeldShare    = 0.2
	holdLateness    = 200 * time.Millisecond
	holdEndLateness = 300 * time.Millisecond
	// Requests that cannot be served here are all handed over until the process has been
	// late by refuseLateness for refuseAfter, longer than the onset of a flood: that makes the
	// process late for a second whatever it accepts, and a refused request would wait as long
	// once more. After that,
	// requests are refused if handing them over would leave less than minDrainShare of the
	// time for the backlog.
	refuseLateness = 400 * time.Millisecond
	refuseAfter    = 1500 * time.Millisecond
	minDrainShare  = 0.3
	// minHandOverShare is the least share that is served or handed over if another gateway is
	// available.
	minHandOverShare = 0.1
	// In each window the share served here rises at most by maxRiseFactor and riseStep, so
	// that the backlog that a pause of the process leaves is drained first.
	maxRiseFactor = 1.08
	riseStep      = 0.01
	// retriesPerRefusal is the assumed number of retries after a refusal, and retryTime the
	// assumed time until they arrive.
	retriesPerRefusal = 1.0
	retryTime         = 300 * time.Millisecond
	// arrivalDecay is the time constant of the arrival rate.
	arrivalDecay = 300 * time.Millisecond
	// deferredWork is the fraction of a request's work that follows after its start, as the
	// response is streamed; it decays with the time constant deferredTime.
	deferredWork = 0.5
	deferredTime = time.Second
	// minAcceptedShare is the lower limit of the served and accepted shares: if nothing was
	// served, the cost of serving could not be learned.
	minAcceptedShare = 0.01
	bisectionSteps   = 12
)

// arrivals measures the rate of requests, exponentially decayed.
type arrivals struct{ requests, seconds float64 }

func (a *arrivals) add(requests float64, span time.Duration) {
	decay := math.Exp(-span.Seconds() / arrivalDecay.Seconds())
	a.requests, a.seconds = a.requests*decay+requests, a.seconds*decay+span.Seconds()
}

func (a *arrivals) rate() float64 {
	if a.seconds <= 0 {
		return 0
	}
	return a.requests / a.seconds
}

// workDone returns the requests whose work was done in a window of this length, counting
// the deferred work of earlier ones.
func (g *Governor) workDone(length time.Duration) verdictCounts {
	ending := 1 - math.Exp(-length.Seconds()/deferredTime.Seconds())
	done := g.handled
	for _, v := range []Verdict{Serve, HandOver} {
		i := v - 1
		deferred := deferredWork * g.handled[i]
		ended := ending * g.unfinished[i]
		done[i] += ended - deferred
		g.unfinished[i] += deferred - ended
	}
	return done
}

// control sets the rates that can be served and accepted while the backlog is drained.
func (g *Governor) control(now time.Time, lateness time.Duration) {
	g.smoothedShare += (1 - math.Exp(-windowLength.Seconds()/retryTime.Seconds())) * (g.AcceptedShare() - g.smoothedShare)
	g.totalRate = g.demandRate(now)
	g.serveRate, g.acceptRate = 0, 0
	if g.arrivals.rate() <= 0 {
		return
	}
	backlog := lateness - standingLateness
	served, accepted := g.sharesFor(1 - backlog.Seconds()/drainTime.Seconds())
	if hold := rampDown(lateness, holdLateness, holdEndLateness); backlog > 0 {
		servedHeld, acceptedHeld := g.sharesWithin(1, 1)
		served, accepted = max(served, hold*min(servedHeld, maxHeldShare)), max(accepted, hold*min(acceptedHeld, maxHeldShare))
	}
	if !g.canHandOver {
		g.lastInTime = now
	} else {
		accepted = max(accepted, g.minAccepted(now, lateness))
		served = min(served, g.servable*maxRiseFactor+riseStep)
	}
	if g.servable = served; served >= 1 {
		return
	}
	g.serveRate, g.acceptRate = max(served, minAcceptedShare)*g.totalRate, max(accepted, minAcceptedShare)*g.totalRate
	if accepted >= 1 {
		g.acceptRate = math.Inf(1)
	}
}

// minAccepted returns the least share that is served or handed over if another gateway is
// available.
func (g *Governor) minAccepted(now time.Time, lateness time.Duration) float64 {
	if lateness < refuseLateness {
		g.lastInTime = now
	}
	if now.Sub(g.lastInTime) < refuseAfter {
		return 1
	}
	_, accepted := g.sharesWithin(1-minDrainShare, 1)
	return max(accepted, minHandOverShare)
}

// Costs returns the estimated time that a request takes by its verdict, and the arrival
// rate in requests per second.
func (g *Governor) Costs() (serve, handOver, refuse time.Duration, arriving float64) {
	in := func(v Verdict) time.Duration { return saturate.Seconds(g.costs.of(v)) }
	return in(Serve), in(HandOver), in(Refuse), g.arrivals.rate()
}

// sharesFor returns the shares of the arriving requests that can be served here, and served
// or handed over, within free seconds of work per second. They hold both in the long run and
// with the deferred work that is due now.
func (g *Governor) sharesFor(free float64) (served, accepted float64) {
	due := g.costs.expect(g.unfinished) / deferredTime.Seconds()
	served, accepted = g.sharesWithin(free, 1)
	servedNow, acceptedNow := g.sharesWithin(free-due, 1-deferredWork)
	return min(served, servedNow), min(accepted, acceptedNow)
}

// sharesWithin is sharesFor without deferred work, with only the fraction counted of the work
// of each admitted request.
func (g *Governor) sharesWithin(free, counted float64) (served, accepted float64) {
	serve, handOver, refuse := counted*g.costs.of(Serve), counted*g.costs.of(HandOver), g.costs.of(Refuse)
	arriving := g.arrivals.rate()
	if !g.canHandOver {
		served = g.largestShare(free, serve, refuse)
		return served, served
	}
	if each := free / arriving; each >= handOver {
		return fraction(each-handOver, serve-handOver), 1
	}
	return 0, g.largestShare(free, handOver, refuse)
}

// largestShare returns the largest share of the requests that can be admitted within free
// seconds of work per second, given the costs of an admitted and of a refused request. Refused
// requests are retried soon, so a smaller share means more arrivals.
func (g *Governor) largestShare(free, admit, refuse float64) float64 {
	first := g.arrivals.rate() / (1 + retriesPerRefusal*(1-g.smoothedShare))
	fits := func(p float64) bool {
		return first*(1+retriesPerRefusal*(1-p))*(refuse+p*(admit-refuse)) <= free
	}
	if fits(1) {
		return 1
	}
	least, most := 0.0, 1.0
	for range bisectionSteps {
		if p := (least + most) / 2; fits(p) {
			least = p
		} else {
			most = p
		}
	}
	return least
}

// rampDown falls linearly from 1 at the lateness from to 0 at the lateness to.
func rampDown(lateness, from, to time.Duration) float64 {
	return min(max(float64(to-lateness)/float64(to-from), 0), 1)
}

// fraction returns some/all, limited to between 0 and 1.
func fraction(some, all float64) float64 {
	switch {
	case some <= 0:
		return 0
	case some >= all:
		return 1
	}
	return some / all
}
