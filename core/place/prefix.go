// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package place

import "time"

// CacheEvent is an engine's delayed notice that it has stored or evicted a prefix.
type CacheEvent struct {
	Seq    uint64
	Prefix string
	Stored bool
}

// PrefixMap estimates the contents of a target's prefix cache. A wrong entry costs
// time, never correctness.
type PrefixMap struct {
	held    map[string]time.Time
	nextSeq uint64
	maxAge  time.Duration
	maxSize int
	Gaps    int // gaps in the sequence numbers so far
}

// NewPrefixMap returns an empty map that ignores entries older than maxAge and holds
// at most maxSize of them.
func NewPrefixMap(maxAge time.Duration, maxSize int) *PrefixMap {
	return &PrefixMap{held: map[string]time.Time{}, maxAge: maxAge, maxSize: maxSize}
}

// Apply processes one event. A gap in the sequence numbers clears the map, which then
// fills again from later events. Duplicate events are ignored.
func (m *PrefixMap) Apply(now time.Time, e CacheEvent) {
	if e.Seq < m.nextSeq {
		return
	}
	if e.Seq > m.nextSeq && m.nextSeq > 0 {
		m.Gaps++
		clear(m.held)
	}
	m.nextSeq = e.Seq + 1
	if !e.Stored {
		delete(m.held, e.Prefix)
		return
	}
	m.note(now, e.Prefix)
}

// Note records that a request with this prefix was sent to the target.
func (m *PrefixMap) Note(now time.Time, prefix string) { m.note(now, prefix) }

func (m *PrefixMap) note(now time.Time, prefix string) {
	if _, ok := m.held[prefix]; !ok && len(m.held) >= m.maxSize {
		m.evict(now)
	}
	m.held[prefix] = now
}

func (m *PrefixMap) evict(now time.Time) {
	oldest, at := "", now
	for p, t := range m.held {
		if !t.After(at) {
			oldest, at = p, t
		}
	}
	delete(m.held, oldest)
}

// Holds reports whether the target probably holds the prefix.
func (m *PrefixMap) Holds(now time.Time, prefix string) bool {
	t, ok := m.held[prefix]
	return ok && now.Sub(t) <= m.maxAge
}

// Next returns the sequence number of the next event to request from the target.
func (m *PrefixMap) Next() uint64 { return m.nextSeq }

// Len returns the number of entries.
func (m *PrefixMap) Len() int { return len(m.held) }
