// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package throttle

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// play sends requests at a rate for ten seconds; at most capacity a second are accepted.
func play(perSecond, capacity float64) (asked, admitted, accepted int) {
	t, rng := New(), rand.New(rand.NewPCG(7, 8))
	free, now := capacity, start
	for now.Sub(start) < 10*time.Second {
		gap := time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		now = now.Add(gap)
		free = min(free+capacity*gap.Seconds(), capacity)
		asked++
		if !t.Admit(now, "a", rng.Float64()) {
			continue
		}
		admitted++
		if free >= 1 {
			free--
			accepted++
			t.Accepted(now, "a")
		}
	}
	return asked, admitted, accepted
}

func TestFloodIsLimitedToMultipleOfAccepted(t *testing.T) {
	asked, admitted, accepted := play(2000, 50)
	if float64(accepted) < 0.85*50*10 {
		t.Errorf("accepted %d requests, capacity 500", accepted)
	}
	if admitted > asked/8 {
		t.Errorf("%d of %d requests admitted, want at most an eighth", admitted, asked)
	}
}

func TestServedAccountIsNotThrottled(t *testing.T) {
	for _, rate := range []float64{1, 20, 500} {
		if asked, admitted, _ := play(rate, 10_000); admitted != asked {
			t.Errorf("at %v requests/s: admitted %d of %d, with capacity for all", rate, admitted, asked)
		}
	}
}

func TestSmallAccountIsRarelyThrottled(t *testing.T) {
	asked, admitted, _ := play(10, 2)
	if admitted < asked*7/10 {
		t.Errorf("%d of %d requests of a small account admitted, want at least 70%%", admitted, asked)
	}
}

func TestAccountsAreIndependentAndExpire(t *testing.T) {
	th := New()
	for range 1000 {
		th.Admit(start, "flood", 1)
	}
	if !th.Admit(start, "other", 0) {
		t.Error("account throttled for the flood of another")
	}
	for i := range 100 {
		th.Admit(start, fmt.Sprint("a", i), 1)
	}
	th.Admit(start.Add(time.Minute), "last", 1)
	if len(th.accounts) != 1 {
		t.Errorf("%d accounts remain after an idle minute, want 1", len(th.accounts))
	}
	if !th.Admit(start.Add(time.Minute), "flood", 0) {
		t.Error("account throttled for a flood of a minute ago")
	}
}

// Guards against throttling an account for requests that were refused for another reason.
func TestDisregardedRequestsDoNotThrottle(t *testing.T) {
	th := New()
	now := time.Unix(1_700_000_000, 0)
	for range 1000 {
		th.Admit(now, "a", 1)
		th.Disregard(now, "a")
	}
	if !th.Admit(now, "a", 0) {
		t.Error("account throttled for disregarded requests")
	}
}
