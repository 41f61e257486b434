// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cold

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// sender is a gateway that sends a cold target as many requests as it may.
type sender struct {
	Pacer
	rate, first float64
}

// run simulates the senders and returns the times of their requests.
func run(senders []*sender, from time.Time, length time.Duration) []time.Time {
	var out []time.Time
	until := from.Add(length)
	for now := from; now.Before(until); now = now.Add(time.Millisecond) {
		for _, s := range senders {
			for s.Wait(now, until, s.rate, s.first) == 0 {
				s.Take(now, s.rate)
				out = append(out, now)
			}
		}
	}
	return out
}

// maxPerSecond returns the highest number of requests within any second.
func maxPerSecond(at []time.Time) int {
	most := 0
	for i := range at {
		n := 0
		for j := i; j < len(at) && at[j].Sub(at[i]) < time.Second; j++ {
			n++
		}
		most = max(most, n)
	}
	return most
}

func TestPacerBoundsEachSecond(t *testing.T) {
	for _, rate := range []float64{0.3, 1, 5.5, 40} {
		s := &sender{rate: rate, first: 1}
		got := run([]*sender{s}, start, 10*time.Second)
		if n := maxPerSecond(got); float64(n) > rate+1 {
			t.Errorf("rate %v: %d requests within a second, want at most the rate plus one", rate, n)
		}
		if float64(len(got)) < 10*rate-1 {
			t.Errorf("rate %v: only %d requests in ten seconds", rate, len(got))
		}
		// An idle period must save up one request at most.
		if got = run([]*sender{s}, start.Add(time.Minute), time.Second); float64(len(got)) > rate+1 {
			t.Errorf("rate %v: %d requests in the second after an idle period", rate, len(got))
		}
	}
	var p Pacer
	if p.Wait(start, start.Add(time.Second), 0, 1) != time.Second {
		t.Error("rate 0: request allowed before the target is warm")
	}
	if p.Wait(start, start, 0, 0) != 0 {
		t.Error("request to a warm target has to wait")
	}
}

// Guards against overloading a cold target while gateways disagree on who schedules its cell.
func TestCombinedRateStaysNearLimit(t *testing.T) {
	const limit, fleet, isolated = 6.1, 64, 22
	scheduler := func(rank, alive int) *sender {
		share := SchedulerShare(rank, alive, fleet)
		return &sender{rate: share * limit, first: share}
	}
	rng := rand.New(rand.NewPCG(3, 3))
	cases := map[string][]*sender{
		"one scheduler":                       {scheduler(0, fleet)},
		"three schedulers with the same view": {scheduler(0, fleet), scheduler(1, fleet), scheduler(2, fleet)},
		"before a partition is detected":      {scheduler(0, fleet), scheduler(0, fleet)},
		"isolated gateways":                   {scheduler(0, fleet-isolated)},
	}
	for range isolated {
		cases["isolated gateways"] = append(cases["isolated gateways"], scheduler(0, 1))
	}
	for range fleet {
		cases["without a reachable scheduler"] = append(cases["without a reachable scheduler"], scheduler(-1, fleet))
		cases["independent"] = append(cases["independent"], &sender{rate: IndependentShare(fleet) * limit, first: rng.Float64()})
	}
	for name, senders := range cases {
		got := run(senders, start, 3*time.Second)
		if n := maxPerSecond(got); float64(n) > limit*1.5+5 {
			t.Errorf("%s: %d requests within a second", name, n)
		}
		if name == "without a reachable scheduler" && len(got) > 0 {
			t.Errorf("gateways without a reachable scheduler sent %d requests, want 0", len(got))
		}
		if name == "one scheduler" && float64(len(got)) < 3*limit*0.8 {
			t.Errorf("one scheduler sent only %d requests in three seconds", len(got))
		}
	}
}
