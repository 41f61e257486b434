// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"testing"
	"time"

	"madderway/core/batch"
	"madderway/models/routing"
)

// placed returns the placement of a request, if there is one.
func placed(actions []Action, id RequestID) (Place, bool) {
	for _, a := range actions {
		if p, ok := a.(Place); ok && p.ID == id {
			return p, true
		}
	}
	return Place{}, false
}

func plainAsk(id RequestID, account string, tokens int) AskSeen {
	p := &routing.Prompt{Tokens: tokens, MaxOutput: 1, Parts: []routing.PromptPart{{ID: 1 << 32, Tokens: 1}, {ID: uint64(id), Tokens: tokens - 1}}}
	return AskSeen{"e", Ask{ID: id, Account: account, Prompt: p, Hold: 10 * time.Second, Objective: time.Minute}}
}

// queueOrder returns the order in which a target with one slot gets requests that arrive a
// millisecond apart.
func queueOrder(t *testing.T, asks []AskSeen) []RequestID {
	t.Helper()
	c := New()
	c.Step(epoch, TargetsSeen{TokensPerSecond: 10_000, Targets: []TargetInfo{{ID: "t", Slots: 1, CacheTokens: 1_000_000}}})
	c.Step(epoch, plainAsk(1, "a", 10))
	for i, ask := range asks {
		c.Step(epoch.Add(time.Duration(i)*time.Millisecond), ask)
	}
	var order []RequestID
	running := RequestID(1)
	for i := range asks {
		now := epoch.Add(time.Duration(i+1) * time.Second)
		actions := c.Step(now, EndedSeen{"e", running, batch.OutcomeDone})
		for _, a := range actions {
			if p, ok := a.(Place); ok {
				order = append(order, p.ID)
				running = p.ID
			}
		}
		c.Step(now.Add(time.Millisecond), BeganSeen{"e", running})
	}
	return order
}

// Guards against starvation of long requests by short ones of the same account.
func TestShortRequestsGoFirstWithAging(t *testing.T) {
	got := queueOrder(t, []AskSeen{plainAsk(2, "a", 8000), plainAsk(3, "a", 50), plainAsk(4, "a", 3000)})
	if len(got) != 3 || got[0] != 3 || got[1] != 4 || got[2] != 2 {
		t.Errorf("order %v, want the shortest first", got)
	}
	// Only requests within sizeAging times its prefill time go before a long request.
	c := New()
	c.Step(epoch, TargetsSeen{TokensPerSecond: 10_000, Targets: []TargetInfo{{ID: "t", Slots: 1, CacheTokens: 1_000_000}}})
	c.Step(epoch, plainAsk(1, "a", 10))
	c.Step(epoch, plainAsk(2, "a", 5000)) // half a second of prefill
	late := epoch.Add(sizeAging*500*time.Millisecond + 100*time.Millisecond)
	c.Step(late, plainAsk(3, "a", 50))
	if _, ok := placed(c.Step(late, EndedSeen{"e", 1, batch.OutcomeDone}), 2); !ok {
		t.Error("a short request that arrived after the aging time was placed before the long one")
	}
}

func TestRankPrecedesSize(t *testing.T) {
	urgent := plainAsk(2, "a", 8000)
	urgent.Ask.Rank = 0
	other := plainAsk(3, "a", 50)
	other.Ask.Rank = 1
	if got := queueOrder(t, []AskSeen{urgent, other}); len(got) != 2 || got[0] != 2 {
		t.Errorf("order %v, want the urgent request first", got)
	}
}

func TestFairWindowSetsHalfLife(t *testing.T) {
	for _, window := range []time.Duration{0, time.Second} {
		c := New()
		c.Step(epoch, TargetsSeen{TokensPerSecond: 10_000, FairWindow: window, Targets: []TargetInfo{{ID: "t", Slots: 1, CacheTokens: 1000}}})
		c.account("a").charge(epoch, 1000)
		half := halfLifeOf(window)
		if window == 0 {
			half = halfLifeOf(defaultFairWindow)
		}
		a := c.account("a")
		a.decay(epoch.Add(half))
		if a.level < 499 || a.level > 501 {
			t.Errorf("window %v: level %.0f after %v, want 500", window, a.level, half)
		}
	}
}

// Guards against refusing a request that would be in time because all targets have
// failures.
func TestErrorPenaltyDoesNotCauseRefusal(t *testing.T) {
	c := New()
	c.Step(epoch, TargetsSeen{TokensPerSecond: 40_000, Targets: []TargetInfo{
		{ID: "keeper", Slots: 8, CacheTokens: 500_000}, {ID: "free", Slots: 8, CacheTokens: 500_000},
	}})
	c.Step(epoch, CachedPartsSeen{Target: "keeper", At: epoch, Parts: []routing.PromptPart{{ID: 7, Tokens: 2_400}}})
	for _, target := range c.sorted {
		for range 20 {
			target.engine.End(epoch, target.engine.Start(epoch, &routing.Prompt{Tokens: 1}, 1), batch.OutcomeFailed)
		}
	}
	c.targets["keeper"].engine.Start(epoch, &routing.Prompt{Tokens: 5_200}, 1)
	p := &routing.Prompt{Tokens: 2_500, MaxOutput: 1, Parts: []routing.PromptPart{{ID: 7, Tokens: 2_400}, {ID: 8, Tokens: 100}}}
	ask := AskSeen{"e", Ask{ID: 1, Account: "x", Prompt: p, Hold: 20 * time.Millisecond, Objective: 300 * time.Millisecond}}
	if _, ok := placed(c.Step(epoch, ask), 1); ok {
		t.Fatal("placed at once, want it to wait for the target with the cached part")
	}
	actions := c.Step(epoch.Add(8*time.Millisecond), Tick{})
	if p, ok := placed(actions, 1); !ok || p.Target != "free" {
		t.Errorf("actions %+v, want a placement at the idle target", actions)
	}
}
