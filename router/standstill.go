// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package router

import (
	"sync/atomic"
	"time"

	"madderway/modules/clock"
)

const (
	// A longer delay counts as a standstill: the process was stopped, starved or suspended. It
	// exceeds the delays of an overloaded process and the 1.2 s after which peers suspect it.
	minStandstill = 1500 * time.Millisecond
	// Limit on the wait for fresh state after a standstill, for when neither the store nor a
	// peer answers.
	maxResync = 2 * time.Second
	// recentStandstill is the time after a standstill in which a signal may have come during it. The
	// process notices both within milliseconds, unless it is busy with what piled up.
	recentStandstill = time.Second
)

// standstill counts the standstills of the process and holds the end of the last one until the
// gateway has resynced.
type standstill struct {
	count atomic.Uint64
	endAt atomic.Pointer[time.Time]
	last  atomic.Pointer[pastStandstill]
}

// pastStandstill is a standstill that has ended.
type pastStandstill struct {
	endAt  time.Time
	length time.Duration
}

// lastEnded returns the length of the last standstill if it ended shortly before now, or else 0.
func (s *standstill) lastEnded(now time.Time) time.Duration {
	last := s.last.Load()
	if last == nil || now.Sub(last.endAt) > recentStandstill {
		return 0
	}
	return last.length
}

// noteLateness records how late the process was scheduled, for whatever reason: a signal, lack
// of processor time or a suspended machine.
func (g *Gateway) noteLateness(lateness time.Duration) {
	clock.System{}.CheckSuspension() // a clock step may have hidden a suspension
	if lateness >= minStandstill {
		g.noteStandstill(lateness)
	}
	g.guard.ObserveLateness(lateness)
	g.collector.Adjust(g.clock.Now())
}

// noteStandstill makes the gateway distrust its state: it refuses requests until configuration and
// targets are fresh, and closes idle connections, which the targets may have dropped. Requests
// placed before are not sent any more (services/forward); deadlines count the time (modules/clock).
func (g *Gateway) noteStandstill(d time.Duration) {
	now := g.clock.Now()
	g.standstill.endAt.Store(&now)
	g.standstill.last.Store(&pastStandstill{endAt: now, length: d})
	g.standstill.count.Add(1)
	g.log.Warn("Process was stalled or suspended.", "for", d.Round(time.Millisecond), "suspended_total", clock.Suspended().Round(time.Millisecond))
	g.origins.NoteGap("standstill", 0)
	g.pool.CloseIdle()
}

// resyncing reports whether state has not been refreshed since the last standstill.
func (g *Gateway) resyncing() bool {
	end := g.standstill.endAt.Load()
	if end == nil {
		return false
	}
	if g.clock.Now().Sub(*end) < maxResync && !g.follow.FreshSince(*end) {
		return true
	}
	g.standstill.endAt.CompareAndSwap(end, nil)
	return false
}
