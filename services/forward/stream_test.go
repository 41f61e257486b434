// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import "testing"

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
	} {
		j := &job{lastEvent: "0"}
		whole, rest := j.wholeEvents([]byte(c.bytes))
		if string(whole) != c.whole || string(rest) != c.rest || j.lastEvent != c.last {
			t.Errorf("%q: got whole %q, rest %q, last event %s", c.bytes, whole, rest, j.lastEvent)
		}
	}
}
