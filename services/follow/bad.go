// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"fmt"
	"time"
)

const (
	// A faulty writer may produce a thousand bad rows a second, so they are logged at a limited
	// rate.
	badRowLogInterval = time.Second
	badRowLogBurst    = 5
)

// ReportBadRow counts and logs a row of the store that could not be decoded.
func (s *Service) ReportBadRow(r BadRow) {
	s.counters.GetOrCreateCounter(fmt.Sprintf("madderway_gateway_bad_rows_total{table=%q}", r.Table)).Inc()
	if ok, suppressed := s.badRowLog.Allow(s.opts.Clock.Now()); ok {
		s.log.Warn("Malformed row in the store.", "table", r.Table, "key", r.Key, "reason", r.Reason, "suppressed", suppressed)
	}
}
