// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package upstream

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// connCounters count where connections to targets come from and why they end.
type connCounters struct {
	set                *metrics.Set
	reused             *metrics.Counter
	expired            *metrics.Counter // idle for too long
	closedByTarget     *metrics.Counter // closed, or sent data, while idle
	closeAsked         *metrics.Counter // the target's response asked for the close
	incomplete         *metrics.Counter // the exchange was cut or broke off
	surplus            *metrics.Counter // more idle connections than are kept for a target
	pruned             *metrics.Counter // the target left
	closedInStandstill *metrics.Counter
}

func newConnCounters() connCounters {
	set := metrics.NewSet()
	closed := func(reason string) *metrics.Counter {
		return set.NewCounter(`madderway_gateway_target_connections_closed_total{reason="` + reason + `"}`)
	}
	return connCounters{
		set: set, reused: set.NewCounter("madderway_gateway_target_connections_reused_total"),
		expired: closed("expired"), closedByTarget: closed("closed_by_target"), closeAsked: closed("close_asked"), incomplete: closed("incomplete"),
		surplus: closed("surplus"), pruned: closed("target_left"), closedInStandstill: closed("standstill"),
	}
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (p *Pool) WriteMetrics(w io.Writer) { p.counters.set.WritePrometheus(w) }

// LogValues returns the totals since the start and the number of idle connections as log values.
func (p *Pool) LogValues() []any {
	c := p.counters
	return []any{
		"opened", p.Dials(), "reused", c.reused.Get(), "expired", c.expired.Get(), "closed_by_target", c.closedByTarget.Get(), "close_asked", c.closeAsked.Get(),
		"incomplete", c.incomplete.Get(), "surplus", c.surplus.Get(), "target_left", c.pruned.Get(), "standstill", c.closedInStandstill.Get(), "idle", p.idleCount(),
	}
}

func (p *Pool) idleCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, conns := range p.idle {
		n += len(conns)
	}
	return n
}
