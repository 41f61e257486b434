// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package overload

import (
	"math"
	"time"
)

const (
	// standing is the lateness that is aimed at under a flood: a process that is never idle
	// shows what its work costs. drainTime is the time in which what waits beyond that is
	// worked off.
	standing  = 50 * time.Millisecond
	drainTime = 700 * time.Millisecond
	// Where at most heldMost is admitted, since refusals take most of the time, a lateness of up to
	// heldTo is borne, and what keeps it as it is goes on being admitted: whoever waits that long,
	// and again after a refusal, still has an answer in time. From noneFrom on nothing is admitted
	// that is not worked off at once.
	heldMost = 0.2
	heldTo   = 200 * time.Millisecond
	noneFrom = 300 * time.Millisecond
	// All is handed over that cannot be served here until the process has been late by movesTo
	// for movesTime: a flood that begins makes it late for a second whatever is admitted, and
	// what is refused then waits as long once more. From then on some is refused where handing
	// over would leave less than worksOff of the time for what waits.
	movesTo   = 400 * time.Millisecond
	movesTime = 1500 * time.Millisecond
	worksOff  = 0.3
	// leastMoved is the least part that is taken where there is a gateway to hand over to.
	leastMoved = 0.1
	// The part that is served here rises by mostRise and leastRise a window at most: pauses of
	// a process are longer than the lateness that is aimed at, and what follows one comes late
	// if as much is admitted at once as there is time for just then.
	mostRise  = 1.08
	leastRise = 0.01
	// returns is how many requests come back for each that is refused, returnTime the time in
	// which most of them do.
	returns    = 1.0
	returnTime = 300 * time.Millisecond
	// recent is the time in which arrivals fade to a third.
	recent = 300 * time.Millisecond
	// laterWork is the part of the work of a request that follows its beginning, laterTime the
	// time in which that fades to a third: the events of an answer take time for seconds.
	laterWork = 0.5
	laterTime = time.Second
	// leastShare is the least part that is admitted: without any, what serving costs would not
	// be learned.
	leastShare = 0.01
	// halvings is how often the span is halved in which a part is looked for.
	halvings = 12
)

// arrivals tells how many requests a second have come of late.
type arrivals struct{ requests, seconds float64 }

// note takes how many came in a time.
func (a *arrivals) note(requests float64, in time.Duration) {
	fade := math.Exp(-in.Seconds() / recent.Seconds())
	a.requests, a.seconds = a.requests*fade+requests, a.seconds*fade+in.Seconds()
}

func (a *arrivals) perSecond() float64 {
	if a.seconds <= 0 {
		return 0
	}
	return a.requests / a.seconds
}

// workDone returns how many requests the work of a window amounts to, with that of earlier ones
// in it.
func (g *Governor) workDone(length time.Duration) tally {
	part := 1 - math.Exp(-length.Seconds()/laterTime.Seconds())
	done := g.handled
	for _, v := range []Verdict{Serve, HandOver} {
		i := v - 1
		later := laterWork * g.handled[i]
		ended := part * g.unfinished[i]
		done[i] += ended - later
		g.unfinished[i] += later - ended
	}
	return done
}

// control decides what part of the requests there is time for, with what waits worked off
// meanwhile.
func (g *Governor) control(now time.Time, late time.Duration) {
	g.smoothedShare += (1 - math.Exp(-window.Seconds()/returnTime.Seconds())) * (g.Share() - g.smoothedShare)
	g.totalRate = g.countAsked(now)
	g.serveRate, g.reach = 0, 0
	if g.arrivals.perSecond() <= 0 {
		return
	}
	off := late - standing
	own, taken := g.sharesFor(1 - off.Seconds()/drainTime.Seconds())
	if hold := fall(late, heldTo, noneFrom); off > 0 {
		ownHeld, takenHeld := g.partsOf(1, 1)
		own, taken = max(own, hold*min(ownHeld, heldMost)), max(taken, hold*min(takenHeld, heldMost))
	}
	if !g.relief {
		g.lateSince = now
	} else {
		taken = max(taken, g.moves(now, late))
		own = min(own, g.servable*mostRise+leastRise)
	}
	if g.servable = own; own >= 1 {
		return
	}
	g.serveRate, g.reach = max(own, leastShare)*g.totalRate, max(taken, leastShare)*g.totalRate
	if taken >= 1 {
		g.reach = math.Inf(1)
	}
}

// moves returns the least part that is served here or handed over where there is a gateway to
// hand over to.
func (g *Governor) moves(now time.Time, late time.Duration) float64 {
	if late < movesTo {
		g.lateSince = now
	}
	if now.Sub(g.lateSince) < movesTime {
		return 1
	}
	_, taken := g.partsOf(1-worksOff, 1)
	return max(taken, leastMoved)
}

// Costs returns what the governor has learned: how much time a request takes that ends so, and how
// many come in a second.
func (g *Governor) Costs() (serve, handOver, refuse time.Duration, arriving float64) {
	in := func(v Verdict) time.Duration { return time.Duration(g.costs.of(v) * float64(time.Second)) }
	return in(Serve), in(HandOver), in(Refuse), g.arrivals.perSecond()
}

// sharesFor returns which sharesFor of the requests that come can be served here, and served or handed
// over, in so much of the process's time: both in the long run and with what is owed now.
func (g *Governor) sharesFor(free float64) (own, taken float64) {
	owed := g.costs.expect(g.unfinished) / laterTime.Seconds()
	own, taken = g.partsOf(free, 1)
	ownNow, takenNow := g.partsOf(free-owed, 1-laterWork)
	return min(own, ownNow), min(taken, takenNow)
}

// partsOf is parts where so much of the work of each request counts.
func (g *Governor) partsOf(free, counts float64) (own, taken float64) {
	serve, handOver, refuse := counts*g.costs.of(Serve), counts*g.costs.of(HandOver), g.costs.of(Refuse)
	come := g.arrivals.perSecond()
	if !g.relief {
		own = g.largest(free, serve, refuse)
		return own, own
	}
	if each := free / come; each >= handOver {
		return part(each-handOver, serve-handOver), 1
	}
	return 0, g.largest(free, handOver, refuse)
}

// largest returns the largest part of the requests that can be taken in so much time, where one
// takes so much and one that is refused so much. Those that are refused come back soon: the
// fewer are taken, the more come.
func (g *Governor) largest(free, take, refuse float64) float64 {
	first := g.arrivals.perSecond() / (1 + returns*(1-g.smoothedShare))
	fits := func(p float64) bool {
		return first*(1+returns*(1-p))*(refuse+p*(take-refuse)) <= free
	}
	if fits(1) {
		return 1
	}
	least, most := 0.0, 1.0
	for range halvings {
		if p := (least + most) / 2; fits(p) {
			least = p
		} else {
			most = p
		}
	}
	return least
}

// fall returns 1 up to a lateness, 0 from another one on, and what lies between in between.
func fall(late, from, to time.Duration) float64 {
	return min(max(float64(to-late)/float64(to-from), 0), 1)
}

// part returns a part of a whole, between none and all of it.
func part(some, all float64) float64 {
	switch {
	case some <= 0:
		return 0
	case some >= all:
		return 1
	}
	return some / all
}
