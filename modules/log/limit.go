// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package log

import (
	"sync"
	"time"
)

// RateLimiter bounds lines of one kind that others decide the number of, such as what a peer sends
// and cannot be read: they would take the whole log's budget. Counters hold all.
type RateLimiter struct {
	interval time.Duration
	atOnce   int

	mu          sync.Mutex
	windowStart time.Time
	written     int
	hidden      int
}

// NewRateLimiter returns a limit of so many lines in a time.
func NewRateLimiter(every time.Duration, atOnce int) *RateLimiter {
	return &RateLimiter{interval: every, atOnce: atOnce}
}

// Allow reports whether a line is written, and how many were not since the last one.
func (l *RateLimiter) Allow(now time.Time) (allowed bool, hidden int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= l.interval {
		l.windowStart, l.written = now, 0
	}
	if l.written >= l.atOnce {
		l.hidden++
		return false, 0
	}
	l.written++
	hidden, l.hidden = l.hidden, 0
	return true, hidden
}
