// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package place

import (
	"github.com/cespare/xxhash/v2"

	"madderway/modules/saturate"
)

// Bucket assigns a name to one of n buckets by jump consistent hashing (Lamping and Veach, 2014):
// one bucket more takes its names from all others evenly and moves no other name.
func Bucket(name string, n int) int {
	const (
		multiplier = 2862933555777941757
		highBits   = 33
	)
	key, bucket, next := xxhash.Sum64String(name), int64(-1), int64(0)
	for next < int64(n) {
		bucket = next
		key = key*multiplier + 1
		next = saturate.Int64(float64(bucket+1) * (float64(1<<(64-highBits)) / float64(key>>highBits+1)))
	}
	return int(max(bucket, 0))
}
