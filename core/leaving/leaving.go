// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package leaving keeps the set of target incarnations that have announced that they leave.
// An incarnation never comes back after that, so the set only grows until entries expire, and
// sets of different gateways merge in any order. An outdated list or a store that lost data
// does not remove anything.
package leaving

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// retention is the time for which an incarnation is kept after it was last listed or
	// announced. It covers a store that is restored from an older copy and lists the
	// incarnation once more, and entries that come back after an outage of the store.
	retention = 10 * time.Minute
	// maxIncarnations bounds the memory of the set. It exceeds the number of targets of a
	// fleet.
	maxIncarnations = 4096
	// maxIDLen bounds received IDs, in bytes.
	maxIDLen = 256
)

// Set is the set of leaving incarnations. It is not safe for concurrent use.
type Set struct {
	incarnations map[string]*incarnation // by target ID
}

type incarnation struct {
	since time.Time // this process learned that it leaves
	seen  time.Time // last listed or announced anywhere
}

// New returns an empty set.
func New() *Set { return &Set{incarnations: map[string]*incarnation{}} }

// Announcement tells another process that an incarnation leaves.
type Announcement struct {
	ID string `json:"id"`
	// Age is the time since the incarnation was last listed or announced. It keeps an expired
	// entry from being reintroduced by another process.
	Age time.Duration `json:"age"`
}

// Add adds an incarnation and reports whether it is new.
func (s *Set) Add(now time.Time, id string) bool { return s.Merge(now, Announcement{ID: id}) }

// Merge adds an incarnation announced by another process and reports whether it is new.
func (s *Set) Merge(now time.Time, a Announcement) bool {
	if a.ID == "" || len(a.ID) > maxIDLen || a.Age < 0 || a.Age >= retention {
		return false
	}
	seen := now.Add(-a.Age)
	if e := s.incarnations[a.ID]; e != nil {
		if seen.After(e.seen) {
			e.seen = seen
		}
		return false
	}
	if len(s.incarnations) >= maxIncarnations {
		s.dropOldest()
	}
	s.incarnations[a.ID] = &incarnation{since: now, seen: seen}
	return true
}

// Since returns the time at which this process learned that an incarnation leaves, and false if
// it does not leave.
func (s *Set) Since(id string) (time.Time, bool) {
	e := s.incarnations[id]
	if e == nil {
		return time.Time{}, false
	}
	return e.since, true
}

// MarkListed records that the store lists an incarnation, and reports whether it leaves.
func (s *Set) MarkListed(now time.Time, id string) bool {
	e := s.incarnations[id]
	if e != nil {
		e.seen = now
	}
	return e != nil
}

// Expire deletes entries older than retention.
func (s *Set) Expire(now time.Time) {
	for id, e := range s.incarnations {
		if now.Sub(e.seen) >= retention {
			delete(s.incarnations, id)
		}
	}
}

// All returns an announcement of each incarnation.
func (s *Set) All(now time.Time) []Announcement {
	out := make([]Announcement, 0, len(s.incarnations))
	for id, e := range s.incarnations {
		out = append(out, Announcement{ID: id, Age: max(now.Sub(e.seen), 0)})
	}
	return out
}

// Len returns the number of incarnations.
func (s *Set) Len() int { return len(s.incarnations) }

// Digest returns the hash of one ID. The digest of a set is the XOR over its IDs.
func Digest(id string) uint64 { return xxhash.Sum64String(id) }

func (s *Set) dropOldest() {
	oldest := ""
	for id, e := range s.incarnations {
		if oldest == "" || e.seen.Before(s.incarnations[oldest].seen) {
			oldest = id
		}
	}
	delete(s.incarnations, oldest)
}
