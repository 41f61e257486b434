// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package drain

import (
	"slices"
	"testing"
	"time"
)

// interval is the time between two steps in tests.
const interval = 20 * time.Millisecond

// runUntil steps a machine that was started at start until a time after it, with the same requests and
// connections all along, and returns the phase.
func runUntil(m *Machine, start time.Time, after time.Duration, inFlight, open int) Phase {
	phase := Serve
	for now := m.stepAt.Add(interval); !now.After(start.Add(after)); now = now.Add(interval) {
		phase = m.Step(now, inFlight, open)
	}
	return phase
}

func TestPhaseByTimeAndRequestsInFlight(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	plan := Plan{Started: start, Linger: 2200 * time.Millisecond, Grace: 8 * time.Second}
	for _, c := range []struct {
		name     string
		after    time.Duration
		inFlight int
		want     Phase
	}{
		{"the balancer has not noticed", time.Second, 0, Serve},
		{"no requests in flight", 2200 * time.Millisecond, 0, Close},
		{"requests in flight", 2300 * time.Millisecond, 3, Serve},
		{"too late for new ones", 2800 * time.Millisecond, 3, Refuse},
		{"requests in flight continue", 7500 * time.Millisecond, 1, Refuse},
		{"last request finished", 5 * time.Second, 0, Close},
		{"grace period nearly over", 7600 * time.Millisecond, 1, Exit},
	} {
		if got := runUntil(NewMachine(plan, start), start, c.after, c.inFlight, 1); got != c.want {
			t.Errorf("%s: got phase %d, want %d", c.name, got, c.want)
		}
	}
}

// Guards against an exit while a connection is open on which a request may have begun, and against
// serving again once connections are closed.
func TestExitAfterAllConnectionsAreClosed(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	m := NewMachine(Plan{Started: start, Linger: 2200 * time.Millisecond, Grace: 8 * time.Second}, start)
	for _, c := range []struct {
		after          time.Duration
		inFlight, open int
		want           Phase
	}{
		{2200 * time.Millisecond, 0, 5, Close},
		{2220 * time.Millisecond, 1, 2, Close}, // a request that is refused
		{2900 * time.Millisecond, 0, 1, Close}, // one of which only a part has come
		{2920 * time.Millisecond, 1, 1, Close},
		{2940 * time.Millisecond, 0, 0, Exit},
		{2960 * time.Millisecond, 1, 1, Exit},
	} {
		if got := m.Step(start.Add(c.after), c.inFlight, c.open); got != c.want {
			t.Errorf("after %v: got phase %d, want %d", c.after, got, c.want)
		}
	}
	m = NewMachine(Plan{Started: start, Linger: 2200 * time.Millisecond, Grace: 8 * time.Second}, start)
	if got := runUntil(m, start, 7600*time.Millisecond, 0, 3); got != Exit {
		t.Errorf("got phase %d when the grace period is nearly over, want exit", got)
	}
}

func TestExitWhenGraceIsShorterThanLinger(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	plan := Plan{Started: start, Linger: 2200 * time.Millisecond, Grace: time.Second}
	if got := runUntil(NewMachine(plan, start), start, 960*time.Millisecond, 5, 5); got != Exit {
		t.Errorf("got phase %d at the end of a grace period shorter than the linger, want exit", got)
	}
}

// Guards against a stall that uses up the grace and cuts the requests that were read when it ended.
func TestStallInStopCutsNoRequest(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	plan := Plan{Started: start, Linger: 2200 * time.Millisecond, Grace: 8 * time.Second}
	for _, before := range []time.Duration{20 * time.Millisecond, time.Second, 2200 * time.Millisecond, 3 * time.Second, 7 * time.Second} {
		for _, stall := range []time.Duration{500 * time.Millisecond, 6 * time.Second, time.Minute} {
			m := NewMachine(plan, start)
			runUntil(m, start, before, 4, 9)
			now := start.Add(before + stall)
			got := m.Step(now, 4, 9)
			if got == Exit || before+stall >= 2800*time.Millisecond && got != Refuse {
				t.Errorf("stall of %v after %v: got phase %v at its end", stall, before, got)
			}
			// The requests end, and the connections are closed.
			if got := m.Step(now.Add(interval), 0, 9); before+stall > 2200*time.Millisecond && got != Close {
				t.Errorf("stall of %v after %v: got phase %v without requests in flight, want close", stall, before, got)
			}
			if got := m.Step(now.Add(2*interval), 0, 0); before+stall > 2200*time.Millisecond && got != Exit {
				t.Errorf("stall of %v after %v: got phase %v without connections, want exit", stall, before, got)
			}
		}
	}
}

// Guards against new requests that are served when the kill is near, because the signal came during a
// stall.
func TestSignalDuringStallShortensTheStop(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := NewMachine(Plan{Started: now.Add(-5 * time.Second), Linger: 2200 * time.Millisecond, Grace: 8 * time.Second}, now)
	if got := m.Step(now, 3, 9); got != Refuse {
		t.Errorf("got phase %v with requests in flight, want refuse", got)
	}
	if got := m.Step(now.Add(interval), 0, 9); got != Close {
		t.Errorf("got phase %v without, want close", got)
	}
}

// Guards against work that is expected to go on until its process is killed.
func TestAnswersPrecedeExit(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	for _, grace := range []time.Duration{time.Second, 8 * time.Second, time.Minute} {
		plan := Plan{Started: start, Linger: 2200 * time.Millisecond, Grace: grace}
		m := NewMachine(plan, start)
		if got := runUntil(m, start, plan.AnswerBy().Sub(start), 1, 1); got == Exit {
			t.Errorf("grace %v: got phase %v when work must have ended", grace, got)
		}
		if !plan.ServeUntil().Before(plan.AnswerBy()) {
			t.Errorf("grace %v: no time to work after the last request is taken", grace)
		}
	}
}

// Guards against an exit that leaves no time to answer the requests in flight, however long a step took.
func TestRequestsInFlightAreAnsweredBeforeExit(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	plan := Plan{Started: start, Linger: 2200 * time.Millisecond, Grace: 2 * time.Second}
	for _, step := range []time.Duration{interval, 70 * time.Millisecond, maxStep, time.Minute} {
		m := NewMachine(plan, start)
		var phases []Phase
		for now := start; len(phases) == 0 || phases[len(phases)-1] != Exit; now = now.Add(step) {
			if p := m.Step(now, 2, 2); len(phases) == 0 || p != phases[len(phases)-1] {
				phases = append(phases, p)
			}
		}
		if want := []Phase{Serve, Refuse, Answer, Exit}; !slices.Equal(phases, want) {
			t.Errorf("steps of %v: got phases %v, want %v", step, phases, want)
		}
	}
	m := NewMachine(plan, start)
	runUntil(m, start, 1880*time.Millisecond, 2, 2)
	if got := m.Step(start.Add(1890*time.Millisecond), 0, 0); got != Exit {
		t.Errorf("got phase %v once all requests are answered, want exit", got)
	}
}
