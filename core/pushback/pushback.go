// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package pushback holds back requests to targets that asked for a pause: a target that
// rejects a request may say for how long (server pushback, Retry-After in RFC 9110). After the
// pause a target gets a slow start: one request first, then more as it accepts them. A Table
// is a pure state machine.
package pushback

import (
	"time"
)

const (
	// MaxPause bounds a pause, so that a wrong unit does not take a target out of use for
	// good. A target that has to be absent for longer leaves instead.
	MaxPause = time.Hour
	// maxPauses bounds the memory of the table. It exceeds the number of targets of a fleet.
	maxPauses = 4096
	// slowStartInitial is the number of requests in flight allowed after a pause. Each
	// accepted request doubles the limit; at slowStartDone the target is back to normal.
	slowStartInitial = 1
	slowStartDone    = 8
	// slowStartTimeout ends the slow start of a target that gets no requests. By then the
	// requests that waited for it are served or gone.
	slowStartTimeout = 2 * time.Second
	// slowStartRetryAfter is the delay after which to retry a target at its limit.
	slowStartRetryAfter = 100 * time.Millisecond
)

// pause is the pause and the slow start of one target incarnation.
type pause struct {
	until    time.Time
	limit    int // requests in flight allowed during the slow start
	inFlight int // requests of the slow start without a response header
	asked    int // how often the target has asked for a pause
}

// Ticket is a request of a slow start. The zero Ticket is a request that is not counted.
type Ticket struct {
	pause *pause
	asked int // as of the start of the request
}

// Table holds the pauses of all targets. It is not safe for concurrent use.
type Table struct {
	pauses map[string]*pause // by target ID
}

// New returns an empty table.
func New() *Table { return &Table{pauses: map[string]*pause{}} }

// Len returns the number of targets in a pause or a slow start.
func (t *Table) Len() int { return len(t.pauses) }

// Pause records that a target asks for a pause of d, and returns the end of its pause. The
// latest end wins, as responses may arrive out of order.
func (t *Table) Pause(now time.Time, target string, d time.Duration) time.Time {
	p := t.pauses[target]
	if p == nil {
		t.evict(now)
		p = &pause{}
		t.pauses[target] = p
	}
	p.limit = slowStartInitial
	p.asked++
	if until := now.Add(min(d, MaxPause)); until.After(p.until) {
		p.until = until
	}
	return p.until
}

// Remaining returns the rest of a target's pause, 0 if there is none.
func (t *Table) Remaining(now time.Time, target string) time.Duration {
	p := t.pauses[target]
	if p == nil {
		return 0
	}
	return max(p.until.Sub(now), 0)
}

// Blocked reports whether a target must not get a request now, and when to retry.
func (t *Table) Blocked(now time.Time, target string) (retryAfter time.Duration, blocked bool) {
	p := t.pauses[target]
	if p == nil {
		return 0, false
	}
	if retryAfter := p.until.Sub(now); retryAfter > 0 {
		return retryAfter, true
	}
	if p.inFlight >= p.limit {
		return slowStartRetryAfter, true
	}
	return 0, false
}

// TryStart reports whether a request may be sent to a target. The caller must call Done when the
// response begins or the request fails.
func (t *Table) TryStart(now time.Time, target string) (ticket Ticket, ok bool) {
	p := t.pauses[target]
	if p == nil {
		return Ticket{}, true
	}
	if _, blocked := t.Blocked(now, target); blocked {
		return Ticket{}, false
	}
	p.inFlight++
	return Ticket{p, p.asked}, true
}

// Done ends a request. That the target accepted it counts only if the target has not asked for
// another pause since: the request was sent before that.
func (t *Table) Done(target string, ticket Ticket, accepted bool) {
	p := t.pauses[target]
	if p == nil || p != ticket.pause {
		return
	}
	p.inFlight--
	if !accepted || ticket.asked != p.asked {
		return
	}
	p.limit *= 2
	if p.limit >= slowStartDone {
		delete(t.pauses, target)
	}
}

// Expire deletes targets without requests in flight whose slow start has timed out.
func (t *Table) Expire(now time.Time) {
	for target, p := range t.pauses {
		if p.inFlight == 0 && now.Sub(p.until) >= slowStartTimeout {
			delete(t.pauses, target)
		}
	}
}

// evict makes room in a full table: it deletes expired entries or else the pause that ends
// first.
func (t *Table) evict(now time.Time) {
	if len(t.pauses) < maxPauses {
		return
	}
	t.Expire(now)
	if len(t.pauses) < maxPauses {
		return
	}
	first := ""
	for target, p := range t.pauses {
		if first == "" || p.until.Before(t.pauses[first].until) {
			first = target
		}
	}
	delete(t.pauses, first)
}
