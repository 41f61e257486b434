// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package retryafter parses the Retry-After header of RFC 9110, a number of seconds or a date.
// It also accepts fractions of a second.
package retryafter

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"madderway/modules/saturate"
)

// Header is the canonical name of the header field.
const Header = "Retry-After"

// Result is the parsed Retry-After of a response.
type Result struct {
	Delay   time.Duration // 0 for none
	Invalid int           // number of malformed values
}

// Read parses the Retry-After fields of a 503 or 429 response; other statuses have none. Of
// several fields the longest delay wins.
func Read(status int, h http.Header) Result {
	var r Result
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return r
	}
	for _, value := range h.Values(Header) {
		d, ok := parseDelay(strings.TrimSpace(value), h)
		if !ok {
			r.Invalid++
			continue
		}
		r.Delay = max(r.Delay, d)
	}
	return r
}

// parseDelay parses one value; it reports false unless that is a non-negative number of seconds
// or a date. A date is relative to the response's Date header if there is one, which cancels
// the clock skew between sender and receiver.
func parseDelay(value string, h http.Header) (time.Duration, bool) {
	if s, err := strconv.ParseFloat(value, 64); err == nil {
		if math.IsNaN(s) || s < 0 {
			return 0, false
		}
		const maxSeconds = 1e9 // larger values, such as infinity, overflow a Duration
		return saturate.Seconds(min(s, maxSeconds)), true
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
