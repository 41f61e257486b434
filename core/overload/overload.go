// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package overload decides which requests an overloaded gateway serves itself, hands over
// to another gateway of the data hall, or refuses.
//
// A Governor estimates what a request of each verdict costs: while the process is never
// idle, elapsed time is the work of the requests that it handles. From these costs, the
// arrival rate and the lateness of the process (how long its work waits before it runs) it
// derives the share of requests that it can serve in time. The rest is handed over if
// another gateway is available, and refused at once only if there is no time for that
// either. Both limits are shared max-min fairly between accounts, so that accounts that
// ask for the most are handed over and refused first. A Governor is a pure state machine;
// it is not safe for concurrent use.
package overload

import (
	"math"
	"sort"
	"time"
)

const (
	// windowLength is the time over which lateness is averaged. A sample later than that
	// ends its window at once, as the next one is taken only after it was read.
	windowLength = 100 * time.Millisecond
	// busyLateness is the lateness from which a process counts as never idle. One that keeps up
	// is late by 1 to 4 ms.
	busyLateness = 12 * time.Millisecond
	// maxUtilization limits the utilization that is assumed of a process in time, so that
	// the served share rises until the process is late or everything is served.
	maxUtilization = 0.9
	halfLife       = time.Second
	// minDemand is the decayed request count below which an account is removed.
	minDemand = 0.05
)

// ratePerCount converts a count that decays with halfLife to requests per second.
const ratePerCount = math.Ln2 / float64(halfLife) * float64(time.Second)

// Verdict is the decision on a request.
type Verdict int

const (
	Serve    Verdict = iota + 1 // on this gateway
	HandOver                    // to another gateway of the data hall
	Refuse
)

// Governor decides which requests a gateway serves, hands over or refuses.
type Governor struct {
	canHandOver bool
	costs       costs
	arrivals    arrivals

	burst        burst
	window       samples
	handled      verdictCounts // since the end of the last window
	unfinished   verdictCounts // requests weighted by the part of their deferred work that is still to come
	windowEnd    time.Time     // end of the last window
	lastLateness time.Duration // mean lateness of the last window

	servable float64 // share of the requests that can be served here
	// lastInTime is when lateness was last below refuseLateness, or nothing could be handed
	// over.
	lastInTime time.Time
	// smoothedShare is the accepted share smoothed over retryTime. It estimates the share at
	// the time of the refusals that are being retried now.
	smoothedShare float64

	demands     map[string]*demand
	totalRate   float64 // requested, in requests per second
	serveRate   float64 // served here, in requests per second; 0 is unlimited
	acceptRate  float64 // served here or handed over, in requests per second
	serveLevel  float64 // limit on an account's decayed count that is served here
	acceptLevel float64 // limit on an account's decayed count that is served here or handed over
	refused     uint64
}

// samples summarizes the lateness in a window.
type samples struct {
	began time.Time
	n     int
	sum   time.Duration
	worst time.Duration
}

func (s *samples) add(now time.Time, lateness time.Duration) {
	if s.n == 0 {
		s.began = now
	}
	s.n++
	s.sum += lateness
	s.worst = max(s.worst, lateness)
}

// mean returns the mean of all samples but the worst: a garbage collection pause, which
// delays a single sample, is no overload.
func (s *samples) mean() time.Duration {
	if s.n == 1 {
		return s.worst
	}
	return (s.sum - s.worst) / time.Duration(s.n-1)
}

// demand is the exponentially decayed number of requests of an account.
type demand struct {
	requests float64
	updated  time.Time
}

func (d *demand) decay(now time.Time) {
	if since := now.Sub(d.updated); since > 0 {
		d.requests *= math.Exp2(-float64(since) / float64(halfLife))
		d.updated = now
	}
}

// New returns a governor that admits everything.
func New() *Governor {
	return &Governor{demands: map[string]*demand{}, costs: newCosts(), servable: 1, smoothedShare: 1, serveLevel: math.Inf(1), acceptLevel: math.Inf(1)}
}

// SetHandOverAvailable sets whether requests can be handed over to another gateway.
func (g *Governor) SetHandOverAvailable(available bool) { g.canHandOver = available }

// Observe takes the lateness of the process, or for how long its current work is overdue.
// It reports whether the governor has begun or ceased to limit requests.
func (g *Governor) Observe(now time.Time, lateness time.Duration) (changed bool) {
	g.window.add(now, lateness)
	if now.Sub(g.window.began) < windowLength && (lateness < windowLength || now.Sub(g.windowEnd) < windowLength) {
		return false
	}
	if g.windowEnd.IsZero() {
		g.lastInTime = now
	}
	before := g.serveRate > 0
	mean := g.window.mean()
	g.learn(now, mean)
	g.control(now, mean)
	g.window, g.handled, g.windowEnd, g.lastLateness = samples{}, verdictCounts{}, now, mean
	g.setLevels(now)
	return before != (g.serveRate > 0)
}

// learn updates the costs and the arrival rate from a window. A process that is late
// throughout was never idle, so its requests took the length of the window. They took
// less if it was in time.
func (g *Governor) learn(now time.Time, lateness time.Duration) {
	if g.windowEnd.IsZero() {
		return
	}
	length := now.Sub(g.windowEnd)
	done := g.workDone(length)
	rise := lateness - g.lastLateness
	// A request waits before it is decided on, and the work that it causes waits again: between
	// none and all of the rise in lateness is work of the handled requests.
	g.arrivals.add(g.handled.sum(), max(length-rise/2, length/4))
	took := length.Seconds()
	switch {
	case lateness >= busyLateness && g.lastLateness >= busyLateness:
		g.costs.update(done, took+rise.Seconds()/2, rise.Seconds()/2)
	case lateness >= busyLateness: // idle at the start of the window
		if expected := g.costs.expect(done); expected < took {
			g.costs.update(done, took, rise.Seconds()/2)
		}
	case g.costs.expect(done) > maxUtilization*took:
		g.costs.update(done, maxUtilization*took, 0)
	}
}

// demandRate returns the requested rate in requests per second, and removes idle accounts.
func (g *Governor) demandRate(now time.Time) float64 {
	total := 0.0
	for name, d := range g.demands {
		d.decay(now)
		if d.requests < minDemand {
			delete(g.demands, name)
			continue
		}
		total += d.requests
	}
	return total * ratePerCount
}

// Admit counts a request of an account and decides on it. draw is a random number
// between 0 and 1; movable says whether the request can be handed over.
func (g *Governor) Admit(now time.Time, account string, draw float64, movable bool) Verdict {
	v := g.decide(now, account, draw, movable)
	g.handled.add(v)
	switch v {
	case Serve:
		g.burst.add(now, g.costs.of(Serve))
	case Refuse:
		g.refused++
	}
	return v
}

func (g *Governor) decide(now time.Time, account string, draw float64, movable bool) Verdict {
	d := g.demands[account]
	if d == nil {
		d = &demand{updated: now}
		g.demands[account] = d
	}
	d.decay(now)
	d.requests++
	place := draw * d.requests
	switch {
	case place <= g.acceptLevel && !movable:
		return Serve
	case place <= g.serveLevel && !g.Bursting(now):
		return Serve
	case place <= g.acceptLevel:
		return HandOver
	default:
		return Refuse
	}
}

// setLevels sets the limits of each account so that all accounts together stay within
// serveRate and acceptRate.
func (g *Governor) setLevels(now time.Time) {
	g.totalRate = g.demandRate(now)
	g.serveLevel, g.acceptLevel = math.Inf(1), math.Inf(1)
	if g.serveRate <= 0 {
		return
	}
	counts := make([]float64, 0, len(g.demands))
	for _, d := range g.demands {
		counts = append(counts, d.requests)
	}
	sort.Float64s(counts)
	g.serveLevel = maxMinLevel(counts, g.serveRate/ratePerCount)
	g.acceptLevel = g.serveLevel
	if g.canHandOver {
		g.acceptLevel = maxMinLevel(counts, g.acceptRate/ratePerCount)
	}
}

// maxMinLevel returns the max-min fair limit for each of the accounts that together
// may have capacity, infinite if it suffices for all; counts is in ascending order.
func maxMinLevel(counts []float64, capacity float64) float64 {
	for i, requests := range counts {
		even := capacity / float64(len(counts)-i)
		if requests > even {
			return even
		}
		capacity -= requests
	}
	return math.Inf(1)
}

// AcceptedShare returns the share of the requested rate that is not refused.
func (g *Governor) AcceptedShare() float64 {
	if !g.canHandOver {
		return g.ServedShare()
	}
	return g.admitted(g.acceptRate)
}

// ServedShare returns the share of the requested rate that can be served here.
func (g *Governor) ServedShare() float64 { return g.admitted(g.serveRate) }

// admitted returns the share of the requested rate that a limit admits.
func (g *Governor) admitted(limit float64) float64 {
	if g.serveRate <= 0 || limit >= g.totalRate {
		return 1
	}
	return limit / g.totalRate
}

// Refused returns the number of requests refused since the start.
func (g *Governor) Refused() uint64 { return g.refused }
