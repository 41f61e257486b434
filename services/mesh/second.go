// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"time"

	"madderway/core/cell"
	"madderway/core/forecast"
	"madderway/core/promise"
	"madderway/modules/saturate"
)

// statsInterval is the interval of the log lines about cells.
const statsInterval = time.Second

// statsSample holds a cell's counters as of its last log line.
type statsSample struct {
	at        time.Time
	counts    cell.Counts
	forecasts forecast.Stats
	// Promises of the times at which refused requests may return.
	returns promise.Counts
}

// logStall logs and counts a second in which a scheduler placed nothing beside idle targets.
func (l *Loop) logStall(key cell.Key, s *cellScheduler) {
	st, stalled := s.cell.Stalled()
	if !stalled || st.Unplaced == s.lastStall {
		return
	}
	s.lastStall = st.Unplaced
	l.stalledSeconds.Add(1)
	l.traffic.set.GetOrCreateCounter("madderway_gateway_stalled_seconds_total").Inc()
	l.log.Warn("Idle targets get no requests.", "cell", key, "for", st.For.Round(time.Millisecond), "idle", st.Idle, "waiting", st.Waiting,
		"target", st.Target, "booked", st.Booked, "tokens_per_second", saturate.Int64(st.Speed), "caches_due", st.CachesDue)
}

// StalledSeconds returns the number of seconds in which a scheduler here placed nothing beside idle
// targets.
func (l *Loop) StalledSeconds() int { return int(l.stalledSeconds.Load()) }

// logCellStats logs for each active cell the requests and tokens since its last line and the load of
// its targets.
func (l *Loop) logCellStats(now time.Time) {
	for key, s := range l.cells {
		if now.Sub(s.lastStats.at) < statsInterval {
			continue
		}
		before := s.lastStats
		s.lastStats = statsSample{now, s.cell.Counts(now), before.forecasts, s.cell.ReturnCounts()}
		f := s.cell.Forecast()
		if f != nil {
			s.lastStats.forecasts = f.Late
			l.traffic.countForecasts(key, before.forecasts, f.Late)
		}
		l.promised.add(before.returns, s.lastStats.returns)
		l.logStall(key, s)
		if !before.at.IsZero() {
			l.logCell(key, before, s, s.cell.Load(now), f)
		}
	}
}

func (l *Loop) logCell(key cell.Key, before statsSample, s *cellScheduler, load cell.Load, f *cell.ForecastState) {
	a, b := before.counts, s.lastStats.counts
	if a.Asked == b.Asked {
		return // idle, or taken over by another gateway
	}
	span := s.lastStats.at.Sub(before.at)
	share := 0.0
	if load.Targets > 0 {
		share = max(float64(b.Reading-a.Reading)/float64(load.Targets)/float64(span), 0)
	}
	fields := []any{
		"cell", key, "span", span.Round(time.Millisecond), "asked", b.Asked - a.Asked, "placed", b.Placed - a.Placed,
		"refused", b.Refused - a.Refused, "with_room", b.RefusedWithRoom - a.RefusedWithRoom, "waiting", s.cell.Waiting(),
		"asked_tokens", b.AskedTokens - a.AskedTokens, "placed_tokens", b.PlacedTokens - a.PlacedTokens, "read", b.Read - a.Read,
		"reread", b.RereadTokens() - a.RereadTokens(), "copies", b.Copies - a.Copies, "copied", b.Copied - a.Copied,
		"targets", load.Targets, "streams", load.Running, "reading_share", float64(saturate.Int(share*1000)) / 1000, "booked", load.Booked.Round(time.Millisecond),
	}
	if f != nil {
		fields = append(fields, "forecasts", s.lastStats.forecasts.Forecasts-before.forecasts.Forecasts, "forecast_error", f.MeanError.Round(time.Millisecond),
			"forecast_margin", f.Margin.Round(time.Millisecond), "tightest_slack", f.Tightest.Round(time.Millisecond))
	}
	if b.Crossed > 0 {
		fields = append(fields, "crossed", b.Crossed-a.Crossed)
	}
	if b.Moved > 0 {
		fields = append(fields, "moved", b.Moved-a.Moved)
	}
	l.log.Info("Cell statistics.", append(fields, returnValues(before.returns, s.lastStats.returns)...)...)
}
