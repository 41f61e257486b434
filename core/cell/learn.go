// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import "time"

// askedCaches starts the wait for the targets' caches.
func (c *Cell) askedCaches(e CachedPartsAsked) {
	if c.rules.Handover {
		c.cachesDue = e.Until
	}
}

// awaitsCaches reports whether a placement that would prefill shared parts should wait: a
// scheduler that has just taken over may soon hear which target has them in its cache.
func (c *Cell) awaitsCaches(now time.Time) bool {
	if !now.Before(c.cachesDue) {
		return false
	}
	for _, t := range c.sorted {
		if !t.cacheKnown && !t.info.Leaving && !t.info.Evacuated {
			return true
		}
	}
	c.cachesDue = time.Time{}
	return false
}
