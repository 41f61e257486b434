// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package overload protects a gateway that is given less of the processor than
// its callers ask of it. Callers land unevenly: one gateway may be asked for ten
// times what others are, and where it serves all of that late, nobody is served
// in time. A Governor watches how late the process comes to its work; while that
// stays high, it refuses a part of the requests at once, so that they come back
// at another gateway. Accounts that ask for the most are refused first: what is
// admitted is shared max-min between accounts. A Governor is a pure state
// machine; it is not safe for concurrent use.
package overload

import (
	"math"
	"sort"
	"time"
)

const (
	// window is how long lateness must last to count: a pause of the collector or
	// a burst of a few requests passes by itself.
	window = 150 * time.Millisecond
	// late is the least lateness of a window in which the process is overloaded.
	late = 12 * time.Millisecond
	// Less is admitted by lessShare after each overloaded window, more by
	// moreShare after each other one; never less than leastShare of what is asked.
	lessShare  = 0.8
	moreShare  = 0.04
	leastShare = 0.1
	// half is the time in which counted requests fade to a half.
	half = time.Second
	// forget is the count below which an account is forgotten.
	forget = 0.05
)

// Governor decides which requests a gateway admits.
type Governor struct {
	share   float64 // share is the part of what is asked that is admitted.
	began   time.Time
	least   time.Duration // least is the least lateness of this window.
	samples int
	asked   map[string]*count
	level   float64 // level is the most that an account is admitted for; 0 for any number.
	refused uint64
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
func New() *Governor { return &Governor{share: 1, asked: map[string]*count{}} }

// Observe takes how late the process has come to its work. It reports whether
// what is admitted has changed between all and less than all.
func (g *Governor) Observe(now time.Time, lateness time.Duration) (changed bool) {
	if g.samples == 0 {
		g.began, g.least = now, lateness
	}
	g.samples++
	g.least = min(g.least, lateness)
	if now.Sub(g.began) < window {
		return false
	}
	before := g.share
	// A sample that is late by a whole window stands for all of it.
	if (g.samples > 1 || lateness >= window) && g.least >= late {
		g.share = max(lessShare*g.share, leastShare)
	} else {
		g.share = min(g.share+moreShare, 1)
	}
	g.samples = 0
	g.setLevel(now)
	return (before < 1) != (g.share < 1)
}

// Admit counts a request of an account and tells whether it is served; draw is a
// random number between 0 and 1.
func (g *Governor) Admit(now time.Time, account string, draw float64) bool {
	c := g.asked[account]
	if c == nil {
		c = &count{at: now}
		g.asked[account] = c
	}
	c.fade(now)
	c.requests++
	if g.level <= 0 || draw*c.requests <= g.level {
		return true
	}
	g.refused++
	return false
}

// setLevel finds the most that an account is admitted for, so that all accounts
// together are admitted for the share of what they ask.
func (g *Governor) setLevel(now time.Time) {
	g.level = 0
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
	if g.share >= 1 {
		return
	}
	sort.Float64s(asked)
	left := g.share * total
	for i, requests := range asked {
		even := left / float64(len(asked)-i)
		if requests > even {
			g.level = even
			return
		}
		left -= requests
	}
}

// Share returns the part of what is asked that is admitted now.
func (g *Governor) Share() float64 { return g.share }

// Refused returns how many requests were refused since the start.
func (g *Governor) Refused() uint64 { return g.refused }
