// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package peerwire holds the parts that all loops with peers share: an outbox that collects messages
// to the same peer, the exchange of quarantine records, and the encoding of members and heartbeats.
package peerwire

import (
	"time"

	"madderway/modules/wire"
)

type pendingFrame struct {
	frame *wire.Frame
	due   time.Time
}

// Outbox collects the messages to each peer in one frame. It is not safe for concurrent use.
type Outbox struct {
	delay   time.Duration
	pending map[string]*pendingFrame
}

// NewOutbox returns an empty outbox that delays lazy messages.
func NewOutbox(delay time.Duration) *Outbox {
	return &Outbox{delay: delay, pending: map[string]*pendingFrame{}}
}

// Frame returns the pending frame to a peer, to add a message to. A lazy message may be delayed so
// that others share its frame; any other makes the frame due at once.
func (o *Outbox) Frame(now time.Time, to string, lazy bool) *wire.Frame {
	due := now
	if lazy {
		due = now.Add(o.delay)
	}
	p := o.pending[to]
	if p == nil {
		p = &pendingFrame{frame: &wire.Frame{}, due: due}
		o.pending[to] = p
	}
	if due.Before(p.due) {
		p.due = due
	}
	return p.frame
}

// Pending reports whether any frame waits.
func (o *Outbox) Pending() bool { return len(o.pending) > 0 }

// Flush sends the frames that are due.
func (o *Outbox) Flush(now time.Time, send func(to string, f *wire.Frame)) {
	for to, p := range o.pending {
		if p.due.After(now) {
			continue
		}
		delete(o.pending, to)
		send(to, p.frame)
	}
}
