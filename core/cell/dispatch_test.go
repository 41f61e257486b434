// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"testing"
	"time"

	"madderway/core/batch"
	"madderway/models/routing"
)

// crowd returns a cell of busy targets before which requests of many accounts
// wait, and the number of the next request.
func crowd(t *testing.T, waiting int) (*Cell, RequestID) {
	t.Helper()
	c := New()
	ev := TargetsSeen{TokensPerSecond: 40_000}
	for _, id := range []string{"a", "b", "c", "d"} {
		ev.Targets = append(ev.Targets, TargetInfo{ID: id, Slots: 8, CacheTokens: 500_000})
	}
	c.Step(epoch, ev)
	next := RequestID(0)
	for c.Waiting() < waiting {
		if next++; next > RequestID(10*waiting) {
			t.Fatalf("only %d of %d asks wait", c.Waiting(), next)
		}
		c.Step(epoch, crowdAsk(next))
	}
	return c, next
}

func crowdAsk(id RequestID) AskSeen {
	p := &routing.Prompt{Tokens: 8_000, MaxOutput: 50, Parts: []routing.PromptPart{{ID: uint64(id % 40), Tokens: 6_000}, {ID: 1000 + uint64(id), Tokens: 2_000}}}
	return AskSeen{"e", Ask{ID: id, Account: string(rune('a' + id%20)), Prompt: p, Hold: 20 * time.Second, Objective: time.Minute}}
}

// However many requests wait, a step looks for a target at most once for each:
// what it places takes room away and makes none.
func TestStepLooksOnceForEachRequest(t *testing.T) {
	c, next := crowd(t, 300)
	for i := range 20 {
		now := epoch.Add(time.Duration(i+1) * 400 * time.Millisecond)
		for key, r := range c.runs {
			if r.target.info.ID != "a" {
				continue // the others stay busy, and what waits for them is passed by
			}
			if !r.model.Begun() {
				c.Apply(now, BeganSeen{key.entry, key.id})
			}
			if i%2 == 0 {
				c.Apply(now, EndedSeen{key.entry, key.id, batch.OutcomeDone})
			}
		}
		waiting, before, placed := c.Waiting(), c.counts.Tried, c.counts.Placed
		c.Decide(now)
		if tried := c.counts.Tried - before; tried > uint64(waiting) {
			t.Fatalf("step %d looked %d times for targets with %d waiting, placed %d", i, tried, waiting, c.counts.Placed-placed)
		}
	}
	if c.counts.Placed < 20 {
		t.Errorf("only %d of %d were placed", c.counts.Placed, next)
	}
}

// While no target takes anything, nothing is looked for.
func TestBusyTargetsCostNothing(t *testing.T) {
	c, next := crowd(t, 150)
	before := c.counts.Tried
	for range 50 {
		next++
		c.Step(epoch, crowdAsk(next))
	}
	if tried := c.counts.Tried - before; tried != 0 {
		t.Errorf("%d looks for targets that are all busy", tried)
	}
}

// A request whose time to wait is over is placed where a target has just become
// free, not refused.
func TestFreeTargetIsUsedBeforeRefusing(t *testing.T) {
	c := New()
	c.Step(epoch, TargetsSeen{TokensPerSecond: 40_000, Targets: []TargetInfo{{ID: "t", Slots: 1, CacheTokens: 500_000}}})
	c.Step(epoch, crowdAsk(1))
	ask := crowdAsk(2)
	ask.Ask.Hold, ask.Ask.Objective = 100*time.Millisecond, 180*time.Millisecond
	c.Step(epoch, ask)
	now := epoch.Add(110 * time.Millisecond)
	c.Apply(now, BeganSeen{"e", 1})
	actions := c.Step(now, EndedSeen{"e", 1, batch.OutcomeDone})
	if _, ok := placed(actions, 2); !ok || len(actions) != 1 {
		t.Errorf("%+v, want a place at the target that is free", actions)
	}
	if n := c.counts; n.Refused != 0 || n.RefusedWithRoom != 0 {
		t.Errorf("%+v", n)
	}
}
