// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package overload

import "time"

const (
	// A gateway stops scheduling for others when it could not serve all requests itself, or its
	// link has been full, for suspendAfter, and resumes when neither was so for resumeAfter.
	// Each move of a cell loses the state of its old scheduler.
	suspendAfter = 700 * time.Millisecond
	resumeAfter  = 5 * time.Second
)

// Duties decides whether a gateway schedules for others while it is overloaded by its own
// callers. It is not safe for concurrent use.
type Duties struct {
	suspended      bool
	disagreesSince time.Time // start of the observations that contradict suspended; zero while they agree
}

// Observe takes the share of requests that is served here and the utilization of the link. It
// reports whether the gateway schedules for others, and whether that has changed.
func (d *Duties) Observe(now time.Time, share, link float64) (keeps, changed bool) {
	if (share < 1 || Full(link)) == d.suspended {
		d.disagreesSince = time.Time{}
		return !d.suspended, false
	}
	if d.disagreesSince.IsZero() {
		d.disagreesSince = now
	}
	delay := suspendAfter
	if d.suspended {
		delay = resumeAfter
	}
	if now.Sub(d.disagreesSince) < delay {
		return !d.suspended, false
	}
	d.suspended, d.disagreesSince = !d.suspended, time.Time{}
	return !d.suspended, true
}
