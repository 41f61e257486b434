// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import "time"

// Counts are totals of a cell since its start.
type Counts struct {
	Asked, Placed, Refused uint64
	// Refusals while some target accepted requests.
	RefusedWithRoom uint64
	// Searches for a target, for all waiting requests.
	Tried uint64
	// Prompt tokens of the asked and placed requests, and those that targets prefill.
	AskedTokens, PlacedTokens, Read uint64
	// Tokens of shared parts that are prefilled again, by the reason of the placement.
	Anew [reasonCount]uint64
	// Prefill time of all targets, removed ones included.
	Reading time.Duration
	// Transfers between targets and their tokens.
	Copies, Copied uint64
	// Placements in another data hall than the entry, where it is known.
	Crossed uint64
	// Refusals that name another cell with room.
	Moved uint64
}

// RereadTokens returns the tokens of shared parts that were prefilled again, for any reason.
func (c Counts) RereadTokens() uint64 {
	sum := uint64(0)
	for _, tokens := range c.Anew {
		sum += tokens
	}
	return sum
}

// Load is the current load of a cell.
type Load struct {
	Targets int           // usable targets, full ones included
	Running int           // running requests
	Booked  time.Duration // average booked prefill time of the usable targets
}

// Load returns the current load.
func (c *Cell) Load(now time.Time) Load {
	var l Load
	for _, t := range c.sorted {
		l.Running += t.engine.Running()
		if t.info.Leaving || t.info.Evacuated || !t.engine.Usable(now) {
			continue
		}
		l.Targets++
		l.Booked += max(t.engine.Booked(now), 0)
	}
	l.Booked /= time.Duration(max(l.Targets, 1))
	return l
}

// Counts returns the totals since the cell's start.
func (c *Cell) Counts(now time.Time) Counts {
	c.countPrefillTime(now)
	return c.counts
}

func (c *Cell) countPrefillTime(now time.Time) {
	for _, t := range c.sorted {
		c.countTarget(now, t)
	}
	for _, t := range c.draining {
		c.countTarget(now, t)
	}
}

func (c *Cell) countTarget(now time.Time, t *target) {
	total := t.engine.PrefillTime(now)
	c.counts.Reading += total - t.countedPrefill
	t.countedPrefill = total
}
