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
	// LongPollTimeout is how long a call waits for a change.
	LongPollTimeout = time.Second
	// MinPollInterval is the least time between two calls of a gateway that asks.
	MinPollInterval = 250 * time.Millisecond
	// staleAfter is the age of knowledge at which any gateway asks, stalePerStep
	// longer for each doubling of the fleet, since word of mouth takes so much
	// longer, and after a delay of its own so that not all ask at once: up to
	// staleSpread, longer in proportion in a fleet of more than spreadMembers. Who asks
	// first tells the others.
	staleAfter         = 1200 * time.Millisecond
	stalePerDoubling   = 150 * time.Millisecond
	staleJitter        = 500 * time.Millisecond
	staleJitterMembers = 60
	// minBackoff and retryMost are the first and the longest pause after calls that
	// failed. In a fleet of more than retryMembers they are longer for those that do not
	// ask all the time, the first one by the square: they all fail together, and hear
	// of the store's return from those that do.
	minBackoff     = 50 * time.Millisecond
	maxBackoff     = time.Second
	backoffMembers = 30
	// fleetStartWait is how long a gateway leaves it to its peers to tell what there is when
	// the whole fleet starts for the first time, firstSpread what others wait longer:
	// news crosses 300 gateways within some hundred milliseconds, and they all start
	// within a few hundred. againWait and againSpread are the same for a gateway that
	// starts later: its peers answer within milliseconds where any is up.
	fleetStartWait   = 700 * time.Millisecond
	fleetStartJitter = 2 * time.Second
	restartWait      = 100 * time.Millisecond
	restartJitter    = 200 * time.Millisecond
	// longSilence is the age of knowledge from which on entries that their owners
	// renew may have run out; settleTime is how long after that they may still be
	// missing.
	longSilence = 3500 * time.Millisecond
	settleTime  = 2 * time.Second
	// unknownAge is told as the age of what is not known at all.
	unknownAge = time.Hour
)

// Watch is what one gateway believes of the age of one table.
type Watch struct {
	jitter        float64   // draw, between 0 and 1, is this gateway's own.
	freshAt       time.Time // freshAt is the latest time at which what is known here was all there was.
	polledAt      time.Time
	settlingSince time.Time // backAt is when a long silence ended.
	firstPollAt   time.Time // beginAt is when to read all that peers have not told until then.
	gap           bool      // gap tells that changes may be missing here.
}

// New returns a watch; draw, between 0 and 1, is the gateway's own delay.
func New(draw float64) *Watch { return &Watch{jitter: draw} }

// staleDelay returns how much later than the first one this gateway asks.
func (w *Watch) staleDelay(members int) time.Duration {
	spread := staleJitter * time.Duration(max(members, staleJitterMembers)) / staleJitterMembers
	return time.Duration(w.jitter * float64(spread))
}

// BackoffRange returns the first and the longest pause after calls of the store that failed.
func BackoffRange(preferred bool, members int) (first, most time.Duration) {
	if preferred || members <= backoffMembers {
		return minBackoff, maxBackoff
	}
	times := float64(members) / backoffMembers
	most = time.Duration(times * float64(maxBackoff))
	return min(time.Duration(times*times*float64(minBackoff)), most), most
}

// Start tells how a gateway starts.
type Start struct {
	Seed       bool // Seed tells that others begin with this gateway.
	FleetStart bool // First tells that the whole fleet starts for the first time.
}

// Wait returns how long a gateway that starts leaves it to its peers to tell it what
// the store holds; draw is between 0 and 1. Seeds read the store at once.
func (s Start) Wait(draw float64) time.Duration {
	switch {
	case s.Seed:
		return 0
	case s.FleetStart:
		return fleetStartWait + time.Duration(draw*float64(fleetStartJitter))
	default:
		return restartWait + time.Duration(draw*float64(restartJitter))
	}
}

// DelayFirstPoll makes the first reading of all wait for peers.
func (w *Watch) DelayFirstPoll(now time.Time, wait time.Duration) { w.firstPollAt = now.Add(wait) }

// Due tells whether to ask the store now, in a fleet of so many gateways.
// Preferred ones ask all the time.
func (w *Watch) Due(now time.Time, preferred bool, members int) bool {
	return w.UntilDue(now, preferred, members) == 0
}

// UntilDue returns how long it takes until Due may say so, unless something is heard
// before; 0 where it does now.
func (w *Watch) UntilDue(now time.Time, preferred bool, members int) time.Duration {
	switch {
	case w.gap:
		return 0
	case w.freshAt.IsZero():
		return max(w.firstPollAt.Sub(now), 0)
	}
	due := w.polledAt.Add(MinPollInterval)
	if stale := w.freshAt.Add(staleAge(members) + w.staleDelay(members)); !preferred && stale.After(due) {
		due = stale
	}
	return max(due.Sub(now), 0)
}

func staleAge(members int) time.Duration {
	return staleAfter + time.Duration(bits.Len(uint(max(members, 1)-1)))*stalePerDoubling
}

// Reason names why the store is asked.
type Reason string

// The reasons.
const (
	ReasonFirst Reason = "first" // nothing is known, and no peer has told anything
	ReasonGap   Reason = "gap"   // changes may be missing
	ReasonWatch Reason = "watch" // this gateway asks all the time
	ReasonStale Reason = "stale" // what is known has grown old
)

// PollReason returns the reason of a call that is due.
func (w *Watch) PollReason(preferred bool) Reason {
	switch {
	case w.gap:
		return ReasonGap
	case w.freshAt.IsZero():
		return ReasonFirst
	case preferred:
		return ReasonWatch
	default:
		return ReasonStale
	}
}

// PollStarted notes that a call begins.
func (w *Watch) PollStarted(now time.Time) { w.polledAt = now }

// PollSucceeded notes that the store answered with all there was at a time.
func (w *Watch) PollSucceeded(at time.Time) {
	w.gap = false
	w.advance(at)
}

// MarkGap notes that what is known may have a gap and must be read anew.
func (w *Watch) MarkGap() { w.gap = true }

// ObservePeerAge takes the age of a peer's knowledge, which is known here too. Peers that know
// nothing themselves tell nothing.
func (w *Watch) ObservePeerAge(now time.Time, age time.Duration) {
	if age < unknownAge {
		w.advance(now.Add(-age))
	}
}

func (w *Watch) advance(at time.Time) {
	if !at.After(w.freshAt) {
		return
	}
	if !w.freshAt.IsZero() && at.Sub(w.freshAt) > longSilence {
		w.settlingSince = at
	}
	w.freshAt = at
}

// ShiftBack moves what is known by the store's clock: a better reading has shown that it was so
// much earlier.
func (w *Watch) ShiftBack(d time.Duration) {
	if !w.freshAt.IsZero() {
		w.freshAt = w.freshAt.Add(-d)
	}
}

// MarkUnsettled notes that what is known begins anew, from an older copy: entries may be missing
// until their owners have written them again.
func (w *Watch) MarkUnsettled(now time.Time) { w.settlingSince = now }

// FreshAt returns the latest time at which what is known here was all there was.
func (w *Watch) FreshAt() time.Time { return w.freshAt }

// Unsettled tells whether a long silence lasts, or has ended just now: entries
// that are missing may only have run out.
func (w *Watch) Unsettled(now time.Time) bool {
	if w.freshAt.IsZero() {
		return false
	}
	return now.Sub(w.freshAt) > longSilence || !w.settlingSince.IsZero() && now.Sub(w.settlingSince) < settleTime
}

// FreshSince tells whether what is known was all there was at some time after t.
func (w *Watch) FreshSince(t time.Time) bool { return w.freshAt.After(t) }

// Age returns how old the knowledge is; it is very old where nothing is known.
func (w *Watch) Age(now time.Time) time.Duration {
	if w.freshAt.IsZero() {
		return unknownAge
	}
	return max(now.Sub(w.freshAt), 0)
}
