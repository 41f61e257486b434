// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"slices"

	"madderway/models/routing"
)

// historyEntry records that a worker was listed, changed or removed.
type historyEntry struct {
	revision routing.Revision
	name     string
}

// history holds changes of targets by revision, so that the latest ones are found without a look
// at all targets. It may also hold older changes of the same workers, which its user skips.
type history struct{ entries []historyEntry }

// minHistory is the length below which older changes are not worth dropping.
const minHistory = 64

// add adds a change unless it is there. Changes mostly come in order.
func (h *history) add(revision routing.Revision, name string) {
	at := len(h.entries)
	if at > 0 && h.entries[at-1].revision >= revision {
		at = h.after(revision)
		for i := at; i > 0 && h.entries[i-1].revision == revision; i-- {
			if h.entries[i-1].name == name {
				return
			}
		}
	}
	h.entries = slices.Insert(h.entries, at, historyEntry{revision, name})
}

// after returns the index of the first entry with a later revision.
func (h *history) after(revision routing.Revision) int {
	at, _ := slices.BinarySearchFunc(h.entries, revision, func(e historyEntry, r routing.Revision) int {
		if e.revision <= r {
			return -1
		}
		return 1
	})
	return at
}

// since returns the entries with a later revision.
func (h *history) since(revision routing.Revision) []historyEntry {
	return h.entries[h.after(revision):]
}

// takeOldest removes and returns the oldest entry; there must be one.
func (h *history) takeOldest() historyEntry {
	oldest := h.entries[0]
	h.entries = h.entries[1:]
	return oldest
}

// tidy drops entries that are not current once they outnumber the current ones.
func (h *history) tidy(current int, isCurrent func(historyEntry) bool) {
	if len(h.entries) >= max(2*current, minHistory) {
		h.entries = slices.DeleteFunc(h.entries, func(e historyEntry) bool { return !isCurrent(e) })
	}
}
