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

// play asks at a rate for ten seconds; at most capacity a second are accepted.
func play(perSecond, capacity float64) (asked, admitted, accepted int) {
	t, rng := New(), rand.New(rand.NewPCG(7, 8))
	room, now := capacity, start
	for now.Sub(start) < 10*time.Second {
		gap := time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		now = now.Add(gap)
		room = min(room+capacity*gap.Seconds(), capacity)
		asked++
		if !t.Admit(now, "a", rng.Float64()) {
			continue
		}
		admitted++
		if room >= 1 {
			room--
			accepted++
			t.Accepted(now, "a")
		}
	}
	return asked, admitted, accepted
}

func TestFloodIsLimitedToMultipleOfAccepted(t *testing.T) {
	asked, admitted, accepted := play(2000, 50)
	if float64(accepted) < 0.85*50*10 {
		t.Errorf("%d were accepted of a capacity of 500", accepted)
	}
	if admitted > asked/8 {
		t.Errorf("schedulers were asked for %d of %d requests", admitted, asked)
	}
}

func TestServedAccountIsNotThrottled(t *testing.T) {
	for _, rate := range []float64{1, 20, 500} {
		if asked, admitted, _ := play(rate, 10_000); admitted != asked {
			t.Errorf("at %v a second %d of %d were admitted with room for all", rate, admitted, asked)
		}
	}
}

func TestSmallAccountIsRarelyThrottled(t *testing.T) {
	asked, admitted, _ := play(10, 2)
	if admitted < asked*7/10 {
		t.Errorf("%d of %d requests of a small account were admitted", admitted, asked)
	}
}

func TestAccountsAreIndependentAndExpire(t *testing.T) {
	th := New()
	for range 1000 {
		th.Admit(start, "flood", 1)
	}
	if !th.Admit(start, "other", 0) {
		t.Error("an account pays for another's flood")
	}
	for i := range 100 {
		th.Admit(start, fmt.Sprint("a", i), 1)
	}
	th.Admit(start.Add(time.Minute), "last", 1)
	if len(th.accounts) != 1 {
		t.Errorf("%d accounts are remembered after a quiet minute", len(th.accounts))
	}
	if !th.Admit(start.Add(time.Minute), "flood", 0) {
		t.Error("a flood of a minute ago still counts")
	}
}

// An account's requests that are refused for what they did are no demand that was not met:
// its other requests are asked for as before.
func TestDisregardedRequestsDoNotThrottle(t *testing.T) {
	th := New()
	now := time.Unix(1_700_000_000, 0)
	for range 1000 {
		th.Admit(now, "a", 1)
		th.Disregard(now, "a")
	}
	if !th.Admit(now, "a", 0) {
		t.Error("an account is throttled for requests that were to be refused in any case")
	}
}
