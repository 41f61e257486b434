// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package saturate converts floating-point numbers to integers and durations. Go leaves the result
// to the processor where a number does not fit: an infinite duration becomes the longest one on
// arm64 and the most negative one on x86-64. Here a number beyond the range becomes the nearest one
// in it, and NaN becomes 0.
package saturate

import (
	"math"
	"time"
)

// Duration returns a duration of nanoseconds, rounded towards 0.
func Duration(nanoseconds float64) time.Duration { return time.Duration(Int64(nanoseconds)) }

// Seconds returns a duration of seconds, rounded towards 0.
func Seconds(s float64) time.Duration { return Duration(s * float64(time.Second)) }

// Int64 returns f rounded towards 0.
func Int64(f float64) int64 {
	const limit = 1 << 63 // exact in float64, unlike math.MaxInt64
	switch {
	case f >= limit:
		return math.MaxInt64
	case f < -limit:
		return math.MinInt64
	case f != f:
		return 0
	}
	return int64(f)
}

// Int returns f rounded towards 0.
func Int(f float64) int { return int(Int64(f)) }

// Uint32 returns f rounded towards 0.
func Uint32(f float64) uint32 { return uint32(min(max(Int64(f), 0), math.MaxUint32)) }
