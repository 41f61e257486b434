// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package peernet

import (
	"context"
	"sync"
	"sync/atomic"
)

// reconnectState holds the signals to a link that its peer has restarted or is alive again. They
// cut short the redial backoff, and the use of a connection to a machine that lost power,
// which looks sound for some seconds. Other goroutines set them while the link's own may be
// blocked in a dial.
type reconnectState struct {
	newConnection atomic.Bool // the peer has restarted; drop the open connection
	resetBackoff  atomic.Bool // the peer is reachable again; dial at once
	failing       atomic.Bool // the last dial failed

	mu     sync.Mutex
	cancel context.CancelFunc // cancels the current dial, nil if none
}

// beginDial returns the context of a dial, and a function to call at its end.
func (r *reconnectState) beginDial() (context.Context, func()) {
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

func (r *reconnectState) cancelDial() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel != nil {
		r.cancel()
	}
}

// Reconnect makes the next frame use a new connection, since the peer has restarted. It
// cancels a dial in progress and does not block.
func (l *Link) Reconnect() {
	l.reconnect.newConnection.Store(true)
	l.reconnect.resetBackoff.Store(true)
	l.reconnect.cancelDial()
}

// ResetBackoff makes the next frame dial at once if the last dial failed. Call it when
// the peer has been heard from. It does not block.
func (l *Link) ResetBackoff() {
	if l.reconnect.failing.Load() {
		l.reconnect.resetBackoff.Store(true)
	}
}
