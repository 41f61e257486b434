// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"sync"
	"time"
)

// maxDrops bounds the kept decreases of the number of members.
const maxDrops = 256

// memberHistory holds the decreases of the number of live members, so that a gateway that is cut
// off can be told from one of a fleet that has shrunk. It is safe for concurrent use.
type memberHistory struct {
	mu      sync.Mutex
	current int
	drops   []memberDrop // the oldest first
}

type memberDrop struct {
	at     time.Time
	before int // members before the decrease
}

func (h *memberHistory) set(now time.Time, members int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if members < h.current {
		h.drops = append(h.drops, memberDrop{now, h.current})
		h.drops = h.drops[max(len(h.drops)-maxDrops, 0):]
	}
	h.current = members
}

// mostSince returns the largest number of members at any time since t.
func (h *memberHistory) mostSince(t time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	most := h.current
	for _, d := range h.drops {
		if !d.at.Before(t) {
			most = max(most, d.before)
		}
	}
	return most
}

// MostMembersSince returns the largest number of live gateways, including this one, that were known
// at any time since t.
func (l *Loop) MostMembersSince(t time.Time) int { return l.memberHistory.mostSince(t) }
