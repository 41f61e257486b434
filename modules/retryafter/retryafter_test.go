// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package retryafter

import (
	"net/http"
	"testing"
	"time"
)

// Whatever a target writes as its time to rest, it is read, or counted as not understood;
// nothing of it ends in a panic or a wait without end.
func TestTimesToRest(t *testing.T) {
	const date = "Tue, 03 Jun 2025 10:00:00 GMT"
	for _, c := range []struct {
		name   string
		status int
		values []string
		want   Result
	}{
		{"none", 503, nil, Result{}},
		{"whole", 503, []string{"3"}, Result{Delay: 3 * time.Second}},
		{"fraction", 503, []string{"0.2"}, Result{Delay: 200 * time.Millisecond}},
		{"blanks", 503, []string{" 1.5 "}, Result{Delay: 1500 * time.Millisecond}},
		{"nothing", 503, []string{"0"}, Result{}},
		{"too many requests", 429, []string{"2"}, Result{Delay: 2 * time.Second}},
		{"a failure of its own", 500, []string{"2"}, Result{}},
		{"a success", 200, []string{"2"}, Result{}},
		{"date", 503, []string{"Tue, 03 Jun 2025 10:00:04 GMT"}, Result{Delay: 4 * time.Second}},
		{"date that is over", 503, []string{"Tue, 03 Jun 2025 09:00:00 GMT"}, Result{}},
		{"twice", 503, []string{"1", "4"}, Result{Delay: 4 * time.Second}},
		{"twice, one of them text", 503, []string{"soon", "4"}, Result{Delay: 4 * time.Second, Unread: 1}},
		{"negative", 503, []string{"-1"}, Result{Unread: 1}},
		{"not a number", 503, []string{"NaN"}, Result{Unread: 1}},
		{"empty", 503, []string{""}, Result{Unread: 1}},
		{"text", 503, []string{"later"}, Result{Unread: 1}},
		{"list", 503, []string{"1, 2"}, Result{Unread: 1}},
		{"far too much", 503, []string{"1e18"}, Result{Delay: 1e9 * time.Second}},
		{"without end", 503, []string{"+Inf"}, Result{Delay: 1e9 * time.Second}},
		{"more than a number holds", 503, []string{"1e999"}, Result{Unread: 1}},
	} {
		h := http.Header{"Retry-After": c.values, "Date": {date}}
		if got := Read(c.status, h); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

// A date without the sender's own is compared with this machine's clock.
func TestDateToRestWithoutTheSendersClock(t *testing.T) {
	h := http.Header{"Retry-After": {time.Now().Add(time.Minute).UTC().Format(http.TimeFormat)}}
	if got := Read(503, h).Delay; got < 30*time.Second || got > time.Minute {
		t.Errorf("%v, want about a minute", got)
	}
}

// Whatever the field holds, the time is between none and one that a timer bears.
func FuzzRead(f *testing.F) {
	for _, seed := range []string{"3", "0.2", "-1", "NaN", "1e18", "+Inf", "", "soon", "Tue, 03 Jun 2025 10:00:04 GMT", "0x1p-2"} {
		f.Add(seed, "Tue, 03 Jun 2025 10:00:00 GMT")
	}
	f.Fuzz(func(t *testing.T, value, date string) {
		r := Read(http.StatusServiceUnavailable, http.Header{Header: {value}, "Date": {date}})
		if r.Delay < 0 || r.Unread > 1 || r.Unread == 1 && r.Delay != 0 {
			t.Errorf("%q with the date %q: %+v", value, date, r)
		}
	})
}
