// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import "time"

// tickTolerance is how late a tick may come without a word: timers fire slightly
// late.
const tickTolerance = 2 * time.Millisecond

// expectTick notes when the next tick should come; work that has just come up
// can only bring that forward.
func (l *Loop) expectTick(now time.Time) {
	if due := now.Add(l.tickInterval()); due.Before(l.tickDue) {
		l.tickDue = due
	}
}

// tickLag returns how late a tick is: a process that was not given the processor
// has not read what it was sent either.
func (l *Loop) tickLag(now time.Time) time.Duration {
	if l.tickDue.IsZero() {
		return 0
	}
	return max(now.Sub(l.tickDue)-tickTolerance, 0)
}
