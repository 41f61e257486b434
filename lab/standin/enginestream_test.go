// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package standin

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// The events before a cut must be flushed, even if more were available at once; otherwise a reader
// makes no progress and gives up resuming.
func TestEventsBeforeCutAreFlushed(t *testing.T) {
	const cutAfter = 10
	e := NewEngine(EngineConfig{})
	e.SetFaults(Faults{CutAfter: cutAfter})
	s := &engineStream{done: true, changed: make(chan struct{})}
	for i := range 3 * cutAfter {
		s.events = append(s.events, fmt.Sprint("event ", i))
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.send(w, r, s, cutAfter) }))
	defer server.Close()
	resp, err := http.Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if n := strings.Count(string(body), "data: "); n != cutAfter || err == nil {
		t.Errorf("got %d events, then error %v; want 10 and an error", n, err)
	}
}
