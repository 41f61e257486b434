// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import "sync"

// idleState tracks whether a connection is idle: its last request is answered, and no byte of the next
// one has been read. The reader and whoever closes idle connections agree on that under a lock, so that
// no request is read and then cut off.
type idleState struct {
	mu      sync.Mutex
	begun   bool // a request has begun to be read, and is not answered
	reading bool // a read waits for the first byte of a request
	closing bool
}

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

// startRead notes a read from the connection, or only of bytes that are held already if fresh is not
// set. It returns false if the connection is being closed.
func (s *idleState) startRead(fresh bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading = fresh
	return !s.closing
}

// endRead notes that a read returned n bytes. It returns false if they must be dropped, since the
// connection is being closed.
func (s *idleState) endRead(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading = false
	s.begun = s.begun || n > 0
	return !s.closing
}

// startClose returns false unless the connection is idle. After that no read returns a byte. silent
// reports whether no byte waits to be read.
func (s *idleState) startClose(silent func() bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun || !s.reading || !silent() {
		return false
	}
	s.closing = true
	return true
}
