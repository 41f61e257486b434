// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"madderway/models/result"
	"madderway/models/routing"
)

// counters are the metrics of a gateway's requests.
type counters struct {
	set         *metrics.Set
	retries     *metrics.Counter
	budgetSpent *metrics.Counter
	throttled   *metrics.Counter
	cut         *metrics.Counter // attempts cut since they were slow
	rejected    *metrics.Counter // attempts that the target did not run
	// placements given back unsent, since this gateway cannot use the target
	placesReturned *metrics.Counter
	// requests served by another gateway, those lost on the way, and those that no gateway
	// took
	handedOver, handOverLost, notHandedOver *metrics.Counter

	beforeAsk     *metrics.Histogram
	placementTime *metrics.Histogram
	byOutcome     *sync.Map // outcomeMetrics by service and outcome, a cache to avoid formatting names
	byHalls       *sync.Map // counters by the halls of gateway and target, a cache like byOutcome
	byEnding      *sync.Map // counters by framing and ending of answers, a cache like byOutcome
}

// outcomeMetrics are the metrics of a service's requests with the same outcome.
type outcomeMetrics struct {
	requests *metrics.Counter
	seconds  *metrics.Histogram
}

func newCounters() counters {
	set := metrics.NewSet()
	return counters{
		set: set, retries: set.NewCounter("madderway_gateway_repeats_total"),
		cut:            set.NewCounter("madderway_gateway_attempts_cut_total"),
		rejected:       set.NewCounter("madderway_gateway_attempts_rejected_total"),
		budgetSpent:    set.NewCounter("madderway_gateway_repeat_budget_spent_total"),
		placesReturned: set.NewCounter("madderway_gateway_places_returned_total"),
		throttled:      set.NewCounter("madderway_gateway_throttled_total"),
		handedOver:     set.NewCounter("madderway_gateway_handed_over_total"),
		handOverLost:   set.NewCounter("madderway_gateway_handed_over_lost_total"),
		notHandedOver:  set.NewCounter("madderway_gateway_not_handed_over_total"),
		beforeAsk:      set.NewHistogram("madderway_gateway_before_ask_seconds"),
		placementTime:  set.NewHistogram("madderway_gateway_placement_seconds"), byOutcome: &sync.Map{}, byHalls: &sync.Map{}, byEnding: &sync.Map{},
	}
}

// record counts a finished request; elapsed is the time since it was read.
func (c *counters) record(service *routing.Service, err error, elapsed time.Duration) {
	outcome := "done"
	switch e, numbered := result.FromError(err); {
	case numbered:
		outcome = e.Code.String()
	case errors.Is(err, context.Canceled):
		outcome = "canceled"
	case err != nil:
		outcome = "aborted"
	}
	f := c.metricsOf(service.Name, outcome)
	f.requests.Inc()
	f.seconds.Update(elapsed.Seconds())
}

func (c *counters) metricsOf(service, outcome string) outcomeMetrics {
	key := [2]string{service, outcome}
	if f, ok := c.byOutcome.Load(key); ok {
		return f.(outcomeMetrics)
	}
	f := outcomeMetrics{
		requests: c.set.GetOrCreateCounter(fmt.Sprintf("madderway_gateway_requests_total{service=%q,outcome=%q}", service, outcome)),
		seconds:  c.set.GetOrCreateHistogram(fmt.Sprintf("madderway_gateway_request_seconds{service=%q}", service)),
	}
	c.byOutcome.Store(key, f)
	return f
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (s *Service) WriteMetrics(w io.Writer) {
	s.counters.set.WritePrometheus(w)
	s.opts.Guard.writeMetrics(w)
	fmt.Fprintf(w, "madderway_gateway_held_answer_bytes %d\n", s.answers.Held())
}
