// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"madderway/core/cell"
	"madderway/core/promise"
)

// promiseCounters count what became of the promises of all cells that this gateway schedules.
type promiseCounters struct{ set *metrics.Set }

// add adds the changes between two readings of a cell's counts.
func (p promiseCounters) add(before, after promise.Counts) {
	for _, c := range promiseChanges(before, after) {
		if c.n == 0 {
			continue
		}
		name := fmt.Sprintf("madderway_gateway_return_promises_total{event=%q}", c.event)
		p.set.GetOrCreateCounter(name).Add(int(c.n))
	}
}

type promiseChange struct {
	event string
	n     uint64
}

func promiseChanges(before, after promise.Counts) []promiseChange {
	return []promiseChange{
		{"promised", after.Promised - before.Promised},
		{"unsure", after.Unsure - before.Unsure},
		{"no_room", after.NoRoom - before.NoRoom},
		{"returned", after.Returned - before.Returned},
		{"returned_early", after.Early - before.Early},
		{"kept", after.Kept - before.Kept},
		{"broken", after.Broken - before.Broken},
		{"displaced", after.Displaced - before.Displaced},
	}
}

// returnValues returns the changes as log values, none if nothing was ever promised.
func returnValues(before, after promise.Counts) []any {
	if after == (promise.Counts{}) {
		return nil
	}
	var values []any
	for _, c := range promiseChanges(before, after) {
		values = append(values, c.event, c.n)
	}
	return values
}

// refusalValues returns how the time of a refusal came about, as log values.
func refusalValues(r cell.Refuse) []any {
	if r.Return == cell.ReturnUnplanned {
		return nil
	}
	return []any{"return", r.Return, "since_first", r.SinceFirst}
}
