// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package worktime tells from the latest requests of a kind how likely the next one ends in time.
package worktime

import "time"

// size is the number of requests that are remembered.
const size = 32

// Recent holds the times of the latest requests of a kind. The zero value holds none.
type Recent struct {
	took  [size]time.Duration
	count int // of all requests so far
}

// Add adds the time of a request.
func (r *Recent) Add(took time.Duration) {
	r.took[r.count%size] = took
	r.count++
}

// Within returns how many of the latest requests took at most d, and their number.
func (r *Recent) Within(d time.Duration) (ended, all int) {
	all = min(r.count, size)
	for _, took := range r.took[:all] {
		if took <= d {
			ended++
		}
	}
	return ended, all
}
