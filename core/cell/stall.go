// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import "time"

// stallAfter is the time without a placement, with requests waiting for idle targets, from which
// a scheduler counts as stalled. Waits that a decision intends are a fraction of it.
const stallAfter = time.Second

// Stall describes a scheduler that places nothing although targets could take the requests that
// wait, with the estimates that keep it from it.
type Stall struct {
	For      time.Duration // since the first request that was not placed
	Unplaced uint64        // decisions in which requests were left waiting
	Idle     int           // usable targets without a run
	Waiting  int
	// Estimates of the idle target with the least booked.
	Target    string
	Booked    time.Duration
	Speed     float64       // prompt tokens per second
	CachesDue time.Duration // time left until the targets' caches must have been reported
}

// stallWatch tracks the decisions since the last placement.
type stallWatch struct {
	since    time.Time // zero if nothing was left waiting since the last placement
	unplaced uint64
	placed   uint64 // Counts.Placed as of the last decision
	last     Stall
}

// observeStall records a decision after its placements, before its refusals.
func (c *Cell) observeStall(now time.Time) {
	w := &c.stall
	if w.placed != c.counts.Placed {
		*w = stallWatch{placed: c.counts.Placed}
	}
	least, idle := c.unusedTargets()
	if idle == 0 {
		w.since = time.Time{}
		return
	}
	if least == nil {
		return
	}
	if w.since.IsZero() {
		w.since = now
	}
	w.unplaced++
	w.last = Stall{
		For: now.Sub(w.since), Unplaced: w.unplaced, Idle: idle, Waiting: len(c.waiting), Target: least.target.info.ID, Booked: least.booked,
		Speed: least.speed, CachesDue: max(c.cachesDue.Sub(now), 0),
	}
}

// unusedTargets returns the number of usable targets without a run, and of those that a waiting
// request may use the one with the least booked, nil if there is none.
func (c *Cell) unusedTargets() (least *view, idle int) {
	for i := range c.views {
		v := &c.views[i]
		if !v.usable || v.full || !v.target.engine.Idle() {
			continue
		}
		idle++
		if (least == nil || v.booked < least.booked) && c.awaited(v) {
			least = v
		}
	}
	return least, idle
}

// awaited reports whether a waiting request may use the target.
func (c *Cell) awaited(v *view) bool {
	for _, w := range c.waiting {
		p := w.ask.Prompt
		if w.ask.mayUse(&v.target.info) && v.target.engine.Fits(v.target.engine.UncachedTokens(p), p.OutputEstimate()) {
			return true
		}
	}
	return false
}

// Stalled returns the last decision of a stall that has lasted for stallAfter, or false.
func (c *Cell) Stalled() (Stall, bool) {
	return c.stall.last, !c.stall.since.IsZero() && c.stall.last.For >= stallAfter
}
