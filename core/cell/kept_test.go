// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"testing"
	"time"

	"madderway/core/place"
	"madderway/models/routing"
)

// A scheduler that takes a cell over sends a prompt to the engine that says it
// keeps its beginning, not to where it would have begun itself.
func TestLearnedKeeperIsPreferred(t *testing.T) {
	p := &routing.Prompt{Tokens: 13_500, MaxOutput: 10, Parts: []routing.PromptPart{{ID: 7, Tokens: 13_000}, {ID: 8, Tokens: 500}}}
	keeper, home := "a", "b"
	if place.Score("a", p.Affinity()) > place.Score("b", p.Affinity()) {
		keeper, home = home, keeper
	}
	for _, learned := range []bool{false, true} {
		c := New()
		c.Step(epoch, TargetsSeen{TokensPerSecond: 40_000, Targets: []TargetInfo{{ID: "a", Slots: 8, CacheTokens: 500_000}, {ID: "b", Slots: 8, CacheTokens: 500_000}}})
		if learned {
			c.Step(epoch, CachedPartsSeen{Target: keeper, At: epoch, Parts: p.Parts[:1]})
			c.Step(epoch, CachedPartsSeen{Target: "gone", At: epoch, Parts: p.Parts[:1]})
		}
		actions := c.Step(epoch.Add(time.Second), AskSeen{"e", Ask{ID: 1, Account: "x", Prompt: p, Hold: 200 * time.Millisecond, Objective: 800 * time.Millisecond}})
		placed, ok := actions[0].(Place)
		want, anew := home, 13_000
		if learned {
			want, anew = keeper, 0
		}
		if !ok || placed.Target != want || placed.Anew != anew {
			t.Errorf("learned %v: %+v, want %s and %d tokens anew", learned, actions[0], want, anew)
		}
	}
}

// A request waits on behind a short queue and is refused behind a long one.
func TestWaitsOnOnlyBehindAShortQueue(t *testing.T) {
	outcome := func(queued int) (refused int) {
		c := New()
		c.Step(epoch, TargetsSeen{TokensPerSecond: 40_000, Targets: []TargetInfo{{ID: "a", Slots: 64, CacheTokens: 900_000}}})
		for id := range RequestID(queued) {
			p := &routing.Prompt{Tokens: 6_000, MaxOutput: 10, Parts: []routing.PromptPart{{ID: 100 + uint64(id), Tokens: 6_000}}}
			c.Step(epoch.Add(time.Duration(id)), AskSeen{"e", Ask{ID: id, Account: "x", Prompt: p, Hold: 200 * time.Millisecond, Objective: 800 * time.Millisecond}})
		}
		for _, a := range c.Step(epoch.Add(210*time.Millisecond), Tick{}) {
			if _, ok := a.(Refuse); ok {
				refused++
			}
		}
		return refused
	}
	if n := outcome(3); n != 0 {
		t.Errorf("%d of 3 refused though all will be read in half a second", n)
	}
	if n := outcome(20); n < 10 {
		t.Errorf("%d of 20 refused though the last will be read in three seconds", n)
	}
}
