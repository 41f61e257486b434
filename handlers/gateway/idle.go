// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import "sync"

// idleState tracks whether a connection is idle: its last request is answered, and no byte of the next
// one has been read. Whoever wants an idle connection closed only interrupts its reader. The reader
// decides, since it alone knows whether its last read returned a byte.
type idleState struct {
	mu          sync.Mutex
	begun       bool // a request has begun to be read, and is not answered
	reading     bool // a read waits for the first byte of a request
	interrupted bool // that read was interrupted to close the connection
	closing     bool // no byte is read any more
}

// readVerdict tells the reader of a connection what to do after a read.
type readVerdict int

const (
	readGoesOn  readVerdict = iota
	readResumes             // a byte came first: the deadline that was in force applies again
	readEnds                // the connection is idle, and must be closed
)

// answered notes that the last request has been answered.
func (s *idleState) answered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun = false
}

// hasBegun reports whether a request has begun to be read and is not answered.
func (s *idleState) hasBegun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begun
}

// begin notes that a request is being handled, which the HTTP server may have had in its buffer.
func (s *idleState) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun = true
}

// startRead notes a read. fresh tells that it may return the first byte of a request, which is not so
// for bytes that are held already or while a request is handled. It returns false if the connection is
// being closed.
func (s *idleState) startRead(fresh bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading = fresh
	return !s.closing
}

// endRead notes that a read returned n bytes. unread reports whether more wait to be read.
func (s *idleState) endRead(n int, unread func() bool) readVerdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	interrupted := s.interrupted
	s.reading, s.interrupted = false, false
	s.begun = s.begun || n > 0
	switch {
	case !interrupted:
		return readGoesOn
	case n > 0 || unread():
		return readResumes
	default:
		s.closing = true
		return readEnds
	}
}

// interrupt calls stopRead if the connection is idle, unless unread reports bytes that wait to be read,
// and reports whether it did. stopRead must make the read that waits return.
func (s *idleState) interrupt(unread func() bool, stopRead func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun || !s.reading || s.interrupted || unread() {
		return false
	}
	s.interrupted = true
	stopRead()
	return true
}
