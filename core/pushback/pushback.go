// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package pushback keeps until when targets want nothing from this process: one that turns a
// request away may say for how long (server pushback, Retry-After in RFC 9110). After that the
// target gets one request first, and more as it takes them. It is a pure state machine without
// a goroutine of its own.
package pushback

import (
	"time"
)

const (
	// MaxPause bounds a rest. It is no less than any that a target means: one that has to be
	// absent for longer leaves. More, such as a wrong unit, would take the target out of use
	// for good.
	MaxPause = time.Hour
	// maxPauses bounds the table, some hundred bytes each, to well more targets than a fleet has.
	maxPauses = 4096
	// slowStartInitial is how many requests are under way at once to a target whose rest is over,
	// until it has taken one; each that it takes doubles that. At returnsLast it is a target
	// like any other.
	slowStartInitial = 1
	slowStartDone    = 8
	// slowStartTimeout is how long after its rest a target is still returning to which nothing is
	// sent. By then what waited for it is served or gone.
	slowStartTimeout = 2 * time.Second
	// slowStartRetryAfter is when another request may try a target to which as many are under way as
	// it gets now: most heads of answers come within that.
	slowStartRetryAfter = 100 * time.Millisecond
)

// pause is the pause that one life of a target has asked for.
type pause struct {
	until    time.Time
	limit    int // allowed is how many requests may be under way once it is over.
	inFlight int // underWay counts the requests sent since it was over whose answers have not begun.
}

// Table holds the rests of all targets. It is not safe for concurrent use.
type Table struct {
	pauses map[string]*pause // by target ID
}

// New returns an empty table.
func New() *Table { return &Table{pauses: map[string]*pause{}} }

// Len returns how many targets rest or return.
func (t *Table) Len() int { return len(t.pauses) }

// Pause takes that a target wants nothing for a time, and returns when its rest ends. The latest
// end holds: an answer to a request that was sent before may come after one that asks for more.
func (t *Table) Pause(now time.Time, target string, d time.Duration) time.Time {
	r := t.pauses[target]
	if r == nil {
		t.evict(now)
		r = &pause{}
		t.pauses[target] = r
	}
	r.limit = slowStartInitial
	if until := now.Add(min(d, MaxPause)); until.After(r.until) {
		r.until = until
	}
	return r.until
}

// Remaining returns how much longer a target rests, 0 where it does not.
func (t *Table) Remaining(now time.Time, target string) time.Duration {
	r := t.pauses[target]
	if r == nil {
		return 0
	}
	return max(r.until.Sub(now), 0)
}

// Blocked tells whether nothing may be sent to a target now, and how long until something may.
func (t *Table) Blocked(now time.Time, target string) (left time.Duration, closed bool) {
	r := t.pauses[target]
	if r == nil {
		return 0, false
	}
	if left := r.until.Sub(now); left > 0 {
		return left, true
	}
	if r.inFlight >= r.limit {
		return slowStartRetryAfter, true
	}
	return 0, false
}

// TryStart takes that a request is sent to a target; it reports false where it may not be.
// Counted tells that its end must be told by End.
func (t *Table) TryStart(now time.Time, target string) (counted, ok bool) {
	r := t.pauses[target]
	if r == nil {
		return false, true
	}
	if _, closed := t.Blocked(now, target); closed {
		return false, false
	}
	r.inFlight++
	return true, true
}

// Done takes that the answer to a counted request has begun, and whether the target took the
// request, or that none will come.
func (t *Table) Done(target string, taken bool) {
	r := t.pauses[target]
	if r == nil {
		return
	}
	r.inFlight = max(r.inFlight-1, 0)
	if !taken {
		return
	}
	r.limit *= 2
	if r.limit >= slowStartDone {
		delete(t.pauses, target)
	}
}

// Expire forgets the targets that have returned, or that nothing was sent to since.
func (t *Table) Expire(now time.Time) {
	for target, r := range t.pauses {
		if r.inFlight == 0 && now.Sub(r.until) >= slowStartTimeout {
			delete(t.pauses, target)
		}
	}
}

// evict drops what is over, or else the rest that ends first, where the table is full.
func (t *Table) evict(now time.Time) {
	if len(t.pauses) < maxPauses {
		return
	}
	t.Expire(now)
	if len(t.pauses) < maxPauses {
		return
	}
	first := ""
	for target, r := range t.pauses {
		if first == "" || r.until.Before(t.pauses[first].until) {
			first = target
		}
	}
	delete(t.pauses, first)
}
