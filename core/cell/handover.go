// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"slices"
	"time"

	"madderway/core/batch"
	"madderway/core/promise"
)

const (
	// maxHandedPromises bounds the size of a handover; callers return within seconds, so that
	// the newest promises matter.
	maxHandedPromises = 128
	// maxHandedDelay bounds the time of a promise that is taken over.
	maxHandedDelay = 16 * time.Second
)

// Handover carries a scheduler's estimates and promises to the next scheduler of its cell.
type Handover struct {
	Engines  []EngineEstimate
	Promises []promise.Promise // with room only
}

// EngineEstimate is the estimate of one incarnation of a target.
type EngineEstimate struct {
	Target string
	batch.Estimate
}

// HandoverSeen reports what an earlier scheduler of the cell has learned. It changes nothing that was
// seen here.
type HandoverSeen struct{ Handover }

func (HandoverSeen) isEvent() {}

// Handover returns what was learned here. It is empty unless the rules switch it on.
func (c *Cell) Handover() Handover {
	var h Handover
	if !c.rules.Handover {
		return h
	}
	for _, t := range c.sorted {
		if est, learned := t.engine.Estimate(); learned {
			h.Engines = append(h.Engines, EngineEstimate{t.info.ID, est})
		}
	}
	if c.returns.table != nil {
		h.Promises = c.returns.table.Outstanding(maxHandedPromises)
	}
	return h
}

// applyHandover uses what an earlier scheduler told as a prior. Estimates of targets that are not
// listed yet are kept until the next handover.
func (c *Cell) applyHandover(now time.Time, h Handover) {
	if !c.rules.Handover {
		return
	}
	c.pendingEstimates = map[string]batch.Estimate{}
	for _, e := range h.Engines {
		if t := c.targets[e.Target]; t != nil {
			t.engine.Seed(e.Within(c.speed))
			continue
		}
		c.pendingEstimates[e.Target] = e.Estimate
	}
	if c.returns.table == nil {
		return
	}
	for _, p := range h.Promises {
		if !p.First.After(now) && p.At.Sub(now) <= maxHandedDelay {
			c.returns.table.Add(p)
		}
	}
}

// seedNewTarget makes a new target start with what an earlier scheduler told of it, else with the
// median speed of the others. The mean of all samples would follow one engine that is far slower or
// faster.
func (c *Cell) seedNewTarget(id string, e *batch.Engine) {
	if !c.rules.Handover {
		return
	}
	if est, known := c.pendingEstimates[id]; known {
		delete(c.pendingEstimates, id)
		e.Seed(est.Within(c.speed))
		return
	}
	var speeds []float64
	for _, t := range c.sorted {
		if est, learned := t.engine.Estimate(); learned {
			speeds = append(speeds, est.TokensPerSecond)
		}
	}
	if len(speeds) == 0 {
		return
	}
	slices.Sort(speeds)
	e.Seed(batch.Estimate{TokensPerSecond: speeds[len(speeds)/2]})
}
