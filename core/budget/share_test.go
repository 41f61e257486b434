// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package budget

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against gateways that are cut off from each other and spend the whole fleet's extra retries.
func TestSharesOfPartitionedGatewaysStayWithinExtra(t *testing.T) {
	const extra, window = 56.0, 10 * time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	for _, size := range []int{1, 3, 9, 300, 1970} {
		for range 100 {
			sum := 0.0
			for range size {
				if rng.IntN(4) == 0 { // started anew, and cut off from all
					sum += ExtraShare(extra, 1, time.Duration(rng.Int64N(int64(window))), window)
					continue
				}
				// It has heard of all that were there before, whomever it hears now, and perhaps of more.
				sum += ExtraShare(extra, size+rng.IntN(size), time.Hour, window)
			}
			if sum > extra {
				t.Fatalf("%d gateways: %v extra retries, want %v at most", size, sum, extra)
			}
		}
	}
	if got := ExtraShare(extra, 1, window, window); got < extra/2 {
		t.Errorf("a gateway that has been alone for a window: got %v of %v", got, extra)
	}
}
