// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"time"

	"madderway/core/cell"
)

// statsInterval is how often a scheduler writes what its cells have done.
const statsInterval = time.Second

// statsSample is what was written of a cell the last time.
type statsSample struct {
	at     time.Time
	counts cell.Counts
}

// logCellStats writes a line for each cell that did anything in the last second:
// what was asked for, placed and refused, what engines read and read again, and how
// much of their time that took.
func (l *Loop) logCellStats(now time.Time) {
	for key, s := range l.cells {
		if now.Sub(s.lastStats.at) < statsInterval {
			continue
		}
		before := s.lastStats
		s.lastStats = statsSample{now, s.cell.Counts(now)}
		if !before.at.IsZero() {
			l.logCell(key, before, s, s.cell.Load(now))
		}
	}
}

func (l *Loop) logCell(key cell.Key, before statsSample, s *cellScheduler, load cell.Load) {
	a, b := before.counts, s.lastStats.counts
	if a.Asked == b.Asked {
		return // nothing to do, or another gateway has taken the cell over
	}
	span := s.lastStats.at.Sub(before.at)
	share := 0.0
	if load.Targets > 0 {
		share = max(float64(b.Reading-a.Reading)/float64(load.Targets)/float64(span), 0)
	}
	l.log.Info("Second of a cell.", "cell", key, "span", span.Round(time.Millisecond), "asked", b.Asked-a.Asked, "placed", b.Placed-a.Placed,
		"refused", b.Refused-a.Refused, "with_room", b.RefusedWithRoom-a.RefusedWithRoom, "waiting", s.cell.Waiting(),
		"asked_tokens", b.AskedTokens-a.AskedTokens, "placed_tokens", b.PlacedTokens-a.PlacedTokens, "read", b.Read-a.Read,
		"anew", b.RereadTokens()-a.RereadTokens(), "copies", b.Copies-a.Copies, "copied", b.Copied-a.Copied,
		"targets", load.Targets, "streams", load.Running, "reading_share", float64(int(share*1000))/1000, "booked", load.Booked.Round(time.Millisecond))
}
