// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package peerwire holds what all loops that talk to peers share: the box in
// which messages wait for others to the same peer, and the records of members on
// the wire.
package peerwire

import (
	"time"

	"madderway/modules/wire"
)

type pendingFrame struct {
	frame *wire.Frame
	due   time.Time
}

// Outbox gathers the messages to each peer into one frame. It is not safe for
// concurrent use.
type Outbox struct {
	delay   time.Duration
	pending map[string]*pendingFrame
}

// NewOutbox returns an empty box whose lazy messages wait so long for others.
func NewOutbox(delay time.Duration) *Outbox {
	return &Outbox{delay: delay, pending: map[string]*pendingFrame{}}
}

// Frame returns the frame that will go to the peer. A lazy message may wait a
// little for others; one that is not takes all that waits with it.
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

// Pending tells whether anything waits.
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
