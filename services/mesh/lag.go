// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"time"

	"madderway/core/cell"
)

const (
	// tickTolerance is the delay of a tick that does not count as lag: timers fire slightly late.
	tickTolerance = 2 * time.Millisecond
	// standstillLag is the lag from which this process counts as having stood still.
	standstillLag = 200 * time.Millisecond
)

// expectTick sets the latest time of the next tick. New work can only make it earlier.
func (l *Loop) expectTick(now time.Time) {
	if due := now.Add(l.tickInterval()); due.Before(l.tickDue) {
		l.tickDue = due
	}
}

// tickLag returns the delay of the current tick. A process that was not scheduled by the system has
// not read its messages either.
func (l *Loop) tickLag(now time.Time) time.Duration {
	if l.tickDue.IsZero() {
		return 0
	}
	return max(now.Sub(l.tickDue)-tickTolerance, 0)
}

// observeStandstill tells the schedulers of a standstill, before the messages that came meanwhile.
func (l *Loop) observeStandstill(now time.Time) {
	lag := l.tickLag(now)
	if lag < standstillLag {
		return
	}
	l.log.Warn("Process stood still.", "lag", lag.Round(time.Millisecond), "cells", len(l.cells))
	for _, s := range l.cells {
		s.cell.Apply(now, cell.StandstillEnded{})
	}
}
