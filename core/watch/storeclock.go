// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package watch

import "time"

// StoreTime is a time of the store's own steady clock, in milliseconds; 0 is not known. It is
// the one clock that all gateways can compare knowledge by: an age is told in a message, and
// would be younger by the way of that message when it comes.
type StoreTime int64

// Reading is what is told of the store's clock.
type Reading struct {
	Now StoreTime // Now is what it shows when the reading is told.
	// Asked is what it showed when the store told it, to whoever asked. What has passed since
	// was measured by the clocks of those that told it on.
	Asked StoreTime
}

// Direct returns the reading that is in an answer of the store.
func Direct(t StoreTime) Reading { return Reading{t, t} }

const (
	// originWindow is how long a reading counts here, once or twice that. The clocks of two
	// machines differ by some 100 parts in a million, 12 ms in that time.
	originWindow = time.Minute
	// maxReadingAge is how long after the store was asked a reading is still told on. Without
	// such a bound the fastest clock of a fleet would pull the estimates of all along, by a
	// third of a second each hour.
	maxReadingAge = 5 * time.Minute
)

// StoreClock estimates the store's clock from what answers and peers tell of it. Each reading
// is late by the way it took, never early, so that the earliest origin is the best one.
type StoreClock struct {
	current, previous origin
}

// origin is this process's time at which the store's clock was 0, as of the readings of a span.
type origin struct {
	at          time.Time
	sampledAt   StoreTime // asked is when the store was asked for the reading that is used.
	windowStart time.Time // since is when the span began; zero where there is none.
}

// Observe takes a reading of the store's clock, and returns by how much earlier than thought until
// now everything was that is known by that clock.
func (c *StoreClock) Observe(now time.Time, r Reading) time.Duration {
	if r.Now <= 0 || r.Asked <= 0 || r.Asked > r.Now || r.Now-r.Asked > StoreTime(maxReadingAge.Milliseconds()) {
		return 0
	}
	before := c.earliest()
	if c.current.windowStart.IsZero() || now.Sub(c.current.windowStart) >= originWindow {
		c.previous, c.current = c.current, origin{windowStart: now}
	}
	at := now.Add(-time.Duration(r.Now) * time.Millisecond)
	if c.current.at.IsZero() || at.Before(c.current.at) {
		c.current.at, c.current.sampledAt = at, r.Asked
	}
	if after := c.earliest(); !before.at.IsZero() && after.at.Before(before.at) {
		return before.at.Sub(after.at)
	}
	return 0
}

// earliest returns the earliest origin; its time is zero where none is known.
func (c *StoreClock) earliest() origin {
	if !c.previous.at.IsZero() && c.previous.at.Before(c.current.at) {
		return c.previous
	}
	return c.current
}

// Reading returns the reading that a peer is told.
func (c *StoreClock) Reading(now time.Time) Reading {
	return Reading{c.FromLocal(now), c.earliest().sampledAt}
}

// ToLocal returns the time of this process at which the store's clock showed a time.
func (c *StoreClock) ToLocal(t StoreTime) (time.Time, bool) {
	zero := c.earliest().at
	if zero.IsZero() || t <= 0 {
		return time.Time{}, false
	}
	return zero.Add(time.Duration(t) * time.Millisecond), true
}

// FromLocal returns what the store's clock showed at a time of this process, 0 where that is not known.
func (c *StoreClock) FromLocal(local time.Time) StoreTime {
	zero := c.earliest().at
	if zero.IsZero() || !local.After(zero) {
		return 0
	}
	return StoreTime(local.Sub(zero).Milliseconds())
}
