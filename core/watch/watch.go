// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package watch decides which gateways ask the platform's store for news. Each
// call is paid for, so a few gateways ask, and all others learn from their peers:
// heartbeats carry how old the sender's knowledge is. A gateway whose knowledge
// grows too old, because those that ask are cut off or the store turns them
// away, asks by itself. No agreement is needed: two that ask cost a call.
package watch

import (
	"math/bits"
	"time"
)

const (
	// Watchers is how many gateways ask all the time.
	Watchers = 3
	// Wait is how long a call waits for a change.
	Wait = time.Second
	// Pace is the least time between two calls of a gateway that asks.
	Pace = 250 * time.Millisecond
	// staleAfter is the age of knowledge at which any gateway asks, stalePerStep
	// longer for each doubling of the fleet, since word of mouth takes so much
	// longer, and after a delay of its own so that not all ask at once.
	staleAfter   = 1200 * time.Millisecond
	stalePerStep = 150 * time.Millisecond
	staleSpread  = 500 * time.Millisecond
	// longSilence is the age of knowledge from which on entries that their owners
	// renew may have run out; settleTime is how long after that they may still be
	// missing.
	longSilence = 3500 * time.Millisecond
	settleTime  = 2 * time.Second
)

// Watch is what one gateway believes of the age of one table.
type Watch struct {
	delay   time.Duration
	freshAt time.Time // freshAt is the latest time at which what is known here was all there was.
	askedAt time.Time
	backAt  time.Time // backAt is when a long silence ended.
	known   bool
}

// New returns a watch; draw, between 0 and 1, is the gateway's own delay.
func New(draw float64) *Watch {
	return &Watch{delay: time.Duration(draw * float64(staleSpread))}
}

// Due tells whether to ask the store now, in a fleet of so many gateways.
// Preferred ones ask all the time.
func (w *Watch) Due(now time.Time, preferred bool, members int) bool {
	if !w.known {
		return true
	}
	if now.Sub(w.askedAt) < Pace {
		return false
	}
	return preferred || now.Sub(w.freshAt) >= staleAge(members)+w.delay
}

func staleAge(members int) time.Duration {
	return staleAfter + time.Duration(bits.Len(uint(max(members, 1)-1)))*stalePerStep
}

// Asked notes that a call begins.
func (w *Watch) Asked(now time.Time) { w.askedAt = now }

// Answered notes that the store answered with all there was at a time.
func (w *Watch) Answered(at time.Time) {
	w.known = true
	w.fresh(at)
}

// Lost notes that what is known may have a gap and must be read anew.
func (w *Watch) Lost() { w.known = false }

// Heard takes the age of a peer's knowledge, which is known here too.
func (w *Watch) Heard(now time.Time, age time.Duration) { w.fresh(now.Add(-age)) }

func (w *Watch) fresh(at time.Time) {
	if !at.After(w.freshAt) {
		return
	}
	if !w.freshAt.IsZero() && at.Sub(w.freshAt) > longSilence {
		w.backAt = at
	}
	w.freshAt = at
}

// Unsettled tells whether a long silence lasts, or has ended just now: entries
// that are missing may only have run out.
func (w *Watch) Unsettled(now time.Time) bool {
	if w.freshAt.IsZero() {
		return false
	}
	return now.Sub(w.freshAt) > longSilence || !w.backAt.IsZero() && now.Sub(w.backAt) < settleTime
}

// Age returns how old the knowledge is; it is very old where nothing is known.
func (w *Watch) Age(now time.Time) time.Duration {
	if w.freshAt.IsZero() {
		return time.Hour
	}
	return max(now.Sub(w.freshAt), 0)
}
