// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package log

import (
	"sync"
	"time"
)

// RateLimiter limits log lines of one kind that a peer can trigger, such as those about
// malformed messages, so that they cannot use up the budget of the whole log.
type RateLimiter struct {
	interval time.Duration
	burst    int

	mu          sync.Mutex
	windowStart time.Time
	written     int
	suppressed  int
}

// NewRateLimiter returns a limiter that allows burst lines per interval.
func NewRateLimiter(interval time.Duration, burst int) *RateLimiter {
	return &RateLimiter{interval: interval, burst: burst}
}

// Allow reports whether a line may be written now, and how many were suppressed since
// the last allowed one.
func (l *RateLimiter) Allow(now time.Time) (allowed bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= l.interval {
		l.windowStart, l.written = now, 0
	}
	if l.written >= l.burst {
		l.suppressed++
		return false, 0
	}
	l.written++
	suppressed, l.suppressed = l.suppressed, 0
	return true, suppressed
}
