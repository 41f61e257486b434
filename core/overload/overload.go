// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package overload protects a gateway that is given less of the processor than
// its callers ask of it. Callers land unevenly: one gateway may be asked for ten
// times what others are, and where it serves all of that late, nobody is served
// in time. A Governor learns what a request costs that is served, handed over to
// another gateway of the data hall, or refused: while the process is never idle, the
// time that passes is the work of what it handles. From that, from what arrives and
// from how late the process comes to its work it follows which part there is time to
// serve. The rest is handed over where there is such a gateway, and only what cannot
// be passed on in time either is refused, at once. Accounts that ask for the most are
// handed over and refused first: both parts are shared max-min between accounts. A
// Governor is a pure state machine; it is not safe for concurrent use.
package overload

import (
	"math"
	"sort"
	"time"
)

const (
	// windowLength is the time over which lateness is judged. A sample that is late by more
	// ends its windowLength at once: the next one comes only after it was read.
	windowLength = 100 * time.Millisecond
	// busyLateness is the lateness from which a process counts as never idle: more than one has that
	// keeps up (1 to 4 ms).
	busyLateness = 12 * time.Millisecond
	// maxUtilization is the part of its time that a process in time is taken to have used at most, so
	// that what it admits rises until it is late or all is admitted.
	maxUtilization = 0.9
	// halfLife is the time in which counted requests fade to a halfLife.
	halfLife = time.Second
	// minDemand is the count below which an account is forgotten.
	minDemand = 0.05
)

// ratePerCount is the rate that a count of requests which fade by half stands for.
const ratePerCount = math.Ln2 / float64(halfLife) * float64(time.Second)

// Verdict is what becomes of a request.
type Verdict int

// The verdicts.
const (
	Serve    Verdict = iota + 1 // this gateway serves it
	HandOver                    // another gateway of the data hall serves it
	Refuse
)

// Governor decides which requests a gateway admits.
type Governor struct {
	canHandOver bool // relief tells that there is a gateway to hand requests over to.
	costs       costs
	arrivals    arrivals

	window       samples
	handled      verdictCounts // handled counts the requests since the window before.
	unfinished   verdictCounts // begun counts requests of which a part of the work is still to come.
	windowEnd    time.Time     // judged is when the window before ended.
	lastLateness time.Duration // lateness is that of the window before.

	servable float64 // own is the part of the requests that there is time to serve here.
	// lastInTime is when the process was last late by less than movesTo while it could hand over.
	lastInTime    time.Time
	smoothedShare float64 // kept is the part that was admitted of the requests that come back now.

	demands     map[string]*demand
	totalRate   float64 // total is how many requests a second are asked for, by what was counted.
	serveRate   float64 // bound is how many of them are served here; 0 for all.
	acceptRate  float64 // reach is how many are served here or handed over.
	serveLevel  float64 // level is the most that is served here of an account.
	acceptLevel float64 // most is the most that is served here or handed over of an account.
	refused     uint64
}

// samples sums up the lateness in a window.
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

// mean returns the mean of all samples but the worst: a pause of the collector, which
// delays one of them, is no overload.
func (s *samples) mean() time.Duration {
	if s.n == 1 {
		return s.worst
	}
	return (s.sum - s.worst) / time.Duration(s.n-1)
}

// demand is how many requests an account has sent of late.
type demand struct {
	requests float64
	updated  time.Time
}

func (c *demand) decay(now time.Time) {
	if since := now.Sub(c.updated); since > 0 {
		c.requests *= math.Exp2(-float64(since) / float64(halfLife))
		c.updated = now
	}
}

// New returns a governor that admits everything.
func New() *Governor {
	return &Governor{demands: map[string]*demand{}, costs: newCosts(), servable: 1, smoothedShare: 1, serveLevel: math.Inf(1), acceptLevel: math.Inf(1)}
}

// SetHandOverAvailable tells whether there is another gateway to hand requests over to.
func (g *Governor) SetHandOverAvailable(there bool) { g.canHandOver = there }

// Observe takes how late the process has come to its work, or how long it has not come to
// it yet. It reports whether what is admitted has changed between all and less than all.
func (g *Governor) Observe(now time.Time, lateness time.Duration) (changed bool) {
	g.window.add(now, lateness)
	if now.Sub(g.window.began) < windowLength && (lateness < windowLength || now.Sub(g.windowEnd) < windowLength) {
		return false
	}
	if g.windowEnd.IsZero() {
		g.lastInTime = now
	}
	before := g.serveRate > 0
	late := g.window.mean()
	g.learn(now, late)
	g.control(now, late)
	g.window, g.handled, g.windowEnd, g.lastLateness = samples{}, verdictCounts{}, now, late
	g.setLevels(now)
	return before != (g.serveRate > 0)
}

// learn takes what a window tells of the requests in it. A process that is late all the time is
// never idle: the length of the window is the time that they took. One that is in time has
// taken less for them.
func (g *Governor) learn(now time.Time, late time.Duration) {
	if g.windowEnd.IsZero() {
		return
	}
	length := now.Sub(g.windowEnd)
	done := g.workDone(length)
	rise := late - g.lastLateness
	// A request waits before it is judged, and what it causes waits again: between none and all
	// of what lateness has risen by is work of the requests that were handled.
	g.arrivals.add(g.handled.sum(), max(length-rise/2, length/4))
	took := length.Seconds()
	switch {
	case late >= busyLateness && g.lastLateness >= busyLateness:
		g.costs.update(done, took+rise.Seconds()/2, rise.Seconds()/2)
	case late >= busyLateness: // idle at its beginning
		if expected := g.costs.expect(done); expected < took {
			g.costs.update(done, took, rise.Seconds()/2)
		}
	case g.costs.expect(done) > maxUtilization*took:
		g.costs.update(done, maxUtilization*took, 0)
	}
}

// demandRate returns how many requests a second are asked for, and forgets who asks no more.
func (g *Governor) demandRate(now time.Time) float64 {
	total := 0.0
	for name, c := range g.demands {
		c.decay(now)
		if c.requests < minDemand {
			delete(g.demands, name)
			continue
		}
		total += c.requests
	}
	return total * ratePerCount
}

// Admit counts a request of an account and tells what becomes of it. Draw is a random
// number between 0 and 1; movable tells whether the request can be handed over.
func (g *Governor) Admit(now time.Time, account string, draw float64, movable bool) Verdict {
	v := g.decide(now, account, draw, movable)
	g.handled.add(v)
	if v == Refuse {
		g.refused++
	}
	return v
}

func (g *Governor) decide(now time.Time, account string, draw float64, movable bool) Verdict {
	c := g.demands[account]
	if c == nil {
		c = &demand{updated: now}
		g.demands[account] = c
	}
	c.decay(now)
	c.requests++
	place := draw * c.requests
	switch {
	case place <= g.serveLevel, place <= g.acceptLevel && !movable:
		return Serve
	case place <= g.acceptLevel:
		return HandOver
	default:
		return Refuse
	}
}

// setLevels finds the most that is served of an account, so that all accounts together are
// within the bounds.
func (g *Governor) setLevels(now time.Time) {
	g.totalRate = g.demandRate(now)
	g.serveLevel, g.acceptLevel = math.Inf(1), math.Inf(1)
	if g.serveRate <= 0 {
		return
	}
	asked := make([]float64, 0, len(g.demands))
	for _, c := range g.demands {
		asked = append(asked, c.requests)
	}
	sort.Float64s(asked)
	g.serveLevel = maxMinLevel(asked, g.serveRate/ratePerCount)
	g.acceptLevel = g.serveLevel
	if g.canHandOver {
		g.acceptLevel = maxMinLevel(asked, g.acceptRate/ratePerCount)
	}
}

// maxMinLevel returns the most that each may have so that all together have so much, infinite
// where that is enough for all; asked is in rising order.
func maxMinLevel(asked []float64, left float64) float64 {
	for i, requests := range asked {
		even := left / float64(len(asked)-i)
		if requests > even {
			return even
		}
		left -= requests
	}
	return math.Inf(1)
}

// AcceptedShare returns the part of what is asked that is not refused.
func (g *Governor) AcceptedShare() float64 {
	if !g.canHandOver {
		return g.ServedShare()
	}
	return g.admitted(g.acceptRate)
}

// ServedShare returns the part of what is asked that there is time to serve here.
func (g *Governor) ServedShare() float64 { return g.admitted(g.serveRate) }

// admitted returns what part of all that is asked a bound lets through.
func (g *Governor) admitted(bound float64) float64 {
	if g.serveRate <= 0 || bound >= g.totalRate {
		return 1
	}
	return bound / g.totalRate
}

// Refused returns how many requests were refused since the start.
func (g *Governor) Refused() uint64 { return g.refused }
