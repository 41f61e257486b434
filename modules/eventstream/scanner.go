// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package eventstream finds events in streams of server-sent events, whose lines end with LF, CR LF
// or CR. A Scanner takes the bytes of a stream in pieces of any size; a Reader returns its events.
package eventstream

import "bytes"

// maxHeldLine bounds the bytes of an unfinished line that a Scanner without OnEvent holds. A longer
// ID is not recorded.
const maxHeldLine = 1 << 10

var (
	idName   = []byte("id")
	dataName = []byte("data")
)

// Event is a complete event.
type Event struct {
	ID    string // empty if the event has none
	HasID bool
	Data  string
}

// Scanner splits a stream into events. The zero value is ready to use.
type Scanner struct {
	// OnEvent, if set, is called with each complete event that has data.
	OnEvent func(Event)

	line    []byte // held bytes of the unfinished line
	lineLen int    // its length
	comment bool   // it is a comment
	afterCR bool   // the last line ended with CR, so that an LF belongs to it
	crlf    bool   // a line has ended with CR LF, so that a CR alone does not end one

	pending bool // the unfinished event has a field
	id      []byte
	hasID   bool
	data    []byte
	hasData bool

	events    int
	lastID    []byte
	hasLastID bool
}

// Events returns the number of complete events.
func (s *Scanner) Events() int { return s.events }

// LastID returns the ID of the last complete event with an ID, if there is any.
func (s *Scanner) LastID() (id string, ok bool) { return string(s.lastID), s.hasLastID }

// InEvent reports whether the bytes so far end inside an event or a line.
func (s *Scanner) InEvent() bool { return s.pending || s.lineLen > 0 }

// HeldData returns the bytes of data of the unfinished event.
func (s *Scanner) HeldData() int { return len(s.data) + len(s.line) }

// Scan takes the next bytes of the stream. It returns the length of the longest prefix of b after
// which the stream is not inside an event, 0 if there is none.
func (s *Scanner) Scan(b []byte) (end int) {
	for at := 0; at < len(b); {
		if s.afterCR {
			s.afterCR = false
			if b[at] == '\n' {
				s.crlf = true
				at++
				if !s.InEvent() {
					end = at
				}
				continue
			}
		}
		n, found := s.lineEnd(b[at:])
		if !found {
			s.hold(b[at:])
			return end
		}
		s.endLine(b[at : at+n])
		s.afterCR = b[at+n] == '\r'
		at += n + 1
		if !s.InEvent() {
			end = at
		}
	}
	return end
}

// lineEnd returns the index of the byte that ends the line, or the length of b.
func (s *Scanner) lineEnd(b []byte) (n int, found bool) {
	lf := bytes.IndexByte(b, '\n')
	if s.crlf {
		if lf < 0 {
			return len(b), false
		}
		return lf, true
	}
	line := b
	if lf >= 0 {
		line = b[:lf]
	}
	if cr := bytes.IndexByte(line, '\r'); cr >= 0 {
		return cr, true
	}
	if lf < 0 {
		return len(b), false
	}
	return lf, true
}

// hold adds bytes to the unfinished line.
func (s *Scanner) hold(b []byte) {
	if s.lineLen == 0 && len(b) > 0 {
		s.comment = b[0] == ':'
	}
	s.lineLen += len(b)
	if s.OnEvent != nil || s.lineLen <= maxHeldLine {
		s.line = append(s.line, b...)
	}
}

// endLine ends the line of which rest are the last bytes.
func (s *Scanner) endLine(rest []byte) {
	line, length := rest, len(rest)
	if s.lineLen > 0 {
		s.hold(rest)
		line, length = s.line, s.lineLen
	} else {
		s.comment = length > 0 && rest[0] == ':'
	}
	whole := len(line) == length
	s.line, s.lineLen = s.line[:0], 0
	if s.crlf && whole {
		line = bytes.TrimSuffix(line, []byte("\r"))
		length = len(line)
	}
	switch {
	case length == 0:
		s.endEvent()
	case s.comment:
	default:
		s.pending = true
		if whole {
			s.field(line)
		}
	}
}

// field takes a field of the event. A line without a colon is a field without a value.
func (s *Scanner) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch {
	case bytes.Equal(name, idName):
		s.id, s.hasID = append(s.id[:0], value...), true
	case bytes.Equal(name, dataName) && s.OnEvent != nil:
		if s.hasData {
			s.data = append(s.data, '\n')
		}
		s.data, s.hasData = append(s.data, value...), true
	}
}

func (s *Scanner) endEvent() {
	if !s.pending {
		return
	}
	s.events++
	if s.hasID {
		s.lastID, s.hasLastID = append(s.lastID[:0], s.id...), true
	}
	if s.hasData {
		s.OnEvent(Event{ID: string(s.id), HasID: s.hasID, Data: string(s.data)})
	}
	s.id, s.data = s.id[:0], s.data[:0]
	s.hasID, s.hasData, s.pending = false, false, false
}
