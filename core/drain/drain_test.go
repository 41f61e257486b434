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
		{"no requests in flight", 2200 * time.Millisecond, 0, Exit},
		{"requests in flight", 2300 * time.Millisecond, 3, Serve},
		{"too late for new ones", 2800 * time.Millisecond, 3, Refuse},
		{"requests in flight continue", 7500 * time.Millisecond, 1, Refuse},
		{"last request finished", 5 * time.Second, 0, Exit},
		{"grace period nearly over", 7600 * time.Millisecond, 1, Exit},
	} {
		if got := plan.Phase(start.Add(c.after), c.inFlight); got != c.want {
			t.Errorf("%s: got phase %d, want %d", c.name, got, c.want)
		}
	}
}

func TestExitWhenGraceIsShorterThanLinger(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	plan := Plan{Started: start, Linger: 2200 * time.Millisecond, Grace: time.Second}
	if got := plan.Phase(start.Add(960*time.Millisecond), 5); got != Exit {
		t.Errorf("got phase %d at the end of a grace period shorter than the linger, want exit", got)
	}
}
