// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package pushback

import (
	"fmt"
	"math"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func mayStart(t *Table, now time.Time) bool {
	_, ok := t.TryStart(now, "t")
	return ok
}

// startAll starts as many requests as are allowed, a few more than a slow start has at most.
func startAll(t *Table, now time.Time) (tickets []Ticket) {
	for len(tickets) <= 2*slowStartDone {
		ticket, ok := t.TryStart(now, "t")
		if !ok {
			break
		}
		tickets = append(tickets, ticket)
	}
	return tickets
}

func TestNoRequestsDuringPause(t *testing.T) {
	for _, d := range []time.Duration{200 * time.Millisecond, 3 * time.Second, 30 * time.Second} {
		table := New()
		table.Pause(start, "t", d)
		for _, share := range []float64{0, 0.5, 0.999} {
			now := start.Add(time.Duration(share * float64(d)))
			if retryAfter, blocked := table.Blocked(now, "t"); mayStart(table, now) || !blocked || retryAfter != start.Add(d).Sub(now) {
				t.Errorf("at %v of a pause of %v: request allowed, or blocked = %v for %v", share, d, blocked, retryAfter)
			}
		}
		if !mayStart(table, start.Add(d)) {
			t.Errorf("request blocked after a pause of %v", d)
		}
		if _, ok := table.TryStart(start, "other"); !ok {
			t.Error("another target is blocked, too")
		}
	}
}

// Guards against a late response that shortens a pause, and against a pause without end.
func TestLatestPauseEndWins(t *testing.T) {
	table := New()
	table.Pause(at(0), "t", 3*time.Second)
	if until := table.Pause(at(1), "t", time.Second); until != at(3) {
		t.Errorf("after a shorter pause: end at %v, want 3 s after the start", until)
	}
	if until := table.Pause(at(2), "t", 3*time.Second); until != at(5) {
		t.Errorf("after a later pause: end at %v, want 5 s after the start", until)
	}
	if until := table.Pause(at(2), "t", math.MaxInt64); until != at(2).Add(MaxPause) {
		t.Errorf("after an excessive pause: end at %v, want MaxPause after its request", until)
	}
}

// Guards against a burst of requests to a target whose pause has just ended.
func TestSlowStartAfterPause(t *testing.T) {
	table := New()
	table.Pause(at(0), "t", time.Second)
	for _, want := range []int{1, 2, 4} {
		tickets := startAll(table, at(1))
		if len(tickets) != want {
			t.Errorf("got %d requests in flight, want %d", len(tickets), want)
		}
		for i, ticket := range tickets {
			table.Done("t", ticket, i == 0)
		}
	}
	if n := len(startAll(table, at(1))); n <= slowStartDone || table.Len() != 0 {
		t.Errorf("after the slow start: got %d requests in flight, want no limit and no entry", n)
	}
	table.Pause(at(1), "t", time.Second)
	ticket, _ := table.TryStart(at(2), "t")
	table.Pause(at(2), "t", time.Second)
	table.Done("t", ticket, false)
	if mayStart(table, at(2.5)) || !mayStart(table, at(3)) || mayStart(table, at(3)) {
		t.Error("second pause: request allowed during it, or not exactly one after it")
	}
}

// Guards against a pause that is ended by answers to requests sent before it.
func TestAnswersToEarlierRequestsDoNotEndPause(t *testing.T) {
	table := New()
	table.Pause(at(0), "t", time.Second)
	var sent []Ticket
	for range 2 {
		tickets := startAll(table, at(1))
		table.Done("t", tickets[0], true)
		sent = append(sent, tickets[1:]...)
	}
	if sent = append(sent, startAll(table, at(1))...); len(sent) < 3 {
		t.Fatalf("got %d requests in flight, want enough to end a slow start", len(sent))
	}
	table.Pause(at(1), "t", 5*time.Second)
	for _, ticket := range sent {
		table.Done("t", ticket, true)
	}
	for _, now := range []time.Time{at(1), at(3), at(5.9)} {
		if mayStart(table, now) {
			t.Errorf("at %v: request allowed during the pause", now.Sub(start))
		}
	}
	if n := len(startAll(table, at(6))); n != slowStartInitial {
		t.Errorf("after the pause: got %d requests in flight, want %d", n, slowStartInitial)
	}
}

// Guards against an endless slow start without requests, and one that ends while a request is
// in flight.
func TestSlowStartExpires(t *testing.T) {
	table := New()
	table.Pause(at(0), "t", time.Second)
	ticket, _ := table.TryStart(at(1), "t")
	table.Expire(at(1).Add(slowStartTimeout))
	if table.Len() != 1 {
		t.Error("expired with a request in flight")
	}
	table.Done("t", ticket, false)
	table.Expire(at(1).Add(slowStartTimeout))
	if table.Len() != 0 {
		t.Error("not expired")
	}
	table.Done("t", ticket, true) // late response
	table.Pause(at(9), "t", time.Second)
	table.Done("t", ticket, true) // later than that
	if n := len(startAll(table, at(10))); n != slowStartInitial {
		t.Errorf("a response to a request of an earlier entry: got %d requests in flight, want %d", n, slowStartInitial)
	}
}

func TestTableIsBounded(t *testing.T) {
	table := New()
	for i := range 2 * maxPauses {
		table.Pause(at(float64(i)/1000), fmt.Sprint("t", i), time.Minute)
	}
	if table.Len() > maxPauses {
		t.Errorf("got %d pauses, want a bounded table", table.Len())
	}
	if _, blocked := table.Blocked(at(8), fmt.Sprint("t", 2*maxPauses-1)); !blocked {
		t.Error("latest pause was evicted")
	}
}
