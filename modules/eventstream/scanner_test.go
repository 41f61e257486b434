// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package eventstream

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// Guards against an end inside an event that is taken for the end of a stream, for each line end.
func TestScannerFindsEndsOfEvents(t *testing.T) {
	for _, c := range []struct {
		name, bytes string
		end, events int
		last        string
		inEvent     bool
	}{
		{"nothing", "", 0, 0, "", false},
		{"field name", "da", 0, 0, "", true},
		{"line without its end", "id: 1\ndata: a", 0, 0, "", true},
		{"event without its empty line", "id: 1\ndata: a\n", 0, 0, "", true},
		{"event", "id: 1\ndata: a\n\n", 15, 1, "1", false},
		{"event and a half", "id: 1\ndata: a\n\nid: 2\nda", 15, 1, "1", true},
		{"CR LF", "id: 1\r\ndata: a\r\n\r\n", 18, 1, "1", false},
		{"CR LF without the last byte", "id: 1\r\ndata: a\r\n\r", 0, 0, "", true},
		{"CR", "id: 1\rdata: a\r\r", 15, 1, "1", false},
		{"CR without the last byte", "id: 1\rdata: a\r", 0, 0, "", true},
		{"mixed", "id: 1\rdata: a\n\r\n", 16, 1, "1", false},
		{"comment", ": only a comment\n", 17, 0, "", false},
		{"comment without its end", ": only a com", 0, 0, "", true},
		{"comment inside an event", "id: 1\n: comment\n", 0, 0, "", true},
		{"event without data", "id: 7\n\n", 7, 1, "7", false},
		{"line without a colon", "data\n\n", 6, 1, "", false},
		{"empty lines", "\n\r\n\n", 4, 0, "", false},
		{"empty ID", "id: 4\ndata: a\n\nid\ndata: b\n\n", 27, 2, "", false},
		{"bytes after the last empty line", "data: a\n\n\n ", 10, 1, "", true},
	} {
		var s Scanner
		end := s.Scan([]byte(c.bytes))
		last, _ := s.LastID()
		if end != c.end || s.Events() != c.events || last != c.last || s.InEvent() != c.inEvent {
			t.Errorf("%s: got end %d, %d events, last ID %q, inside an event: %v", c.name, end, s.Events(), last, s.InEvent())
		}
	}
}

// Guards against events of 1 KiB and more being lost, and against an ID that is taken from a part
// of a line.
func TestScannerBoundsHeldLine(t *testing.T) {
	long := make([]byte, 4*maxHeldLine)
	for i := range long {
		long[i] = 'x'
	}
	var s Scanner
	s.Scan(append([]byte("id: 1\ndata: a\n\nid: "), long...))
	s.Scan(append([]byte("\ndata: "), long...))
	s.Scan([]byte("\n\n"))
	if last, _ := s.LastID(); s.Events() != 2 || last != "1" || s.InEvent() || cap(s.line) > 2*maxHeldLine {
		t.Errorf("got %d events, last ID %q, %d bytes held", s.Events(), last, cap(s.line))
	}
}

// scanPieces scans text in random pieces and returns a description of all that the scanner tells.
func scanPieces(text []byte, rng *rand.Rand) string {
	var events []Event
	s := Scanner{OnEvent: func(e Event) { events = append(events, e) }}
	boundary := 0
	for at := 0; at < len(text); {
		n := len(text) - at
		if rng != nil {
			n = 1 + rng.IntN(min(n, 5))
		}
		if end := s.Scan(text[at : at+n]); end > 0 {
			boundary = at + end
		}
		at += n
	}
	last, ok := s.LastID()
	return fmt.Sprint(events, boundary, s.Events(), last, ok, s.InEvent())
}

// Guards against events that depend on how the bytes of a stream are split into reads.
func FuzzScanner(f *testing.F) {
	for _, text := range []string{
		"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\r\ndata: a\r\n\r\nid: 2\r\n", "id: 1\rdata: a\r\r", ": c\n\ndata\n\n",
		"weight-versions: 3\nid: 9\ndata: a\ndata: b\n\n", "\r\n\r", "data: x\r\n\r\ndata: y\r\rdata: z\n\n", "\xef\xbb\xbfdata: a\n\n",
	} {
		f.Add([]byte(text), uint64(1))
	}
	f.Fuzz(func(t *testing.T, text []byte, seed uint64) {
		whole, pieces := scanPieces(text, nil), scanPieces(text, rand.New(rand.NewPCG(seed, 1)))
		if whole != pieces {
			t.Errorf("%q: got %s in pieces, %s at once", text, pieces, whole)
		}
	})
}

// Measures the time for a stream of 57 events that come one by one.
func BenchmarkScanner(b *testing.B) {
	event := []byte("id: 17\ndata: {\"choices\":[{\"delta\":{\"content\":\" some more words\"}}]}\n\n")
	b.ReportAllocs()
	for range b.N {
		var s Scanner
		for range 57 {
			s.Scan(event)
		}
	}
}
