// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"strings"
	"testing"
	"time"

	"madderway/core/cell"
	"madderway/models/routing"
)

// Guards against a stalled scheduler that no metric shows, and against a stall that is counted after
// its last decision.
func TestStalledSecondsAreCounted(t *testing.T) {
	l := handoverLoop("g1")
	l.traffic = newTraffic()
	l.promised = promiseCounters{l.traffic.set}
	s := l.schedulerOf(handoverStart, "s/0")
	s.cell.Apply(handoverStart, cell.CachedPartsAsked{Until: handoverStart.Add(time.Hour)})
	prompt := &routing.Prompt{Tokens: 900, Parts: []routing.PromptPart{{ID: 1, Tokens: 800}, {ID: 2, Tokens: 100}}}
	for i := range 60 {
		now := handoverStart.Add(time.Duration(i) * 100 * time.Millisecond)
		if i < 45 {
			s.cell.Step(now, cell.AskSeen{Entry: "g2", Ask: cell.Ask{ID: cell.RequestID(i + 1), Account: "a", Prompt: prompt, Hold: 50 * time.Millisecond}})
		}
		if i%10 == 9 {
			l.logCellStats(now)
		}
	}
	var out strings.Builder
	l.traffic.set.WritePrometheus(&out)
	if want := "madderway_gateway_stalled_seconds_total 4\n"; !strings.Contains(out.String(), want) {
		t.Errorf("metrics %q, want %q", out.String(), want)
	}
}
