// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package saturate

import (
	"math"
	"testing"
	"time"
)

// Guards against conversions whose result depends on the processor.
func TestConversionsAreTheSameEverywhere(t *testing.T) {
	for _, c := range []struct {
		in     float64
		int64  int64
		uint32 uint32
	}{
		{0, 0, 0},
		{math.Copysign(0, -1), 0, 0},
		{1.9, 1, 1},
		{-1.9, -1, 0},
		{math.NaN(), 0, 0},
		{math.Inf(1), math.MaxInt64, math.MaxUint32},
		{math.Inf(-1), math.MinInt64, 0},
		{1 << 63, math.MaxInt64, math.MaxUint32},
		{-(1 << 63), math.MinInt64, 0},
		{math.Nextafter(1<<63, 0), 1<<63 - 1024, math.MaxUint32},
		{1e308, math.MaxInt64, math.MaxUint32},
		{-1e308, math.MinInt64, 0},
		{1 << 32, 1 << 32, math.MaxUint32},
		{1<<32 - 1, 1<<32 - 1, math.MaxUint32},
		{math.SmallestNonzeroFloat64, 0, 0},
	} {
		if got := Int64(c.in); got != c.int64 {
			t.Errorf("Int64(%v) = %d, want %d", c.in, got, c.int64)
		}
		if got := Int(c.in); int64(got) != c.int64 {
			t.Errorf("Int(%v) = %d, want %d", c.in, got, c.int64)
		}
		if got := Duration(c.in); got != time.Duration(c.int64) {
			t.Errorf("Duration(%v) = %d, want %d", c.in, got, c.int64)
		}
		if got := Uint32(c.in); got != c.uint32 {
			t.Errorf("Uint32(%v) = %d, want %d", c.in, got, c.uint32)
		}
	}
	if got := Seconds(1.5); got != 1500*time.Millisecond {
		t.Errorf("Seconds(1.5) = %v, want 1.5s", got)
	}
	if got := Seconds(1e300); got != math.MaxInt64 {
		t.Errorf("Seconds(1e300) = %v, want the longest duration", got)
	}
}
