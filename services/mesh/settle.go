// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"time"

	"madderway/core/entry"
)

// A gateway that has just started holds requests back while it learns of the others: after the
// loss of all gateways each would schedule alone and have cached prompts read again.
const (
	// Time after the start until another gateway must be known.
	settleAlone = 500 * time.Millisecond
	// Time after a membership change in which another one is likely to follow.
	settleChange = 150 * time.Millisecond
	// Longest time after the start.
	settleMost = 800 * time.Millisecond
)

// settleUntil returns until when requests are held back, as of a membership change or, before the
// first one, of the start.
func settleUntil(started, changed time.Time) time.Time {
	if changed.IsZero() {
		return started.Add(settleAlone)
	}
	until, most := changed.Add(settleChange), started.Add(settleMost)
	if until.After(most) {
		return most
	}
	return until
}

// settle tells the entry side of a membership change shortly after the start.
func (l *Loop) settle(now, changed time.Time) {
	if now.Sub(l.startedAt) < settleMost {
		l.stepEntry(now, entry.SettleSeen{Until: settleUntil(l.startedAt, changed)})
	}
}
