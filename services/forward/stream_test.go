// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"net/http"
	"testing"

	"madderway/models/routing"
	"madderway/services/heldbytes"
)

// Guards against forwarding part of an event, which would be joined with an event of another
// target.
func TestResumableStreamForwardsWholeEvents(t *testing.T) {
	for _, c := range []struct{ bytes, whole, rest, last string }{
		{"", "", "", "0"},
		{"id: 1\ndata: a", "", "id: 1\ndata: a", "0"},
		{"id: 1\ndata: a\n", "", "id: 1\ndata: a\n", "0"},
		{"id: 1\ndata: a\n\n", "id: 1\ndata: a\n\n", "", "1"},
		{"id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\n", "id: 2\nda", "1"},
		{"id: 1\ndata: a\n\nid: 2\ndata: b\n\ni", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "i", "2"},
		{": only a comment\n\n", ": only a comment\n\n", "", "0"},
		{"id: 1\r\ndata: a\r\n\r\nid: 2\r\n", "id: 1\r\ndata: a\r\n\r\n", "id: 2\r\n", "1"},
	} {
		for split := range len(c.bytes) + 1 {
			body := newStreamBody(&routing.Route{Resumable: true}, http.Header{}, &heldbytes.Holder{})
			whole := string(body.take([]byte(c.bytes[:split])))
			whole += string(body.take([]byte(c.bytes[split:])))
			last := "0"
			if id, ok := body.events.LastID(); ok {
				last = id
			}
			if whole != c.whole || string(body.incomplete) != c.rest || last != c.last {
				t.Errorf("%q split at %d: got whole %q, rest %q, last event %s", c.bytes, split, whole, body.incomplete, last)
			}
		}
	}
}

// Guards against delaying bytes that no other target could continue, and against an answer that is
// not a stream of events being taken for a broken one.
func TestOtherStreamsAreForwardedAsTheyCome(t *testing.T) {
	for name, body := range map[string]*streamBody{
		"not resumable": newStreamBody(&routing.Route{}, http.Header{}, &heldbytes.Holder{}),
		"not events":    newStreamBody(&routing.Route{Resumable: true}, http.Header{"Content-Type": {"application/json; charset=utf-8"}}, &heldbytes.Holder{}),
	} {
		if out := body.take([]byte("id: 1\nda")); string(out) != "id: 1\nda" {
			t.Errorf("%s: got %q at once", name, out)
		}
	}
}
