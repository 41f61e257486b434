// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import "time"

// Counts are what a cell has decided since its start.
type Counts struct {
	Asked, Placed, Refused uint64
	// RefusedWithRoom counts refusals while some target took requests.
	RefusedWithRoom uint64
	// Tried counts how often a target was looked for, for a request that waits.
	Tried uint64
	// AskedTokens and PlacedTokens are the prompts' tokens of those requests, Read
	// the tokens of placed ones that engines read.
	AskedTokens, PlacedTokens, Read uint64
	// Anew counts the tokens of shared parts that placements let engines read
	// again, by the reason of the placement.
	Anew [reasons]uint64
	// Reading is how long the targets have been reading, together, those that are
	// gone included.
	Reading time.Duration
	// Copies counts the transfers between engines, Copied their tokens.
	Copies, Copied uint64
}

// AnewAll returns the tokens of shared parts that were read again, for any reason.
func (c Counts) AnewAll() uint64 {
	sum := uint64(0)
	for _, tokens := range c.Anew {
		sum += tokens
	}
	return sum
}

// Load is what the targets of a cell do at a time.
type Load struct {
	Targets int           // Targets are those that take requests, full ones included.
	Streams int           // Streams are the requests that run.
	Booked  time.Duration // Booked is how much of the targets' reading is given away, on average.
}

// Load returns what the targets do.
func (c *Cell) Load(now time.Time) Load {
	var l Load
	for _, t := range c.sorted {
		l.Streams += t.engine.Running()
		if t.info.Leaving || t.info.Evacuated || !t.engine.Usable(now) {
			continue
		}
		l.Targets++
		l.Booked += max(t.engine.Booked(now), 0)
	}
	l.Booked /= time.Duration(max(l.Targets, 1))
	return l
}

// Counts returns what the cell has decided since its start.
func (c *Cell) Counts(now time.Time) Counts {
	c.countReading(now)
	return c.counts
}

func (c *Cell) countReading(now time.Time) {
	for _, t := range c.sorted {
		c.countTarget(now, t)
	}
	for _, t := range c.draining {
		c.countTarget(now, t)
	}
}

func (c *Cell) countTarget(now time.Time, t *target) {
	reading := t.engine.ReadingTime(now)
	c.counts.Reading += reading - t.counted
	t.counted = reading
}
