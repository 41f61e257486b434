// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package fleet

import (
	"net/http"
	"testing"
	"time"

	"madderway/models/result"
)

// A request that crashes every target that starts it must be refused by all routers after three
// crashes, while other requests are served.
func TestPoisonRequestIsRefused(t *testing.T) {
	bad := chatBody(5, true)
	bad["messages"] = []map[string]string{{"role": "user", "content": PoisonMarker}}
	for _, c := range []struct {
		name, path string
		body       any
	}{
		{"a stream", "/v1/chat/completions", bad},
		{"a plain call", "/services/samples/look", PoisonMarker},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			sendPoison(t, c.path, c.body)
		})
	}
}

func sendPoison(t *testing.T, path string, body any) {
	const maxCrashes, inFlight, rounds = 3, 3, 8
	f := newSmallFleet(t, 3, time.Millisecond)
	refusals := 0
	for range rounds {
		for _, n := range f.Nodes() {
			resp, answer := send(t, n, "POST", path, "alder", "", body)
			refusals++
			if resp.StatusCode != http.StatusServiceUnavailable || errorOf(t, answer).Code != result.EndsTargets {
				refusals = 0
			}
			if err := f.RestartCrashed(); err != nil {
				t.Fatal(err)
			}
			waitFor(t, "another request is served", func() bool {
				resp, _ := send(t, n, "POST", "/v1/chat/completions", "birch", "", chatBody(5, false))
				return resp.StatusCode == http.StatusOK
			})
		}
	}
	if n := f.Crashes(); n < maxCrashes || n > maxCrashes+inFlight {
		t.Errorf("one request crashed %d targets, want %d and at most %d more", n, maxCrashes, inFlight)
	}
	if refusals < 3 {
		t.Errorf("only the last %d attempts were refused, want at least 3", refusals)
	}
}
