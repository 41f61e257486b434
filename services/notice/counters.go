// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package notice

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// counters are the figures of what targets have said, and of what was not sent for it.
type counters struct {
	set                                *metrics.Set
	leaving, pauses, invalid, withheld *metrics.Counter
}

func newCounters(figures string) counters {
	set := metrics.NewSet()
	return counters{
		set: set, leaving: set.NewCounter(figures + "_targets_leaving_told_total"),
		pauses:   set.NewCounter(figures + "_rests_asked_total"),
		invalid:  set.NewCounter(figures + "_rests_unread_total"),
		withheld: set.NewCounter(figures + "_sends_withheld_total"),
	}
}

// WriteMetrics writes the figures in text form.
func (s *Service) WriteMetrics(w io.Writer) { s.counters.set.WritePrometheus(w) }

// logBurst and logInterval bound the lines about single answers: an engine that turns all away
// would fill the log's budget with them. The counters have all.
const (
	logBurst    = 5
	logInterval = time.Second
)
