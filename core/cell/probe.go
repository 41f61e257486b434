// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import "time"

// probeAfter is the time without a run after which a target gets a probe: a request that would be
// refused. What is estimated of such a target may be wrong, and only a request corrects it.
const probeAfter = time.Second

// placeProbe places a request that would be refused at the target with the shortest wait of those
// that have long been idle, or reports false.
func (c *Cell) placeProbe(now time.Time, w *waiter) bool {
	if !c.hasProbeTarget(now) || c.awaitsCaches(now) {
		return false
	}
	options := c.options(now, w)
	best := -1
	for i := range options {
		if c.views[options[i].index].awaitsProbe(now) && (best < 0 || options[i].wait < options[best].wait) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	o := options[best]
	c.dequeue(w)
	c.place(now, w, o, ReasonProbe)
	c.views[o.index] = c.makeView(now, c.views[o.index].target)
	return true
}

func (c *Cell) hasProbeTarget(now time.Time) bool {
	for i := range c.views {
		if c.views[i].awaitsProbe(now) {
			return true
		}
	}
	return false
}

// awaitsProbe reports whether the target has been idle for probeAfter.
func (v *view) awaitsProbe(now time.Time) bool {
	e := v.target.engine
	return v.accepts(backlogLimit) && e.Idle() && now.Sub(e.IdleSince()) >= probeAfter
}
