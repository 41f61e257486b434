// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package overload

import "time"

const (
	// dropAfter is how long a gateway must refuse requests, or have a full link, before it leaves scheduling to
	// others, takeAfter how long it must admit all before it takes part again: each
	// move of a cell costs its new scheduler what the old one knew.
	dropAfter = 700 * time.Millisecond
	takeAfter = 5 * time.Second
)

// Duties decides whether a gateway schedules for others while it cannot keep up with
// its own callers. It is not safe for concurrent use.
type Duties struct {
	dropped        bool
	disagreesSince time.Time // since is when what is observed began to say otherwise; zero while it agrees.
}

// Observe takes the share of requests that is admitted and how much of the link is in
// use. It reports whether the gateway keeps its duties, and whether that has changed.
func (d *Duties) Observe(now time.Time, share, link float64) (keeps, changed bool) {
	if (share < 1 || Full(link)) == d.dropped {
		d.disagreesSince = time.Time{}
		return !d.dropped, false
	}
	if d.disagreesSince.IsZero() {
		d.disagreesSince = now
	}
	patience := dropAfter
	if d.dropped {
		patience = takeAfter
	}
	if now.Sub(d.disagreesSince) < patience {
		return !d.dropped, false
	}
	d.dropped, d.disagreesSince = !d.dropped, time.Time{}
	return !d.dropped, true
}
