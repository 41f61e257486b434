// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"testing"
	"time"

	"madderway/core/cell"
	"madderway/models/routing"
)

// Guards against schedulers that take the standstill of their own process for slow targets.
func TestStandstillDoesNotChangeSpeeds(t *testing.T) {
	for _, stood := range []time.Duration{50 * time.Millisecond, 2 * time.Second} {
		l := handoverLoop("g1")
		before := speedAt(l, handoverStart)
		s := l.schedulerOf(handoverStart, "s/0")
		for id := range cell.RequestID(2) {
			prompt := &routing.Prompt{Tokens: 2000, Parts: []routing.PromptPart{{ID: uint64(id + 1), Tokens: 2000}}}
			s.cell.Step(handoverStart, cell.AskSeen{Entry: "g2", Ask: cell.Ask{ID: id, Account: "a", Prompt: prompt, Hold: time.Second}})
		}
		l.tickDue = handoverStart.Add(10 * time.Millisecond)
		now := l.tickDue.Add(stood)
		l.observeStandstill(now)
		s.cell.Step(now, cell.BeganSeen{Entry: "g2", ID: 0})
		s.cell.Step(now.Add(20*time.Millisecond), cell.BeganSeen{Entry: "g2", ID: 1})
		if changed := speedAt(l, now) != before; changed != (stood < standstillLag) {
			t.Errorf("lag of %v: speed changed: %t", stood, changed)
		}
	}
}
