// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package watch decides when a gateway polls the platform's store for changes.
//
// Store calls are billed, so only a few gateways, the watchers, poll all the time. All others
// learn of changes from their peers, whose heartbeats carry the age of the sender's copy. A
// gateway whose copy becomes stale, because the watchers are cut off or rejected by the
// store, polls by itself. This needs no agreement: two gateways that poll only cost a call.
package watch

import (
	"math/bits"
	"time"

	"madderway/modules/saturate"
)

const (
	// Watchers is the number of gateways that poll all the time.
	Watchers = 3
	// LongPollTimeout is the time for which a call waits for a change.
	LongPollTimeout = time.Second
	// MinPollInterval is the shortest time between two calls of a gateway.
	MinPollInterval = 250 * time.Millisecond
	// A gateway that is not a watcher polls when its copy is older than staleAfter, plus
	// stalePerDoubling for each doubling of the fleet, since gossip takes longer, plus a
	// random delay of up to staleJitter, so that the first to poll can inform the others.
	// The jitter grows in proportion in fleets of more than staleJitterMembers.
	staleAfter         = 1200 * time.Millisecond
	stalePerDoubling   = 150 * time.Millisecond
	staleJitter        = 500 * time.Millisecond
	staleJitterMembers = 60
	// minBackoff and maxBackoff bound the backoff after failed calls. In a fleet of more than
	// backoffMembers both grow for gateways that are not watchers, the first by the square:
	// these all fail together and learn from the watchers that the store is back.
	minBackoff     = 50 * time.Millisecond
	maxBackoff     = time.Second
	backoffMembers = 30
	// A starting gateway waits for its peers to send a copy before it reads the store:
	// startWait plus up to startJitter. A restarted gateway waits as long as one of a new
	// fleet, since all may have lost power; running peers answer within milliseconds, and news
	// crosses 300 gateways within some hundred milliseconds. The
	// jitter grows in proportion in fleets of more than startJitterMembers, so that the number
	// of gateways that read the store themselves does not grow with the fleet.
	startWait          = 700 * time.Millisecond
	startJitter        = 2 * time.Second
	startJitterMembers = 300
	// After longSilence without an update, entries that their owners renew may have expired.
	// They may be missing for another settleTime after updates resume.
	longSilence = 3500 * time.Millisecond
	settleTime  = 2 * time.Second
	// unknownAge is the age reported by a gateway without a copy.
	unknownAge = time.Hour
)

// Watch tracks the age of one gateway's copy of one table and decides when to poll. It is not
// safe for concurrent use.
type Watch struct {
	jitter        float64   // between 0 and 1
	freshAt       time.Time // latest time at which the local copy was complete
	polledAt      time.Time
	settlingSince time.Time // end of the last long silence
	restoredAt    time.Time // when the store was restored from an older copy
	// Since when, and until when at least, copies of peers were complete without a long silence.
	peersFreshSince, peersFreshAt time.Time
	firstPollAt                   time.Time // earliest time of a poll without a copy in a small fleet
	gap                           bool      // the local copy may miss changes
}

// New returns a watch. jitter, between 0 and 1, spreads the polls of different gateways.
func New(jitter float64) *Watch { return &Watch{jitter: jitter} }

// staleDelay returns this gateway's jitter on top of staleAge.
func (w *Watch) staleDelay(members int) time.Duration {
	spread := staleJitter * time.Duration(max(members, staleJitterMembers)) / staleJitterMembers
	return saturate.Duration(w.jitter * float64(spread))
}

// BackoffRange returns the first and the longest backoff after failed calls.
func BackoffRange(watcher bool, members int) (first, longest time.Duration) {
	if watcher || members <= backoffMembers {
		return minBackoff, maxBackoff
	}
	scale := float64(members) / backoffMembers
	longest = saturate.Duration(scale * float64(maxBackoff))
	return min(saturate.Duration(scale*scale*float64(minBackoff)), longest), longest
}

// StartWait returns how long a starting gateway waits for its peers to send a copy before it reads
// the store, in a fleet of up to startJitterMembers. Seeds, through which others join, do not wait.
func StartWait(seed bool, jitter float64) time.Duration {
	if seed {
		return 0
	}
	return startWait + saturate.Duration(jitter*float64(startJitter))
}

// joinDelay returns the wait beyond StartWait in a larger fleet.
func (w *Watch) joinDelay(members int) time.Duration {
	beyond := float64(max(members-startJitterMembers, 0)) / startJitterMembers
	return saturate.Duration(w.jitter * beyond * float64(startJitter))
}

// DelayFirstPoll makes the first poll wait for peers.
func (w *Watch) DelayFirstPoll(now time.Time, wait time.Duration) { w.firstPollAt = now.Add(wait) }

// Due reports whether to poll the store now. members is the size of the fleet.
func (w *Watch) Due(now time.Time, watcher bool, members int) bool {
	return w.UntilDue(now, watcher, members) == 0
}

// UntilDue returns the time until the next poll is due if nothing is heard before, 0 if it is
// due now.
func (w *Watch) UntilDue(now time.Time, watcher bool, members int) time.Duration {
	switch {
	case w.gap:
		return 0
	case w.freshAt.IsZero():
		return max(w.firstPollAt.Add(w.joinDelay(members)).Sub(now), 0)
	}
	due := w.polledAt.Add(MinPollInterval)
	if stale := w.freshAt.Add(staleAge(members) + w.staleDelay(members)); !watcher && stale.After(due) {
		due = stale
	}
	return max(due.Sub(now), 0)
}

func staleAge(members int) time.Duration {
	return staleAfter + time.Duration(bits.Len(uint(max(members, 1)-1)))*stalePerDoubling
}

// Reason is the cause of a poll, a label of the metric of store reads.
type Reason string

const (
	ReasonFirst Reason = "first" // no copy yet, and none from peers
	ReasonGap   Reason = "gap"   // the local copy may miss changes
	ReasonWatch Reason = "watch" // this gateway is a watcher
	ReasonStale Reason = "stale" // the local copy is too old
)

// PollReason returns the cause of a poll that is due.
func (w *Watch) PollReason(watcher bool) Reason {
	switch {
	case w.gap:
		return ReasonGap
	case w.freshAt.IsZero():
		return ReasonFirst
	case watcher:
		return ReasonWatch
	default:
		return ReasonStale
	}
}

// PollStarted records the start of a call.
func (w *Watch) PollStarted(now time.Time) { w.polledAt = now }

// PollSucceeded records that the local copy was complete at the given time.
func (w *Watch) PollSucceeded(at time.Time) {
	w.gap = false
	w.advance(at)
}

// Confirmed records that the local copy was complete at a time, found by a read that is no poll.
func (w *Watch) Confirmed(at time.Time) { w.advance(at) }

// MarkGap makes the next poll due at once, since the local copy may miss changes.
func (w *Watch) MarkGap() { w.gap = true }

// ObservePeerAge records the age of a peer's copy that the local one includes. It ignores
// peers without a copy.
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

// ShiftBack corrects the time of the last update after a better reading of the store's clock,
// see StoreClock.Observe.
func (w *Watch) ShiftBack(d time.Duration) {
	if !w.freshAt.IsZero() {
		w.freshAt = w.freshAt.Add(-d)
	}
}

// MarkUnsettled records that the store was restored from an older copy: entries may be missing
// until their owners have written them again.
func (w *Watch) MarkUnsettled(now time.Time) { w.restoredAt = now }

// ObservePeerCopy records that a peer's copy was complete at a time, whether the local one includes
// it or not.
func (w *Watch) ObservePeerCopy(at time.Time) {
	if at.Sub(w.peersFreshAt) > longSilence {
		w.peersFreshSince = at
	}
	if at.After(w.peersFreshAt) {
		w.peersFreshAt = at
	}
}

// peersSettled reports whether peers have followed the store for long enough, so that a silence is
// this gateway's own and no entries have expired in it.
func (w *Watch) peersSettled(now time.Time) bool {
	return now.Sub(w.peersFreshAt) <= longSilence && now.Sub(w.peersFreshSince) >= settleTime
}

// FreshAt returns the latest time at which the local copy was complete.
func (w *Watch) FreshAt() time.Time { return w.freshAt }

// Unsettled reports whether a long silence of the store lasts or has just ended, so that missing
// entries may merely have expired.
func (w *Watch) Unsettled(now time.Time) bool { return w.UnsettledUntil(now).After(now) }

// UnsettledUntil returns the time at which the owners of entries that have expired in a long silence of
// the store will have renewed them, at the earliest if the silence lasts. It is zero if none has expired.
func (w *Watch) UnsettledUntil(now time.Time) time.Time {
	switch {
	case w.freshAt.IsZero():
		return time.Time{}
	case now.Sub(w.restoredAt) < settleTime:
		return w.restoredAt.Add(settleTime)
	case w.peersSettled(now):
		return time.Time{}
	case now.Sub(w.freshAt) > longSilence:
		return now.Add(settleTime)
	case now.Sub(w.settlingSince) < settleTime:
		return w.settlingSince.Add(settleTime)
	default:
		return time.Time{}
	}
}

// FreshSince reports whether the local copy was complete at some time after t.
func (w *Watch) FreshSince(t time.Time) bool { return w.freshAt.After(t) }

// Age returns the age of the local copy, unknownAge if there is none.
func (w *Watch) Age(now time.Time) time.Duration {
	if w.freshAt.IsZero() {
		return unknownAge
	}
	return max(now.Sub(w.freshAt), 0)
}
