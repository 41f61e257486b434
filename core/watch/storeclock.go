// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package watch

import "time"

// StoreTime is a time on the store's monotonic clock, in milliseconds; 0 means unknown. All
// gateways can compare times on this clock, whereas an age sent in a message does not include
// the delay of the message.
type StoreTime int64

// Reading is a reading of the store's clock, direct or relayed by a peer.
type Reading struct {
	Now StoreTime // estimate of the store's clock when the reading was sent
	// Asked is the value that the store itself returned. The time from Asked to Now was
	// measured by the clocks of the relaying gateways.
	Asked StoreTime
}

// Direct returns the reading contained in a response of the store.
func Direct(t StoreTime) Reading { return Reading{t, t} }

const (
	// A reading is used for one to two windows of originWindow, since clocks drift apart.
	originWindow = time.Minute
	// maxReadingAge bounds the time since the store was asked for which a reading is relayed.
	// Without it the fastest clock of a fleet would shift the estimates of all gateways.
	maxReadingAge = 5 * time.Minute
)

// StoreClock estimates the store's clock from readings. A reading is late by its network
// delay and never early, so the earliest origin is the best estimate.
type StoreClock struct {
	current, previous origin
}

// origin is the local time at which the store's clock was 0, estimated from the readings of
// one window.
type origin struct {
	at          time.Time
	asked       StoreTime // of the reading in use
	windowStart time.Time // zero if there is no reading
}

// Observe processes a reading. It returns by how much the estimated origin moved back: local
// times derived from the store's clock must be shifted by as much.
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
		c.current.at, c.current.asked = at, r.Asked
	}
	if after := c.earliest(); !before.at.IsZero() && after.at.Before(before.at) {
		return before.at.Sub(after.at)
	}
	return 0
}

// earliest returns the earliest origin, with a zero time if there is none.
func (c *StoreClock) earliest() origin {
	if !c.previous.at.IsZero() && c.previous.at.Before(c.current.at) {
		return c.previous
	}
	return c.current
}

// Reading returns the current estimate, to be sent to peers.
func (c *StoreClock) Reading(now time.Time) Reading {
	return Reading{c.FromLocal(now), c.earliest().asked}
}

// ToLocal converts a time of the store's clock to local time. It returns false if the
// clock or t is unknown.
func (c *StoreClock) ToLocal(t StoreTime) (time.Time, bool) {
	zero := c.earliest().at
	if zero.IsZero() || t <= 0 {
		return time.Time{}, false
	}
	return zero.Add(time.Duration(t) * time.Millisecond), true
}

// FromLocal converts a local time to the store's clock. It returns 0 if the clock is unknown.
func (c *StoreClock) FromLocal(local time.Time) StoreTime {
	zero := c.earliest().at
	if zero.IsZero() || !local.After(zero) {
		return 0
	}
	return StoreTime(local.Sub(zero).Milliseconds())
}
