// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package retryafter

import (
	"net/http"
	"testing"
	"time"
)

// Guards against malformed or huge values that would panic or make a caller wait for ever.
func TestReadValues(t *testing.T) {
	const date = "Tue, 03 Jun 2025 10:00:00 GMT"
	for _, c := range []struct {
		name   string
		status int
		values []string
		want   Result
	}{
		{"none", 503, nil, Result{}},
		{"whole seconds", 503, []string{"3"}, Result{Delay: 3 * time.Second}},
		{"fraction", 503, []string{"0.2"}, Result{Delay: 200 * time.Millisecond}},
		{"surrounding spaces", 503, []string{" 1.5 "}, Result{Delay: 1500 * time.Millisecond}},
		{"zero", 503, []string{"0"}, Result{}},
		{"too many requests", 429, []string{"2"}, Result{Delay: 2 * time.Second}},
		{"internal server error", 500, []string{"2"}, Result{}},
		{"success", 200, []string{"2"}, Result{}},
		{"date", 503, []string{"Tue, 03 Jun 2025 10:00:04 GMT"}, Result{Delay: 4 * time.Second}},
		{"date in the past", 503, []string{"Tue, 03 Jun 2025 09:00:00 GMT"}, Result{}},
		{"two fields", 503, []string{"1", "4"}, Result{Delay: 4 * time.Second}},
		{"two fields, one malformed", 503, []string{"soon", "4"}, Result{Delay: 4 * time.Second, Invalid: 1}},
		{"negative", 503, []string{"-1"}, Result{Invalid: 1}},
		{"not a number", 503, []string{"NaN"}, Result{Invalid: 1}},
		{"empty", 503, []string{""}, Result{Invalid: 1}},
		{"text", 503, []string{"later"}, Result{Invalid: 1}},
		{"list", 503, []string{"1, 2"}, Result{Invalid: 1}},
		{"too large for a duration", 503, []string{"1e18"}, Result{Delay: 1e9 * time.Second}},
		{"infinite", 503, []string{"+Inf"}, Result{Delay: 1e9 * time.Second}},
		{"too large for a float", 503, []string{"1e999"}, Result{Invalid: 1}},
	} {
		h := http.Header{"Retry-After": c.values, "Date": {date}}
		if got := Read(c.status, h); got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}

// Without a Date header, the date is relative to the local clock.
func TestReadDateWithoutDateHeader(t *testing.T) {
	h := http.Header{"Retry-After": {time.Now().Add(time.Minute).UTC().Format(http.TimeFormat)}}
	if got := Read(503, h).Delay; got < 30*time.Second || got > time.Minute {
		t.Errorf("got %v, want about a minute", got)
	}
}

// No input gives a negative delay, or a delay from an invalid value.
func FuzzRead(f *testing.F) {
	for _, seed := range []string{"3", "0.2", "-1", "NaN", "1e18", "+Inf", "", "soon", "Tue, 03 Jun 2025 10:00:04 GMT", "0x1p-2"} {
		f.Add(seed, "Tue, 03 Jun 2025 10:00:00 GMT")
	}
	f.Fuzz(func(t *testing.T, value, date string) {
		r := Read(http.StatusServiceUnavailable, http.Header{Header: {value}, "Date": {date}})
		if r.Delay < 0 || r.Invalid > 1 || r.Invalid == 1 && r.Delay != 0 {
			t.Errorf("Read(%q) with Date %q: got %+v", value, date, r)
		}
	})
}
