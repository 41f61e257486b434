// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package drain

import (
	"testing"
	"time"
)

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
		if got := NewMachine(plan).Step(start.Add(c.after), c.inFlight, 1); got != c.want {
			t.Errorf("%s: got phase %d, want %d", c.name, got, c.want)
		}
	}
}

// Guards against an exit while a connection is open on which a request may have begun, and against
// serving again once connections are closed.
func TestExitAfterAllConnectionsAreClosed(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	m := NewMachine(Plan{Started: start, Linger: 2200 * time.Millisecond, Grace: 8 * time.Second})
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
	m = NewMachine(Plan{Started: start, Linger: 2200 * time.Millisecond, Grace: 8 * time.Second})
	if got := m.Step(start.Add(7600*time.Millisecond), 0, 3); got != Exit {
		t.Errorf("got phase %d when the grace period is nearly over, want exit", got)
	}
}

func TestExitWhenGraceIsShorterThanLinger(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	plan := Plan{Started: start, Linger: 2200 * time.Millisecond, Grace: time.Second}
	if got := NewMachine(plan).Step(start.Add(960*time.Millisecond), 5, 5); got != Exit {
		t.Errorf("got phase %d at the end of a grace period shorter than the linger, want exit", got)
	}
}
