// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package caller

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against refusals in a stop that do not tell their callers to come back.
func TestRefusalInDrainHasRetryAfter(t *testing.T) {
	h := New("router-1", 1, nil, nil, nil)
	if !h.Drain(t.Context()) {
		t.Fatal("requests in flight")
	}
	w := httptest.NewRecorder()
	h.Routes().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/models", nil))
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" || !strings.Contains(w.Body.String(), `"ran":"no"`) {
		t.Errorf("got status %d, Retry-After %q, %s", w.Code, w.Header().Get("Retry-After"), w.Body)
	}
}
