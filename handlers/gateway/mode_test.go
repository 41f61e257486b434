// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"madderway/modules/clock"
	"madderway/platform"
)

// Guards against a request that is served after a stall in a stop, when the process may be killed at
// any moment, because the stop has not gone on yet.
func TestRequestAfterStallInStopIsRefused(t *testing.T) {
	fake := clock.NewFake()
	h := New(Options{Clock: fake, Dialect: platform.Dialect{}})
	h.StartClosing(fake.Now().Add(3 * time.Second))
	if got := h.modeAt(fake.Now()); got != ServeClosing {
		t.Errorf("got mode %v before the stall, want %v", got, ServeClosing)
	}
	fake.Advance(5 * time.Second)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/x", nil))
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Connection") != "close" {
		t.Errorf("got status %d, Connection %q after the stall, want 503 and close", w.Code, w.Header().Get("Connection"))
	}
}
