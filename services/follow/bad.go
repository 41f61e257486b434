// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"fmt"
	"sync"
	"time"
)

const (
	// badEvery is how often a bad row is told of: a writer that goes wrong may do so a
	// thousand times a second.
	badEvery = time.Second
	// badAtOnce is how many bad rows are told of in that time.
	badAtOnce = 5
)

// badRows bounds the lines about rows that cannot be read.
type badRows struct {
	mu     sync.Mutex
	since  time.Time
	told   int
	hidden int
}

// tell reports whether a row is to be told of, and how many were not since the last one.
func (b *badRows) tell(now time.Time) (tell bool, hidden int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.since) >= badEvery {
		b.since, b.told = now, 0
	}
	if b.told >= badAtOnce {
		b.hidden++
		return false, 0
	}
	b.told++
	hidden, b.hidden = b.hidden, 0
	return true, hidden
}

// NoteBadRow counts a row that could not be read and tells of it.
func (s *Service) NoteBadRow(r BadRow) {
	s.counters.GetOrCreateCounter(fmt.Sprintf("madderway_gateway_bad_rows_total{table=%q}", r.Table)).Inc()
	if tell, hidden := s.bad.tell(s.opts.Clock.Now()); tell {
		s.log.Warn("Row not understood.", "table", r.Table, "key", r.Key, "reason", r.Reason, "not told of", hidden)
	}
}
