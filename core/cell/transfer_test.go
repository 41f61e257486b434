// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"testing"
	"time"

	"madderway/core/batch"
	"madderway/models/routing"
)

// fastLinks copies a token in a thousandth of its prefill time.
var fastLinks = &routing.Transfer{TokenBytes: 25, BytesPerSecond: 1e9}

// transferCell returns a cell of three targets with one slot each: keeper has part 7 and
// no free slot, near is in its data hall, far is not.
func transferCell(links *routing.Transfer) *Cell {
	c := New()
	c.Step(epoch, TargetsSeen{TokensPerSecond: 40_000, Transfer: links, Targets: []TargetInfo{
		{ID: "far", Slots: 1, CacheTokens: 500_000, DataHall: "b"},
		{ID: "keeper", Slots: 1, CacheTokens: 500_000, DataHall: "a"},
		{ID: "near", Slots: 1, CacheTokens: 500_000, DataHall: "a"},
	}})
	c.Step(epoch, CachedPartsSeen{Target: "keeper", At: epoch, Parts: []routing.PromptPart{{ID: 7, Tokens: 8_000}}})
	c.Step(epoch, InventorySeen{"e", []Held{{ID: 1, Target: "keeper", Prompt: transferPrompt(1000), Begun: true}}})
	return c
}

func transferPrompt(own uint64) *routing.Prompt {
	return &routing.Prompt{Tokens: 8_500, MaxOutput: 10, Parts: []routing.PromptPart{{ID: 7, Tokens: 8_000}, {ID: own, Tokens: 500}}}
}

func askTransfer(c *Cell, at time.Duration, id RequestID) (Place, bool) {
	ask := Ask{ID: id, Account: "x", Prompt: transferPrompt(1000 + uint64(id)), Hold: 200 * time.Millisecond, Objective: 800 * time.Millisecond}
	for _, a := range c.Step(epoch.Add(at), AskSeen{"e", ask}) {
		if p, ok := a.(Place); ok {
			return p, true
		}
	}
	return Place{}, false
}

func TestPrefixIsCopiedFromBusyHolder(t *testing.T) {
	c := transferCell(fastLinks)
	p, ok := askTransfer(c, time.Second, 2)
	if !ok || p.Target != "near" || p.Source != "keeper" || p.CopiedTokens != 8_000 || p.RereadTokens != 0 {
		t.Fatalf("placed %+v %v, want target near with 8000 tokens copied from keeper", p, ok)
	}
	if n := c.counts; n.Copies != 1 || n.Copied != 8_000 {
		t.Errorf("counts %+v, want 1 copy of 8000 tokens", n)
	}
}

// Covers targets that do not copy, and links on which copying takes as long as the prefill.
func TestNoCopyWithoutGain(t *testing.T) {
	slow := &routing.Transfer{TokenBytes: 25_000, BytesPerSecond: 1e9} // as fast as the prefill
	for name, links := range map[string]*routing.Transfer{"none": nil, "slow": slow} {
		c := transferCell(links)
		if p, ok := askTransfer(c, time.Second, 2); ok && p.Source != "" {
			t.Errorf("links %s: placed %+v, want no source", name, p)
		}
		if n := c.counts.Copies; n != 0 {
			t.Errorf("links %s: %d copies, want none", name, n)
		}
	}
}

func TestUnavailableTargetIsNoSource(t *testing.T) {
	cases := map[string]func(c *Cell){
		"leaving": func(c *Cell) {
			var targets []TargetInfo
			for _, t := range c.sorted {
				info := t.info
				info.Leaving = info.ID == "keeper"
				targets = append(targets, info)
			}
			c.Step(epoch, TargetsSeen{TokensPerSecond: 40_000, Transfer: fastLinks, Targets: targets})
		},
		"unreachable": func(c *Cell) {
			c.Step(epoch.Add(900*time.Millisecond), EndedSeen{"e", 1, batch.OutcomeNotSent})
		},
		"removed": func(c *Cell) {
			c.Step(epoch, TargetsSeen{TokensPerSecond: 40_000, Transfer: fastLinks, Targets: []TargetInfo{{ID: "near", Slots: 1, CacheTokens: 500_000}}})
		},
	}
	for name, disable := range cases {
		c := transferCell(fastLinks)
		disable(c)
		if p, ok := askTransfer(c, time.Second, 2); !ok || p.Source != "" {
			t.Errorf("%s: placed %+v %v, want a placement without a source", name, p, ok)
		}
	}
}

func TestPartBeingPrefilledIsNotCopied(t *testing.T) {
	c := New()
	c.Step(epoch, TargetsSeen{TokensPerSecond: 40_000, Transfer: fastLinks, Targets: []TargetInfo{
		{ID: "a", Slots: 1, CacheTokens: 500_000}, {ID: "b", Slots: 1, CacheTokens: 500_000}, {ID: "c", Slots: 1, CacheTokens: 500_000},
	}})
	first, _ := askTransfer(c, 0, 1)
	second, ok := askTransfer(c, 130*time.Millisecond, 2) // the first is still being prefilled
	if ok && second.Source != "" {
		t.Fatalf("placed %+v with a copy from %s, which is still prefilling", second, first.Target)
	}
	c.Step(epoch.Add(250*time.Millisecond), BeganSeen{"e", 1})
	if third, ok := askTransfer(c, 260*time.Millisecond, 3); !ok || third.Source != first.Target {
		t.Errorf("placed %+v %v, want a copy from %s", third, ok, first.Target)
	}
}

// Guards against copies over a link that is in use for longer than the prefill takes.
func TestTransfersQueueOnLink(t *testing.T) {
	c := transferCell(fastLinks)
	keeper := c.targets["keeper"]
	keeper.linkFreeAt = epoch.Add(5 * time.Second)
	if p, ok := askTransfer(c, time.Second, 2); ok && p.Source != "" {
		t.Errorf("placed %+v, want no copy over a link in use for four seconds", p)
	}
	c.Step(epoch.Add(1100*time.Millisecond), WithdrawSeen{"e", 2})
	keeper.linkFreeAt = epoch
	p, ok := askTransfer(c, 2*time.Second, 3)
	if !ok || p.Source != "keeper" || !keeper.linkFreeAt.After(epoch.Add(2*time.Second)) {
		t.Errorf("placed %+v %v, link free at %v; want a copy that reserves the link", p, ok, keeper.linkFreeAt.Sub(epoch))
	}
}

func TestHotPrefixIsRarelyPrefilled(t *testing.T) {
	read := func(links *routing.Transfer) int {
		s := newSim(9, 45_000, 570_000)
		s.links = links
		s.sendTargets()
		s.run(20*time.Second, []*simAccount{{name: "one", perSecond: 60, prefixes: 6, shared: 13_000, own: 3_700, base: 1}})
		r := s.total()
		if r.refused > r.asked/20 {
			t.Errorf("links %v: %d of %d requests refused, want at most one in 20", links, r.refused, r.asked)
		}
		return r.sharedPrefilled
	}
	alone, shared := read(nil), read(fastLinks)
	t.Logf("shared tokens prefilled: %d alone, %d with transfers", alone, shared)
	// Requests that arrive during the first prefill of a prefix compute it too.
	if shared > 3*6*13_000 || float64(shared) > 0.7*float64(alone) {
		t.Errorf("%d shared tokens prefilled with transfers, %d without, want at most three times %d", shared, alone, 6*13_000)
	}
}

// A request spills to a target with prefill time booked only if its prefix is copied there
// cheaply.
func TestSpillDependsOnCopyCost(t *testing.T) {
	spills := func(links *routing.Transfer) bool {
		c := New()
		c.Step(epoch, TargetsSeen{TokensPerSecond: 40_000, Transfer: links, Targets: []TargetInfo{
			{ID: "keeper", Slots: 8, CacheTokens: 500_000}, {ID: "other", Slots: 8, CacheTokens: 500_000},
		}})
		c.Step(epoch, CachedPartsSeen{Target: "keeper", At: epoch, Parts: []routing.PromptPart{{ID: 7, Tokens: 8_000}}})
		keeper, other := c.targets["keeper"].engine, c.targets["other"].engine
		keeper.Start(epoch, &routing.Prompt{Tokens: 6_000}, 1) // 150 ms, more than backlogLimit
		for range 6 {
			other.Adopt(epoch, &routing.Prompt{Tokens: 1}, 1, true) // running requests make it the second choice
		}
		other.Start(epoch, &routing.Prompt{Tokens: 3_900}, 1) // 98 ms
		ask := Ask{ID: 2, Account: "x", Prompt: transferPrompt(2000), Hold: 20 * time.Millisecond, Objective: 800 * time.Millisecond}
		actions := c.Step(epoch, AskSeen{"e", ask})
		if _, ok := placed(actions, 2); ok {
			t.Fatal("placed at once, want it to wait for the keeper")
		}
		p, ok := placed(c.Step(epoch.Add(8*time.Millisecond), Tick{}), 2)
		return ok && p.Target == "other"
	}
	expensive := &routing.Transfer{TokenBytes: 2500, BytesPerSecond: 1e9} // 20 ms for 8000 tokens
	if !spills(fastLinks) {
		t.Error("no spill, want one to a nearly free target with a cheap copy")
	}
	if spills(expensive) || spills(nil) {
		t.Error("spilled, want none if the copy is expensive or missing")
	}
}
