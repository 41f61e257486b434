// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package notice

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// counters are the metrics of announcements by targets, and of requests withheld because of them.
type counters struct {
	set                                *metrics.Set
	leaving, pauses, invalid, withheld *metrics.Counter
}

func newCounters(prefix string) counters {
	set := metrics.NewSet()
	return counters{
		set: set, leaving: set.NewCounter(prefix + "_targets_leaving_told_total"),
		pauses:   set.NewCounter(prefix + "_rests_asked_total"),
		invalid:  set.NewCounter(prefix + "_rests_unread_total"),
		withheld: set.NewCounter(prefix + "_sends_withheld_total"),
	}
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (s *Service) WriteMetrics(w io.Writer) { s.counters.set.WritePrometheus(w) }

// The rate limit of log lines about single responses; the counters count all of them.
const (
	logBurst    = 5
	logInterval = time.Second
)
