// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package engine

import (
	"errors"
	"strings"
	"testing"
)

func readAll(text string, last int) (ids []int, err error) {
	r := NewEventReader(strings.NewReader(text), last, nil)
	for {
		ev, err := r.Next()
		if err != nil {
			return ids, err
		}
		ids = append(ids, ev.ID)
		if ev.Done() {
			return ids, nil
		}
	}
}

func TestEventReaderOrder(t *testing.T) {
	for _, c := range []struct {
		name, text string
		last, want int
		broken     bool
	}{
		{"in order", "id: 1\ndata: a\n\nid: 2\ndata: [DONE]\n\n", 0, 2, false},
		{"without IDs", "data: a\n\ndata: [DONE]\n\n", 0, 2, false},
		{"delivered before", "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: [DONE]\n\n", 2, 1, false},
		{"repeated", "id: 1\ndata: a\n\nid: 1\ndata: a\n\nid: 2\ndata: [DONE]\n\n", 0, 2, false},
		{"a gap", "id: 1\ndata: a\n\nid: 3\ndata: [DONE]\n\n", 0, 1, true},
		{"out of order", "id: 2\ndata: b\n\nid: 1\ndata: a\n\n", 0, 0, true},
		{"cut", "id: 1\ndata: a\n\nid: 2\nda", 0, 1, true},
		{"not events", "<html>", 0, 0, true},
		{"cut between events", "id: 1\ndata: a\n\n", 0, 1, true},
		{"last event without its empty line", "id: 1\ndata: [DONE]\n", 0, 0, true},
		{"CR LF", "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: [DONE]\r\n\r\n", 0, 2, false},
		{"CR", "id: 1\rdata: a\r\rid: 2\rdata: [DONE]\r\r", 0, 2, false},
		{"comments and a field without a value", ": c\nretry\nid: 1\ndata: [DONE]\n\n", 0, 1, false},
		{"too large", "data: " + strings.Repeat("x", 2*MaxEvent) + "\n\n", 0, 0, true},
		{"a bad ID", "id: x\ndata: a\n\n", 0, 0, true},
	} {
		ids, err := readAll(c.text, c.last)
		if len(ids) != c.want || (err != nil) != c.broken || err != nil && !errors.Is(err, ErrBrokenStream) {
			t.Errorf("%s: got events %v, error %v", c.name, ids, err)
		}
	}
}

func TestEventFormatRoundTrip(t *testing.T) {
	ids, err := readAll(string(Event{1, "a"}.Format())+string(Event{2, DoneData}.Format()), 0)
	if err != nil || len(ids) != 2 {
		t.Fatalf("got events %v, error %v, want two events", ids, err)
	}
}
