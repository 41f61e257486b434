// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"time"

	"madderway/modules/peernet"
	"madderway/modules/wire"
)

// flush runs pending decisions and sends the frames that are due.
func (l *Loop) flush(now time.Time) {
	l.decideCells(now)
	l.out.Flush(now, l.send)
}

func (l *Loop) send(to string, f *wire.Frame) {
	if link := l.link(to); link != nil {
		l.traffic.countFrame(sentToPeers, f)
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
	link = l.newLink(id, record.Address)
	l.links[id] = link
	return link
}
