// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package eventstream

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// endlessReader repeats a text.
type endlessReader struct {
	text string
	read int
}

// Read implements io.Reader.
func (r *endlessReader) Read(p []byte) (int, error) {
	n := copy(p, r.text[r.read%len(r.text):])
	r.read += n
	return n, nil
}

// Guards against many streams that each hold an event up to its limit: what a Reader holds is reserved.
func TestReaderReservesWhatItHolds(t *testing.T) {
	const (
		maxEvent = 1 << 20
		limit    = 64 << 10
	)
	for name, text := range map[string]string{
		"data line":  "data: " + strings.Repeat("x", 2*maxEvent),
		"data lines": "data: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\n",
		"ID":         "id: " + strings.Repeat("x", 2*maxEvent),
		"comment":    ":" + strings.Repeat("x", 2*maxEvent),
	} {
		t.Run(name, func(t *testing.T) {
			body, reserved := &endlessReader{text: text}, 0
			r := NewReader(body, maxEvent)
			r.Reserve = func(n int) bool {
				if reserved+n > limit {
					return false
				}
				reserved += n
				return true
			}
			if _, err := r.Next(); !errors.Is(err, ErrTooLarge) || body.read > limit+freeHeld {
				t.Errorf("%d bytes were read, error %v, want ErrTooLarge after %d at most", body.read, err, limit+freeHeld)
			}
		})
	}
	r := NewReader(strings.NewReader("id: 1\ndata: a\n\n"), maxEvent)
	r.Reserve = func(int) bool { return false }
	if e, err := r.Next(); err != nil || e.Data != "a" {
		t.Errorf("a short event without anything reserved: got %v, error %v", e, err)
	}
	if _, err := r.Next(); err != io.EOF {
		t.Errorf("got error %v, want the end", err)
	}
}
