// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"madderway/models/result"
)

// counters are the metrics of one router.
type counters struct {
	set          *metrics.Set
	retries      *metrics.Counter
	budgetSpent  *metrics.Counter
	policyErrors *metrics.Counter
	replayed     *metrics.Counter
	resumed      *metrics.Counter
	restarted    *metrics.Counter
	tokens       *metrics.Counter
}

func newCounters() *counters {
	set := metrics.NewSet()
	return &counters{
		set:          set,
		retries:      set.NewCounter("madderway_retries_total"),
		budgetSpent:  set.NewCounter("madderway_retry_budget_spent_total"),
		policyErrors: set.NewCounter("madderway_policy_errors_total"),
		replayed:     set.NewCounter("madderway_claims_replayed_total"),
		resumed:      set.NewCounter("madderway_streams_resumed_total"),
		restarted:    set.NewCounter("madderway_streams_restarted_total"),
		tokens:       set.NewCounter("madderway_events_total"),
	}
}

func (c *counters) refused(code result.Code) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`madderway_refused_total{code="%d"}`, code)).Inc()
}

func (c *counters) done(outcome string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`madderway_requests_total{outcome=%q}`, outcome)).Inc()
}

func (c *counters) waited(class string, d time.Duration) {
	if class != "interactive" && class != "long" {
		class = "other"
	}
	c.set.GetOrCreateHistogram(fmt.Sprintf(`madderway_wait_seconds{class=%q}`, class)).Update(d.Seconds())
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (s *Service) WriteMetrics(w io.Writer) { s.counters.set.WritePrometheus(w) }
