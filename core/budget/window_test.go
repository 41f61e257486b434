// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package budget

import (
	"math/rand/v2"
	"testing"
	"time"
)

// In every span of the window's length, retries must stay within extra plus the ratio of the
// first attempts in that span and the one before it.
func TestWindowHoldsInEverySpan(t *testing.T) {
	const (
		length = 10 * time.Second
		ratio  = 0.2
		extra  = 5.0
	)
	start := time.Unix(1_700_000_000, 0)
	rng := rand.New(rand.NewPCG(3, 4))
	w := NewWindow(length, ratio)
	var attempts, retries []time.Duration
	for at := time.Duration(0); at < 2*time.Minute; at += time.Duration(rng.IntN(60)) * time.Millisecond {
		busy := at/(15*time.Second)%2 == 0
		if busy || rng.IntN(20) == 0 {
			w.Attempt(start.Add(at))
			attempts = append(attempts, at)
		}
		if w.Retry(start.Add(at), extra) {
			retries = append(retries, at)
		}
	}
	if len(retries) < 100 {
		t.Fatalf("only %d retries were allowed", len(retries))
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
	for _, from := range retries {
		n := within(retries, from, from+length)
		allowed := ratio*float64(within(attempts, from-length, from+length)) + extra
		if float64(n) > allowed {
			t.Fatalf("%d retries in the span from %v, allowed %.1f", n, from, allowed)
		}
	}
}

func TestWindowExpiresOldRetries(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	w := NewWindow(10*time.Second, 0)
	for range 3 {
		if !w.Retry(start, 3) {
			t.Fatal("retry within extra was refused")
		}
	}
	if w.Retry(start.Add(9*time.Second), 3) {
		t.Error("fourth retry within the window was allowed")
	}
	if !w.Retry(start.Add(time.Hour), 3) {
		t.Error("retry an hour later was refused")
	}
}
