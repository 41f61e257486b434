// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import "sync"

// rest tracks whether a connection is at rest: its last request is answered, and no byte of the next
// one has been read. The reader and whoever closes connections at rest agree on that under a lock, so
// that no request is read and then cut off.
type rest struct {
	mu      sync.Mutex
	busy    bool // a request has begun to be read
	reading bool // a read waits for the first byte of a request
	ended   bool // the connection is being closed
}

// begin notes that a request has been answered.
func (r *rest) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy = false
}

// startRead notes a read, of bytes that are not held already if fresh is set. It returns false if the
// connection is being closed.
func (r *rest) startRead(fresh bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reading = fresh
	return !r.ended
}

// endRead notes that a read returned n bytes. It returns false if they must be dropped, since the
// connection is being closed.
func (r *rest) endRead(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reading = false
	r.busy = r.busy || n > 0
	return !r.ended
}

// end reports whether the connection is at rest, after which no read returns a byte. silent reports
// whether no byte waits to be read.
func (r *rest) end(silent func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy || !r.reading || !silent() {
		return false
	}
	r.ended = true
	return true
}
