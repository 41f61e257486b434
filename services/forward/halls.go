// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"madderway/models/routing"
	"madderway/services/upstream"
)

// countExchange counts the bytes of a request that was sent and of its response's body as
// it is read, by the data halls of this gateway and the target.
func (j *job) countExchange(t *routing.Target, a *upstream.Answer) {
	counter := j.s.counters.hallBytes(j.s.opts.DataHall, t.DataHall)
	counter.Add(len(j.r.Body))
	if a != nil {
		a.Body = &countingReader{a.Body, counter}
	}
}

// crosses reports whether the target of the current attempt is in another data hall than
// this gateway.
func (j *job) crosses() bool {
	return j.target != nil && j.target.DataHall != "" && j.target.DataHall != j.s.opts.DataHall
}

// hallBytes returns the counter of the bytes exchanged with targets of a data hall.
func (c *counters) hallBytes(own, target string) *metrics.Counter {
	key := [2]string{own, target}
	if n, ok := c.byHalls.Load(key); ok {
		return n.(*metrics.Counter)
	}
	labels := fmt.Sprintf(`{hall=%q,target_hall=%q,crosses="%t"}`, own, target, own != target)
	n := c.set.GetOrCreateCounter("madderway_gateway_target_bytes_total" + labels)
	c.byHalls.Store(key, n)
	return n
}

type countingReader struct {
	io.Reader
	counter *metrics.Counter
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.counter.Add(n)
	return n, err
}
