// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package peernet

import (
	"context"
	"sync"
	"sync/atomic"
)

// A link waits longer and longer between attempts to reach a peer that does not
// answer, and an open connection to a machine without power looks sound for some
// seconds. What is heard from the peer itself ends both at once. The signals are
// set by other goroutines while the link's own one may hang in an attempt.

// reconnectState holds what the link has been told since its last attempt.
type reconnectState struct {
	newConnection atomic.Bool // session tells that the open connection is to a former life.
	resetBackoff  atomic.Bool // backoff tells that the peer can be reached again.
	failing       atomic.Bool // failing tells that the last attempt failed.

	mu     sync.Mutex
	cancel context.CancelFunc // cancel ends the attempt that is under way, nil where none is.
}

// beginAttempt returns the context of an attempt, and what to call at its end.
func (r *reconnectState) beginAttempt() (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	r.mu.Lock()
	r.cancel = cancel
	r.mu.Unlock()
	return ctx, func() {
		r.mu.Lock()
		r.cancel = nil
		r.mu.Unlock()
		cancel()
	}
}

func (r *reconnectState) stopAttempt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel != nil {
		r.cancel()
	}
}

// Reconnect tells that the peer has begun a new life: the next frame takes a new
// connection. It does not wait.
func (l *Link) Reconnect() {
	l.reconnect.newConnection.Store(true)
	l.reconnect.resetBackoff.Store(true)
	l.reconnect.stopAttempt()
}

// ResetBackoff tells that the peer has been heard from: where attempts to reach it
// failed, the next frame tries at once. It does not wait.
func (l *Link) ResetBackoff() {
	if l.reconnect.failing.Load() {
		l.reconnect.resetBackoff.Store(true)
	}
}
