// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package control

import (
	"time"

	"madderway/modules/peernet"
	"madderway/modules/wire"
)

// flush sends the frames that are due; a late tick also sends those due before the next tick.
func (l *Loop) flush(now time.Time, late bool) {
	if late {
		now = now.Add(tickBusy)
	}
	l.out.Flush(now, l.send)
}

func (l *Loop) send(to string, f *wire.Frame) {
	if link := l.link(to); link != nil {
		link.Send(f)
	}
}

func (l *Loop) link(id string) *peernet.Link {
	record, known := l.members.Lookup(id)
	link := l.links[id]
	if link != nil {
		if known {
			link.SetAddress(record.Address)
		}
		return link
	}
	if !known || record.Address == "" {
		return nil
	}
	link = peernet.NewLink(l.t, peernet.LinkOptions{
		Auth: l.opts.Auth, Meter: l.opts.Meter, PeerID: id, Address: record.Address,
		DialTimeout: l.opts.DialTimeout, QueueSize: l.opts.LinkQueueSize,
	})
	if l.blocked[id] {
		link.Block(true)
	}
	l.links[id] = link
	return link
}

// Link returns the link to a member, or nil if the member is unknown.
func (l *Loop) Link(id string) *peernet.Link {
	var link *peernet.Link
	if !l.Do(func() { link = l.link(id) }) {
		return nil
	}
	return link
}

// Block blocks or unblocks the link to a member. Tests use it to partition routers.
func (l *Loop) Block(id string, blocked bool) {
	l.Do(func() {
		l.blocked[id] = blocked
		if link := l.links[id]; link != nil {
			link.Block(blocked)
		}
	})
}
