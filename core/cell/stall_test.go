// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"testing"
	"time"

	"madderway/models/routing"
)

func promptWithBeginning(own uint64) *routing.Prompt {
	return &routing.Prompt{Tokens: 4000, MaxOutput: 10, Parts: []routing.PromptPart{{ID: 1 << 40, Tokens: 3000}, {ID: own, Tokens: 1000}}}
}

func smallTargets() TargetsSeen {
	ev := targetsNamed(handoverRules, "small")
	ev.Targets[0].CacheTokens = 100
	return ev
}

// occupy gives each target a run that does not end.
func occupy(c *Cell) {
	for _, t := range c.targets {
		t.engine.Start(epoch, ownPrompt(1, 40_000), 10)
	}
}

// Guards against a stall that nobody is told of, and against alarms while requests are placed,
// no target is idle or none may serve the requests.
func TestStallIsReported(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(*Cell)
		stalled bool
	}{
		"caches never reported":    {func(c *Cell) { c.cachesDue = epoch.Add(time.Hour) }, true},
		"requests placed":          {func(*Cell) {}, false},
		"no target":                {func(c *Cell) { c.Step(epoch, TargetsSeen{Rules: handoverRules}) }, false},
		"memory too small":         {func(c *Cell) { c.Step(epoch, smallTargets()) }, false},
		"leaving":                  {func(c *Cell) { c.targets["a"].info.Leaving, c.targets["b"].info.Leaving = true, true }, false},
		"all targets run requests": {occupy, false},
		"other version":            {func(c *Cell) { c.targets["a"].info.Software, c.targets["b"].info.Software = "v2", "v2" }, false},
	} {
		cell := New()
		cell.Step(epoch, targetsNamed(handoverRules, "a", "b"))
		c.prepare(cell)
		var st Stall
		stalled := false
		for i := range 40 {
			now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
			a := AskSeen{"e", Ask{Bound: name == "other version", Software: "v1", ID: RequestID(i + 1), Account: "a", Prompt: promptWithBeginning(uint64(i + 1)), Hold: 90 * time.Millisecond}}
			cell.Step(now, a)
			if s, now := cell.Stalled(); now {
				st, stalled = s, true
			}
		}
		if stalled != c.stalled {
			t.Errorf("%s: stalled %t, want %t: %+v", name, stalled, c.stalled, st)
		}
		if stalled && (st.Idle != 2 || st.Waiting == 0 || st.For < stallAfter || st.Target == "" || st.Speed <= 0) {
			t.Errorf("%s: got %+v, want two idle targets and their estimates", name, st)
		}
	}
}
