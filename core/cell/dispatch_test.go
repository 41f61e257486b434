// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"testing"
	"time"

	"madderway/core/batch"
	"madderway/models/routing"
)

// busyCell returns a cell of busy targets with waiting requests of many accounts, and the
// last request ID.
func busyCell(t *testing.T, waiting int) (*Cell, RequestID) {
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
			t.Fatalf("only %d of %d requests wait", c.Waiting(), next)
		}
		c.Step(epoch, longAsk(next))
	}
	return c, next
}

func longAsk(id RequestID) AskSeen {
	p := &routing.Prompt{Tokens: 8_000, MaxOutput: 50, Parts: []routing.PromptPart{{ID: uint64(id % 40), Tokens: 6_000}, {ID: 1000 + uint64(id), Tokens: 2_000}}}
	return AskSeen{"e", Ask{ID: id, Account: string(rune('a' + id%20)), Prompt: p, Hold: 20 * time.Second, Objective: time.Minute}}
}

// Guards against decisions whose cost grows faster than the number of waiting requests.
func TestDecisionTriesEachRequestOnce(t *testing.T) {
	c, next := busyCell(t, 300)
	for i := range 20 {
		now := epoch.Add(time.Duration(i+1) * 400 * time.Millisecond)
		for key, r := range c.runs {
			if r.target.info.ID != "a" {
				continue // the other targets stay busy
			}
			if !r.engineRun.Begun() {
				c.Apply(now, BeganSeen{key.entry, key.id})
			}
			if i%2 == 0 {
				c.Apply(now, EndedSeen{key.entry, key.id, batch.OutcomeDone})
			}
		}
		waiting, before, placed := c.Waiting(), c.counts.Tried, c.counts.Placed
		c.Decide(now)
		if tried := c.counts.Tried - before; tried > uint64(waiting) {
			t.Fatalf("step %d: %d tries with %d waiting, placed %d", i, tried, waiting, c.counts.Placed-placed)
		}
	}
	if c.counts.Placed < 20 {
		t.Errorf("only %d of %d requests were placed, want at least 20", c.counts.Placed, next)
	}
}

func TestNoTriesWhileAllTargetsAreBusy(t *testing.T) {
	c, next := busyCell(t, 150)
	before := c.counts.Tried
	for range 50 {
		next++
		c.Step(epoch, longAsk(next))
	}
	if tried := c.counts.Tried - before; tried != 0 {
		t.Errorf("%d tries while all targets are busy, want none", tried)
	}
}

// Guards against refusing an overdue request in the decision that could place it.
func TestOverdueRequestUsesFreedTarget(t *testing.T) {
	c := New()
	c.Step(epoch, TargetsSeen{TokensPerSecond: 40_000, Targets: []TargetInfo{{ID: "t", Slots: 1, CacheTokens: 500_000}}})
	c.Step(epoch, longAsk(1))
	ask := longAsk(2)
	ask.Ask.Hold, ask.Ask.Objective = 100*time.Millisecond, 180*time.Millisecond
	c.Step(epoch, ask)
	now := epoch.Add(110 * time.Millisecond)
	c.Apply(now, BeganSeen{"e", 1})
	actions := c.Step(now, EndedSeen{"e", 1, batch.OutcomeDone})
	if _, ok := placed(actions, 2); !ok || len(actions) != 1 {
		t.Errorf("actions %+v, want only a placement at the free target", actions)
	}
	if n := c.counts; n.Refused != 0 || n.RefusedWithRoom != 0 {
		t.Errorf("counts %+v, want no refusals", n)
	}
}
