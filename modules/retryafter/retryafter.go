// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package retryafter reads for how long the sender of an answer wants nothing more: RFC 9110's
// Retry-After, and fractions of seconds beside it.
package retryafter

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Header is the name of the field.
const Header = "Retry-After"

// Result is for how long a sender wants nothing.
type Result struct {
	Delay  time.Duration // For is 0 where it asks for none.
	Unread int           // Unread counts the values that could not be read.
}

// Read reads the field from the head of an answer that turns a request away: 503 or 429. Where
// it is named several times the longest holds.
func Read(status int, h http.Header) Result {
	var r Result
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return r
	}
	for _, value := range h.Values(Header) {
		d, ok := readWait(strings.TrimSpace(value), h)
		if !ok {
			r.Unread++
			continue
		}
		r.Delay = max(r.Delay, d)
	}
	return r
}

// readWait reads one value; it reports false where that is neither a number of seconds that is
// not negative nor a date. A date is compared with the sender's own, whose clock may differ
// from this machine's by seconds.
func readWait(value string, h http.Header) (time.Duration, bool) {
	if s, err := strconv.ParseFloat(value, 64); err == nil {
		if math.IsNaN(s) || s < 0 {
			return 0, false
		}
		// Larger ones, infinity included, do not fit a Duration.
		const most = 1e9
		return time.Duration(min(s, most) * float64(time.Second)), true
	}
	at, err := http.ParseTime(value)
	if err != nil {
		return 0, false
	}
	now, err := http.ParseTime(h.Get("Date"))
	if err != nil {
		now = time.Now()
	}
	return max(at.Sub(now), 0), true
}
