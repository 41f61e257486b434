// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package budget

import (
	"math/rand/v2"
	"testing"
	"time"
)

// In every span of the window's length the repeats stay within the ratio of the
// first sends of that span and the one before it, and the extra.
func TestWindowHoldsInEverySpan(t *testing.T) {
	const (
		length = 10 * time.Second
		ratio  = 0.2
		extra  = 5.0
	)
	start := time.Unix(1_700_000_000, 0)
	rng := rand.New(rand.NewPCG(3, 4))
	w := NewWindow(length, ratio)
	var firsts, repeats []time.Duration
	for at := time.Duration(0); at < 2*time.Minute; at += time.Duration(rng.IntN(60)) * time.Millisecond {
		busy := at/(15*time.Second)%2 == 0
		if busy || rng.IntN(20) == 0 {
			w.First(start.Add(at))
			firsts = append(firsts, at)
		}
		if w.Retry(start.Add(at), extra) {
			repeats = append(repeats, at)
		}
	}
	if len(repeats) < 100 {
		t.Fatalf("only %d repeats were allowed", len(repeats))
	}
	within := func(list []time.Duration, from, to time.Duration) int {
		n := 0
		for _, at := range list {
			if at >= from && at < to {
				n++
			}
		}
		return n
	}
	for _, from := range repeats {
		n := within(repeats, from, from+length)
		allowed := ratio*float64(within(firsts, from-length, from+length)) + extra
		if float64(n) > allowed {
			t.Fatalf("%d repeats in the span from %v, allowed %.1f", n, from, allowed)
		}
	}
}

func TestWindowForgets(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	w := NewWindow(10*time.Second, 0)
	for range 3 {
		if !w.Retry(start, 3) {
			t.Fatal("a repeat within the extra was refused")
		}
	}
	if w.Retry(start.Add(9*time.Second), 3) {
		t.Error("a fourth repeat within the window was allowed")
	}
	if !w.Retry(start.Add(time.Hour), 3) {
		t.Error("a repeat an hour later was refused")
	}
}
