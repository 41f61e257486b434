// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"fmt"
	"time"
)

const (
	// badRowLogInterval is how often a bad row is told of: a writer that goes wrong may do so a
	// thousand times a second.
	badRowLogInterval = time.Second
	// badRowLogBurst is how many bad rows are told of in that time.
	badRowLogBurst = 5
)

// ReportBadRow counts a row that could not be read and tells of it.
func (s *Service) ReportBadRow(r BadRow) {
	s.counters.GetOrCreateCounter(fmt.Sprintf("madderway_gateway_bad_rows_total{table=%q}", r.Table)).Inc()
	if tell, hidden := s.badRowLog.Allow(s.opts.Clock.Now()); tell {
		s.log.Warn("Row not understood.", "table", r.Table, "key", r.Key, "reason", r.Reason, "not told of", hidden)
	}
}
