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

// A stream that is cut after ten events has sent ten. Where more than ten were there at once,
// as on a machine that is short of time, the cut came before they had left the writer's buffer:
// the reader got none, each time that it resumed, and gave the stream up after three.
func TestCutComesAfterTheEvents(t *testing.T) {
	const cutAfter = 10
	e := NewEngine(EngineConfig{})
	e.SetFaults(Faults{CutAfter: cutAfter})
	s := &engineStream{done: true, grown: make(chan struct{})}
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
		t.Errorf("%d events, then %v", n, err)
	}
}
