// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"slices"
	"time"

	"madderway/modules/saturate"
)

// Requests of tens of KiB enter in every data hall while a cell's targets are spread over
// all halls, and bytes between halls are dear. The choice of a target therefore counts
// the bytes that a request sends to another hall.

const (
	bytesPerKiB = 1024
	// Header of a response.
	responseHeadBytes = 512
	// Response bytes of an output token: its text and a share of its event's framing.
	outputTokenBytes = 8
	// Least number of further requests expected of a hall that make a copy for it worth the
	// memory it takes from other parts.
	minCopyUses = 4
)

// crossingCost returns what it costs to serve the request in another data hall than the one
// where it entered, or 0 if that hall is unknown.
func (c *Cell) crossingCost(ask *Ask) time.Duration {
	if c.rules.CrossingCost <= 0 || ask.DataHall == "" {
		return 0
	}
	bytes := ask.BodyBytes + responseHeadBytes + outputTokenBytes*ask.Prompt.OutputEstimate()
	return saturate.Duration(float64(c.rules.CrossingCost) * float64(bytes) / bytesPerKiB)
}

// crosses reports whether a target is known to be in another data hall than the request's
// entry.
func (t *target) crosses(ask *Ask) bool {
	return ask.DataHall != "" && t.info.DataHall != "" && ask.DataHall != t.info.DataHall
}

// hallCost returns what the request's data hall adds to the cost of an option: the crossing,
// or what later requests of the hall bear of the cost of a copy. A copy that is evicted
// after few of them is worth no more than a crossing, as it evicts parts in use.
func (c *Cell) hallCost(now time.Time, ask *Ask, o *option, crossing time.Duration) time.Duration {
	if crossing <= 0 {
		return 0
	}
	t := c.views[o.index].target
	if t.crosses(ask) {
		return crossing
	}
	if o.source == nil {
		return 0
	}
	uses := c.demand.rate(now, ask) * t.engine.Retention(now, o.tokens).Seconds()
	if uses < minCopyUses {
		return crossing
	}
	return -saturate.Duration(float64(o.transfer.cost()) * uses / (1 + uses))
}

// cheapest returns the option with the lowest cost. Preferences decide among targets that
// take the request now and in time: nothing waits or is late for them.
func (c *Cell) cheapest(now time.Time, w *waiter, options []option) option {
	if c.rules.CrossingCost <= 0 && !c.rules.Pace {
		return slices.MinFunc(options, compareCost)
	}
	best := slices.MinFunc(options, compareTotal)
	if c.takesNow(now, w, best) {
		return best
	}
	best = slices.MinFunc(options, compareCost)
	if !c.takesNow(now, w, best) {
		return best
	}
	for _, o := range options {
		if c.takesNow(now, w, o) && compareTotal(o, best) < 0 {
			best = o
		}
	}
	return best
}

func (c *Cell) takesNow(now time.Time, w *waiter, o option) bool {
	return c.views[o.index].accepts(backlogLimit) && w.inTime(now, o.wait)
}

func compareCost(a, b option) int { return compare(a, b, a.cost, b.cost) }

func compareTotal(a, b option) int { return compare(a, b, a.cost+a.preference, b.cost+b.preference) }

// recordDemand counts a new request for its prompt's beginning and data hall.
func (c *Cell) recordDemand(now time.Time, w *waiter) {
	if c.rules.CrossingCost <= 0 || w.ask.DataHall == "" || w.ask.Prompt.AffinityKey() == 0 {
		return
	}
	c.demand.record(now, &w.ask)
}
