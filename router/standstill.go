// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package router

import (
	"sync/atomic"
	"time"

	"madderway/modules/clock"
)

const (
	// minStandstill is how late the process must be to have stood still: stopped, starved,
	// or on a machine that was suspended. Peers suspect a member after 1.2 s of silence; an
	// overloaded process is late by some hundred milliseconds.
	minStandstill = 1500 * time.Millisecond
	// maxResync is how long after a standstill the gateway waits at most to hear anew what
	// holds, where neither the store nor a peer answers. They answer within half a second.
	maxResync = 2 * time.Second
)

// standstill remembers when the process last stood still.
type standstill struct {
	count atomic.Uint64
	endAt atomic.Pointer[time.Time]
}

// noteLateness takes how noteLateness the process has come to its work. All that keeps a process from running
// ends here: a signal, want of processor time, a suspended machine.
func (g *Gateway) noteLateness(lateness time.Duration) {
	clock.System{}.CheckSuspension() // a step of the time of day may have hidden a suspension
	if lateness >= minStandstill {
		g.noteStandstill(lateness)
	}
	g.guard.Late(lateness)
}

// noteStandstill makes the gateway take nothing for true that it has not heard since: it is not
// ready and refuses what comes until the configuration and the targets are known to be those
// of now, and idle connections to targets, which these may have forgotten, are closed. What was
// placed before is not sent any more (services/forward), and timers and deadlines have counted
// it (modules/clock).
func (g *Gateway) noteStandstill(d time.Duration) {
	now := g.clock.Now()
	g.standstill.endAt.Store(&now)
	g.standstill.count.Add(1)
	g.log.Warn("Process stood still.", "for", d.Round(time.Millisecond), "suspended since the start", clock.Suspended().Round(time.Millisecond))
	g.pool.CloseIdle()
}

// resyncing tells that the process has stood still and has not heard anew what holds.
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
