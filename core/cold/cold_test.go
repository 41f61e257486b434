// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cold

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// sender is a gateway that sends a cold target all that it may.
type sender struct {
	Pacer
	rate, first float64
}

// run lets senders send for a while and returns when the target got something.
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

// maxPerSecond returns the most that any second saw.
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
			t.Errorf("rate %v: %d within a second", rate, n)
		}
		if float64(len(got)) < 10*rate-1 {
			t.Errorf("rate %v: only %d in ten seconds", rate, len(got))
		}
		// A pause saves no more than one request.
		if got = run([]*sender{s}, start.Add(time.Minute), time.Second); float64(len(got)) > rate+1 {
			t.Errorf("rate %v: %d in the second after a pause", rate, len(got))
		}
	}
	var p Pacer
	if p.Wait(start, start.Add(time.Second), 0, 1) != time.Second {
		t.Error("a rate of nothing lets a request go before the target is warm")
	}
	if p.Wait(start, start, 0, 0) != 0 {
		t.Error("a warm target is waited for")
	}
}

// Whoever schedules a cell while gateways disagree on who lives, a cold target gets no
// more than half as much again as it bears, and five.
func TestCombinedRateStaysNearLimit(t *testing.T) {
	const bears, fleet, cut = 6.1, 64, 22
	scheduler := func(rank, alive int) *sender {
		share := SchedulerShare(rank, alive, fleet)
		return &sender{rate: share * bears, first: share}
	}
	rng := rand.New(rand.NewPCG(3, 3))
	cases := map[string][]*sender{
		"one":                   {scheduler(0, fleet)},
		"three of one view":     {scheduler(0, fleet), scheduler(1, fleet), scheduler(2, fleet)},
		"before a cut is known": {scheduler(0, fleet), scheduler(0, fleet)},
		"each of a cut alone":   {scheduler(0, fleet-cut)},
	}
	for range cut {
		cases["each of a cut alone"] = append(cases["each of a cut alone"], scheduler(0, 1))
	}
	for range fleet {
		cases["last resorts"] = append(cases["last resorts"], scheduler(-1, fleet))
		cases["plain"] = append(cases["plain"], &sender{rate: IndependentShare(fleet) * bears, first: rng.Float64()})
	}
	for name, senders := range cases {
		got := run(senders, start, 3*time.Second)
		if n := maxPerSecond(got); float64(n) > bears*1.5+5 {
			t.Errorf("%s: %d within a second", name, n)
		}
		if name == "last resorts" && len(got) > 0 {
			t.Errorf("gateways that schedule as a last resort sent %d", len(got))
		}
		if name == "one" && float64(len(got)) < 3*bears*0.8 {
			t.Errorf("one scheduler sent %d in three seconds", len(got))
		}
	}
}
