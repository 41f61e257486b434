// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package watch

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against estimates that are early, or later than the delay of the best reading.
func TestStoreClockErrorBoundedByBestReading(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1_700_000_000, 0)
	var c StoreClock
	least := time.Hour
	for i := range 400 {
		sent := start.Add(time.Duration(i) * 50 * time.Millisecond)
		reading := StoreTime(7_000_000 + sent.Sub(start).Milliseconds())
		delay := 2*time.Millisecond + time.Duration(rng.ExpFloat64()*float64(300*time.Millisecond))
		now := sent.Add(delay)
		c.Observe(now, Direct(reading))
		least = min(least, delay)
		truth := StoreTime(7_000_000 + now.Sub(start).Milliseconds())
		if off := time.Duration(truth-c.FromLocal(now)) * time.Millisecond; off < 0 || off > least+time.Millisecond {
			t.Fatalf("after %d readings the clock is %v behind, but the best reading was delayed by %v", i+1, off, least)
		}
	}
}

// Guards against a better reading that does not shift earlier times, and against drift of a
// process whose clock is fast.
func TestStoreClockCorrectsAndExpiresReadings(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var c StoreClock
	if _, known := c.ToLocal(5); known || c.FromLocal(now) != 0 || c.Observe(now, Reading{}) != 0 {
		t.Error("got an estimate without a reading")
	}
	c.Observe(now, Direct(10_000)) // delayed by a second
	before, _ := c.ToLocal(9_000)
	shift := c.Observe(now.Add(time.Second), Direct(12_000))
	after, _ := c.ToLocal(9_000)
	if shift != time.Second || before.Sub(after) != time.Second {
		t.Errorf("a reading with a second less delay shifted the origin by %v and an earlier time by %v, want 1s", shift, before.Sub(after))
	}
	const fast = 100 * time.Microsecond // per second
	reading := StoreTime(12_000)
	for range 3600 {
		now, reading = now.Add(time.Second+fast), reading+1000
		c.Observe(now.Add(time.Second), Direct(reading))
	}
	if off := time.Duration(c.FromLocal(now.Add(time.Second))-reading) * time.Millisecond; off < 0 || off > 20*time.Millisecond {
		t.Errorf("after an hour with a fast local clock the estimate is off by %v", off)
	}
}

// Guards against one fast machine clock that shifts the relayed estimates of all gateways.
func TestFastClockDoesNotDriftFleet(t *testing.T) {
	const gateways, hours, fast = 5, 6, 200e-6
	var clocks [gateways]StoreClock
	start := time.Unix(1_700_000_000, 0)
	local := func(i int, at time.Duration) time.Time {
		if i == gateways-1 {
			at += time.Duration(fast * float64(at))
		}
		return start.Add(at)
	}
	rng := rand.New(rand.NewPCG(3, 4))
	for at := time.Second; at < hours*time.Hour; at += time.Second {
		store := StoreTime(at.Milliseconds())
		clocks[0].Observe(local(0, at), Direct(store)) // the only gateway that polls the store
		for range 2 * gateways {
			from, to := rng.IntN(gateways), rng.IntN(gateways)
			clocks[to].Observe(local(to, at), clocks[from].Reading(local(from, at)))
		}
		if at%time.Minute != 0 {
			continue
		}
		for i := range clocks {
			if off := time.Duration(clocks[i].FromLocal(local(i, at))-store) * time.Millisecond; off < -100*time.Millisecond || off > 100*time.Millisecond {
				t.Fatalf("after %v the estimate of gateway %d is off by %v", at, i, off)
			}
		}
	}
}
