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
	// window is the time over which lateness is judged. A sample that is late by more
	// ends its window at once: the next one comes only after it was read.
	window = 100 * time.Millisecond
	// busy is the lateness from which a process counts as never idle: more than one has that
	// keeps up (1 to 4 ms).
	busy = 12 * time.Millisecond
	// room is the part of its time that a process in time is taken to have used at most, so
	// that what it admits rises until it is late or all is admitted.
	room = 0.9
	// half is the time in which counted requests fade to a half.
	half = time.Second
	// forget is the count below which an account is forgotten.
	forget = 0.05
)

// perSecond is the rate that a count of requests which fade by half stands for.
const perSecond = math.Ln2 / float64(half) * float64(time.Second)

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
	relief   bool // relief tells that there is a gateway to hand requests over to.
	costs    costs
	arrivals arrivals

	window     samples
	handled    tally         // handled counts the requests since the window before.
	unfinished tally         // begun counts requests of which a part of the work is still to come.
	judged     time.Time     // judged is when the window before ended.
	lateness   time.Duration // lateness is that of the window before.

	servable float64 // own is the part of the requests that there is time to serve here.
	// lateSince is when the process was last late by less than movesTo while it could hand over.
	lateSince     time.Time
	smoothedShare float64 // kept is the part that was admitted of the requests that come back now.

	demands     map[string]*count
	totalRate   float64 // total is how many requests a second are asked for, by what was counted.
	serveRate   float64 // bound is how many of them are served here; 0 for all.
	reach       float64 // reach is how many are served here or handed over.
	level       float64 // level is the most that is served here of an account.
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

// count is how many requests an account has sent of late.
type count struct {
	requests float64
	at       time.Time
}

func (c *count) fade(now time.Time) {
	if since := now.Sub(c.at); since > 0 {
		c.requests *= math.Exp2(-float64(since) / float64(half))
		c.at = now
	}
}

// New returns a governor that admits everything.
func New() *Governor {
	return &Governor{demands: map[string]*count{}, costs: newCosts(), servable: 1, smoothedShare: 1, level: math.Inf(1), acceptLevel: math.Inf(1)}
}

// SetRelief tells whether there is another gateway to hand requests over to.
func (g *Governor) SetRelief(there bool) { g.relief = there }

// Observe takes how late the process has come to its work, or how long it has not come to
// it yet. It reports whether what is admitted has changed between all and less than all.
func (g *Governor) Observe(now time.Time, lateness time.Duration) (changed bool) {
	g.window.add(now, lateness)
	if now.Sub(g.window.began) < window && (lateness < window || now.Sub(g.judged) < window) {
		return false
	}
	if g.judged.IsZero() {
		g.lateSince = now
	}
	before := g.serveRate > 0
	late := g.window.mean()
	g.learn(now, late)
	g.control(now, late)
	g.window, g.handled, g.judged, g.lateness = samples{}, tally{}, now, late
	g.setLevel(now)
	return before != (g.serveRate > 0)
}

// learn takes what a window tells of the requests in it. A process that is late all the time is
// never idle: the length of the window is the time that they took. One that is in time has
// taken less for them.
func (g *Governor) learn(now time.Time, late time.Duration) {
	if g.judged.IsZero() {
		return
	}
	length := now.Sub(g.judged)
	done := g.workDone(length)
	rise := late - g.lateness
	// A request waits before it is judged, and what it causes waits again: between none and all
	// of what lateness has risen by is work of the requests that were handled.
	g.arrivals.note(g.handled.sum(), max(length-rise/2, length/4))
	took := length.Seconds()
	switch {
	case late >= busy && g.lateness >= busy:
		g.costs.learn(done, took+rise.Seconds()/2, rise.Seconds()/2)
	case late >= busy: // idle at its beginning
		if expected := g.costs.expect(done); expected < took {
			g.costs.learn(done, took, rise.Seconds()/2)
		}
	case g.costs.expect(done) > room*took:
		g.costs.learn(done, room*took, 0)
	}
}

// countAsked returns how many requests a second are asked for, and forgets who asks no more.
func (g *Governor) countAsked(now time.Time) float64 {
	total := 0.0
	for name, c := range g.demands {
		c.fade(now)
		if c.requests < forget {
			delete(g.demands, name)
			continue
		}
		total += c.requests
	}
	return total * perSecond
}

// Admit counts a request of an account and tells what becomes of it. Draw is a random
// number between 0 and 1; movable tells whether the request can be handed over.
func (g *Governor) Admit(now time.Time, account string, draw float64, movable bool) Verdict {
	v := g.judge(now, account, draw, movable)
	g.handled.add(v)
	if v == Refuse {
		g.refused++
	}
	return v
}

func (g *Governor) judge(now time.Time, account string, draw float64, movable bool) Verdict {
	c := g.demands[account]
	if c == nil {
		c = &count{at: now}
		g.demands[account] = c
	}
	c.fade(now)
	c.requests++
	place := draw * c.requests
	switch {
	case place <= g.level, place <= g.acceptLevel && !movable:
		return Serve
	case place <= g.acceptLevel:
		return HandOver
	default:
		return Refuse
	}
}

// setLevel finds the most that is served of an account, so that all accounts together are
// within the bounds.
func (g *Governor) setLevel(now time.Time) {
	g.totalRate = g.countAsked(now)
	g.level, g.acceptLevel = math.Inf(1), math.Inf(1)
	if g.serveRate <= 0 {
		return
	}
	asked := make([]float64, 0, len(g.demands))
	for _, c := range g.demands {
		asked = append(asked, c.requests)
	}
	sort.Float64s(asked)
	g.level = maxMin(asked, g.serveRate/perSecond)
	g.acceptLevel = g.level
	if g.relief {
		g.acceptLevel = maxMin(asked, g.reach/perSecond)
	}
}

// maxMin returns the most that each may have so that all together have so much, infinite
// where that is enough for all; asked is in rising order.
func maxMin(asked []float64, left float64) float64 {
	for i, requests := range asked {
		even := left / float64(len(asked)-i)
		if requests > even {
			return even
		}
		left -= requests
	}
	return math.Inf(1)
}

// Share returns the part of what is asked that is not refused.
func (g *Governor) Share() float64 {
	if !g.relief {
		return g.Own()
	}
	return g.admitted(g.reach)
}

// Own returns the part of what is asked that there is time to serve here.
func (g *Governor) Own() float64 { return g.admitted(g.serveRate) }

// admitted returns what part of all that is asked a bound lets through.
func (g *Governor) admitted(bound float64) float64 {
	if g.serveRate <= 0 || bound >= g.totalRate {
		return 1
	}
	return bound / g.totalRate
}

// Refused returns how many requests were refused since the start.
func (g *Governor) Refused() uint64 { return g.refused }
