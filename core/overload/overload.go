// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package overload protects a gateway that is given less of the processor than
// its callers ask of it. Callers land unevenly: one gateway may be asked for ten
// times what others are, and where it serves all of that late, nobody is served
// in time. A Governor watches how late the process comes to its work; while that
// stays high, it bounds how much work a second is admitted. The unit of work is
// a request that is served here; one that is handed over to another gateway of
// the data hall is a part of that. What the bound leaves no room for is handed
// over where there is such a gateway, and only what cannot be passed on in time
// either is refused, at once. Accounts that ask for the most are handed over and
// refused first: both bounds are shared max-min between accounts. A Governor is
// a pure state machine; it is not safe for concurrent use.
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
	// target is the lateness that is aimed at under a flood: a fiftieth of the shortest
	// objective, and more than a process has that keeps up (1 to 4 ms).
	target = 12 * time.Millisecond
	// The bound on what is admitted follows a proportional-integral rule, as the queue
	// management PIE has it (RFC 8033), on the logarithm of the bound: after each window it
	// falls by gain for each target of lateness beyond the target, one at most, and by
	// trendGain for each target that lateness has risen since the window before. The latter
	// keeps it from being cut again and again while what was admitted earlier still costs
	// time. Below the target it also rises by moreShare of what is asked, 0.3 in a second,
	// so that nothing is refused for long that could be served. In the model of the tests
	// (floods of 800 to 1,200 requests a second, streams of 1.5 and 3 s, refusals of 40 and
	// 85 microseconds, three seeds) this serves 0.91 of what is possible with one answer in a
	// hundred late; a share that is cut by a fifth after a late window and raised by a
	// twenty-fifth serves 0.83 with one in 23.
	gain      = 0.0133
	trendGain = 0.2
	moreShare = 0.03
	// maxStep bounds what a window changes, to e^-0.5 = 0.6 or its inverse.
	maxStep = 0.5
	// slack is how much more than what was admitted of late the bound may be where it
	// falls: callers ask for less than it allows at times.
	slack = 1.1
	// At least fewShare of what is asked is admitted, or all of it handed over where there is
	// a gateway to do that: a flood that begins makes the process late for a second whatever
	// is admitted, and what was cut too far is missing for seconds. Where it stays late for
	// floorTime all the same, refusals alone fill its time: then that part falls by gain for
	// each target of lateness, mostOff of them at most, down to leastShare, and rises by
	// floorRise in each window in time.
	fewShare   = 0.085
	floorTime  = 1500 * time.Millisecond
	mostOff    = 5.0
	floorRise  = 1.05
	leastShare = 0.01
	// handOverWork is the work of passing a request and its answer on, as a part of that of
	// serving it: a fifth by a profile of a gateway that passes 950 a second on and serves
	// 150, and what accepting a connection costs on both sides. What is wrong with it the
	// bound makes up for.
	handOverWork = 0.35
	// rounding is by what part sums of work may differ that are the same.
	rounding = 1e-9
	// lift is how much more than what is asked the bound must allow before it goes.
	lift = 1.3
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
	bound    float64 // bound is how much work a second is admitted; 0 for any amount.
	relief   bool    // relief tells that there is a gateway to hand requests over to.
	window   samples
	floor    float64       // floor is the part of the least work that is admitted all the same.
	floored  time.Time     // floored is since when the process is late with the bound at the floor; zero where it is not.
	judged   time.Time     // judged is when the window before ended.
	lateness time.Duration // lateness is that of the window before.
	asked    map[string]*count
	admitted count   // admitted counts work.
	total    float64 // total is how many requests a second were asked for at the last window.
	level    float64 // level is the most that is served here of an account.
	most     float64 // most is the most that is served here or handed over of an account.
	refused  uint64
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
	return &Governor{asked: map[string]*count{}, floor: 1, level: math.Inf(1), most: math.Inf(1)}
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
	before := g.bound > 0
	g.control(now, g.window.mean())
	g.window, g.judged = samples{}, now
	g.setLevel(now)
	return before != (g.bound > 0)
}

// control moves the bound by the lateness of a window.
func (g *Governor) control(now time.Time, lateness time.Duration) {
	off := float64(lateness-target) / float64(target)
	trend := float64(lateness-g.lateness) / float64(target)
	g.lateness = lateness
	step := gain*min(off, 1) + trendGain*trend
	if step > 0 && off < 0 {
		return // lateness rises, and is below the target
	}
	if step > 0 {
		g.admitted.fade(now)
		if lately := slack * g.admitted.requests * perSecond; g.bound <= 0 || g.bound > lately {
			g.bound = lately
		}
	}
	g.bound *= math.Exp(-max(min(step, maxStep), -maxStep))
	g.setFloor(now, off)
	if off < 0 && g.bound > 0 {
		g.bound -= moreShare * off * g.total
	}
}

// setFloor moves the part of what is asked that is admitted at least.
func (g *Governor) setFloor(now time.Time, off float64) {
	switch {
	case off < 0:
		g.floored = time.Time{}
		g.floor = min(g.floor*floorRise, 1)
	case g.bound > g.least():
	case g.floored.IsZero():
		g.floored = now
	case now.Sub(g.floored) >= floorTime:
		g.floor = max(g.floor*math.Exp(-gain*min(off, mostOff)), leastShare/fewShare)
	}
}

// least returns the least work a second that is admitted.
func (g *Governor) least() float64 {
	if g.relief {
		return handOverWork * g.floor * g.total
	}
	return fewShare * g.floor * g.total
}

// Admit counts a request of an account and tells what becomes of it. Draw is a random
// number between 0 and 1; movable tells whether the request can be handed over.
func (g *Governor) Admit(now time.Time, account string, draw float64, movable bool) Verdict {
	c := g.asked[account]
	if c == nil {
		c = &count{at: now}
		g.asked[account] = c
	}
	c.fade(now)
	c.requests++
	place := draw * c.requests
	switch {
	case place <= g.level, place <= g.most && !movable:
		g.admit(now, 1)
		return Serve
	case place <= g.most:
		g.admit(now, handOverWork)
		return HandOver
	default:
		g.refused++
		return Refuse
	}
}

func (g *Governor) admit(now time.Time, work float64) {
	g.admitted.fade(now)
	g.admitted.requests += work
}

// setLevel finds the most that is served of an account, so that the work of all accounts
// together is within the bound.
func (g *Governor) setLevel(now time.Time) {
	g.level, g.most = math.Inf(1), math.Inf(1)
	var asked []float64
	total := 0.0
	for name, c := range g.asked {
		c.fade(now)
		if c.requests < forget {
			delete(g.asked, name)
			continue
		}
		asked = append(asked, c.requests)
		total += c.requests
	}
	g.total = total * perSecond
	if g.bound > lift*g.total {
		g.bound = 0
	}
	if g.bound <= 0 {
		return
	}
	g.bound = max(g.bound, g.least())
	sort.Float64s(asked)
	work := g.bound / perSecond
	if !g.relief {
		g.level = maxMin(asked, work)
		g.most = g.level
		return
	}
	// Where all of it can be handed over, the work that is left serves requests here.
	if left := work - handOverWork*total; left > -rounding*work {
		g.level = maxMin(asked, max(left, 0)/(1-handOverWork))
		return
	}
	g.level, g.most = 0, maxMin(asked, work/handOverWork)
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
	return min(g.Own()/handOverWork, 1)
}

// Own returns the part of what is asked that there is time to serve here.
func (g *Governor) Own() float64 {
	if g.bound <= 0 || g.bound >= g.total {
		return 1
	}
	return g.bound / g.total
}

// Refused returns how many requests were refused since the start.
func (g *Governor) Refused() uint64 { return g.refused }
