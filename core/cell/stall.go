// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import "time"

// StallAfter is the time without a placement, with requests waiting for idle targets, from which
// a scheduler counts as stalled. Waits that a decision intends are a fraction of it.
const StallAfter = time.Second

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
	least, idle := c.idleTargets()
	if least == nil {
		w.since = time.Time{}
		return
	}
	if !c.waitsForTarget() {
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

// idleTargets returns the number of usable targets without a run, and the one with the least booked.
func (c *Cell) idleTargets() (least *view, count int) {
	for i := range c.views {
		v := &c.views[i]
		if !v.usable || v.full || !v.target.engine.Idle() {
			continue
		}
		count++
		if least == nil || v.booked < least.booked {
			least = v
		}
	}
	return least, count
}

// waitsForTarget reports whether a waiting request has a target that may serve it.
func (c *Cell) waitsForTarget() bool {
	for _, w := range c.waiting {
		if w.best != nil {
			return true
		}
	}
	return false
}

// Stalled returns the last decision of a stall that has lasted for StallAfter, or false.
func (c *Cell) Stalled() (Stall, bool) {
	return c.stall.last, !c.stall.since.IsZero() && c.stall.last.For >= StallAfter
}
