// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package overload

import "time"

// maxBurst is the work, in seconds, that may be accepted beyond what the process can do meanwhile. A
// flood that begins is not seen by the lateness of the process before its first requests are accepted,
// and each of them costs until its response has ended.
const maxBurst = 0.1

// burst measures accepted work that is not done yet, by the estimated costs.
type burst struct {
	work      float64 // in seconds of elapsed time
	updatedAt time.Time
}

// add counts the work of an accepted request.
func (b *burst) add(now time.Time, work float64) {
	b.drain(now)
	b.work += work
}

func (b *burst) drain(now time.Time) {
	if since := now.Sub(b.updatedAt); since > 0 {
		b.work = max(b.work-maxUtilization*since.Seconds(), 0)
		b.updatedAt = now
	}
}

// Bursting reports whether requests come faster than this process can serve them, so that some
// are handed over.
func (g *Governor) Bursting(now time.Time) bool {
	g.burst.drain(now)
	return g.canHandOver && g.burst.work > maxBurst
}
