// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"testing"
	"time"

	"madderway/core/batch"
	"madderway/models/routing"
)

// fastLinks copy a token in a thousandth of the time that reading it takes.
var fastLinks = &routing.Transfer{TokenBytes: 25, BytesPerSecond: 1e9}

// transferCell has a keeper of part 7 whose slots are all taken, and two other
// engines, one in the keeper's data hall. Each has one slot.
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

// A prompt whose keeper is busy goes to another engine, which copies what the
// keeper has; the nearer of two.
func TestBeginningIsCopiedWhereItsKeeperIsBusy(t *testing.T) {
	c := transferCell(fastLinks)
	p, ok := askTransfer(c, time.Second, 2)
	if !ok || p.Target != "near" || p.Source != "keeper" || p.Copied != 8_000 || p.Anew != 0 {
		t.Fatalf("%+v %v, want near to copy 8000 tokens from the keeper", p, ok)
	}
	if n := c.counts; n.Copies != 1 || n.Copied != 8_000 {
		t.Errorf("%+v", n)
	}
}

// Engines that do not copy, and links on which copying takes about as long as
// reading, leave all as it was: no source is named.
func TestNothingIsCopiedWithoutGain(t *testing.T) {
	slow := &routing.Transfer{TokenBytes: 25_000, BytesPerSecond: 1e9} // as fast as reading
	for name, links := range map[string]*routing.Transfer{"none": nil, "slow": slow} {
		c := transferCell(links)
		if p, ok := askTransfer(c, time.Second, 2); ok && p.Source != "" {
			t.Errorf("%s: %+v", name, p)
		}
		if n := c.counts.Copies; n != 0 {
			t.Errorf("%s: %d copies", name, n)
		}
	}
}

// An engine that leaves, one that gives no sign and one that only begins to read
// are no sources.
func TestUnfitSourcesAreNotUsed(t *testing.T) {
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
		"gone": func(c *Cell) {
			c.Step(epoch, TargetsSeen{TokensPerSecond: 40_000, Transfer: fastLinks, Targets: []TargetInfo{{ID: "near", Slots: 1, CacheTokens: 500_000}}})
		},
	}
	for name, spoil := range cases {
		c := transferCell(fastLinks)
		spoil(c)
		if p, ok := askTransfer(c, time.Second, 2); !ok || p.Source != "" {
			t.Errorf("%s: %+v %v, want a place without a source", name, p, ok)
		}
	}
}

// What an engine is only about to read cannot be copied from it yet.
func TestPartBeingReadIsNotCopied(t *testing.T) {
	c := New()
	c.Step(epoch, TargetsSeen{TokensPerSecond: 40_000, Transfer: fastLinks, Targets: []TargetInfo{
		{ID: "a", Slots: 1, CacheTokens: 500_000}, {ID: "b", Slots: 1, CacheTokens: 500_000}, {ID: "c", Slots: 1, CacheTokens: 500_000},
	}})
	first, _ := askTransfer(c, 0, 1)
	second, ok := askTransfer(c, 130*time.Millisecond, 2) // the first is still being read
	if ok && second.Source != "" {
		t.Fatalf("%+v copies from %s, which still reads", second, first.Target)
	}
	c.Step(epoch.Add(250*time.Millisecond), BeganSeen{"e", 1})
	if third, ok := askTransfer(c, 260*time.Millisecond, 3); !ok || third.Source != first.Target {
		t.Errorf("%+v %v, want a copy from %s", third, ok, first.Target)
	}
}

// Transfers go one after another on a link: with the links of all keepers taken
// for long, an engine reads.
func TestTransfersTakeTurnsOnALink(t *testing.T) {
	c := transferCell(fastLinks)
	keeper := c.targets["keeper"]
	keeper.linkFree = epoch.Add(5 * time.Second)
	if p, ok := askTransfer(c, time.Second, 2); ok && p.Source != "" {
		t.Errorf("%+v: copied over a link that is taken for four seconds", p)
	}
	c.Step(epoch.Add(1100*time.Millisecond), WithdrawSeen{"e", 2})
	keeper.linkFree = epoch
	p, ok := askTransfer(c, 2*time.Second, 3)
	if !ok || p.Source != "keeper" || !keeper.linkFree.After(epoch.Add(2*time.Second)) {
		t.Errorf("%+v %v, link free %v", p, ok, keeper.linkFree.Sub(epoch))
	}
}

// Each engine reads or copies a beginning that all ask for; over fast links it is
// read seldom in the whole cell.
func TestHotBeginningIsSeldomRead(t *testing.T) {
	read := func(links *routing.Transfer) int {
		s := newSim(9, 45_000, 570_000)
		s.links = links
		s.layout()
		s.run(20*time.Second, []*simAccount{{name: "one", perSecond: 60, subjects: 6, shared: 13_000, own: 3_700, base: 1}})
		r := s.total()
		if r.refused > r.asked/20 {
			t.Errorf("links %v: %d of %d refused", links, r.refused, r.asked)
		}
		return r.sharedRead
	}
	alone, shared := read(nil), read(fastLinks)
	t.Logf("shared tokens read: %d alone, %d with transfers", alone, shared)
	// Requests that come while a beginning is read for the first time read it too.
	if shared > 3*6*13_000 || float64(shared) > 0.7*float64(alone) {
		t.Errorf("%d shared tokens read with transfers, %d without, want at most three times %d", shared, alone, 6*13_000)
	}
}

// A request spills to an engine with something to read where its beginning is
// copied there cheaply, not where the copy is dear or it is read again.
func TestSpillingFollowsThePriceOfACopy(t *testing.T) {
	spills := func(links *routing.Transfer) bool {
		c := New()
		c.Step(epoch, TargetsSeen{TokensPerSecond: 40_000, Transfer: links, Targets: []TargetInfo{
			{ID: "keeper", Slots: 8, CacheTokens: 500_000}, {ID: "other", Slots: 8, CacheTokens: 500_000},
		}})
		c.Step(epoch, CachedPartsSeen{Target: "keeper", At: epoch, Parts: []routing.PromptPart{{ID: 7, Tokens: 8_000}}})
		keeper, other := c.targets["keeper"].engine, c.targets["other"].engine
		keeper.Start(epoch, &routing.Prompt{Tokens: 6_000}, 1) // 150 ms, more than may be given away
		for range 6 {
			other.Adopt(epoch, &routing.Prompt{Tokens: 1}, 1, true) // streams make it the second choice
		}
		other.Start(epoch, &routing.Prompt{Tokens: 3_900}, 1) // 98 ms
		ask := Ask{ID: 2, Account: "x", Prompt: transferPrompt(2000), Hold: 20 * time.Millisecond, Objective: 800 * time.Millisecond}
		actions := c.Step(epoch, AskSeen{"e", ask})
		if _, ok := placed(actions, 2); ok {
			t.Fatal("placed at once: this request was to wait for its keeper")
		}
		p, ok := placed(c.Step(epoch.Add(8*time.Millisecond), Tick{}), 2)
		return ok && p.Target == "other"
	}
	dear := &routing.Transfer{TokenBytes: 2500, BytesPerSecond: 1e9} // 20 ms for 8000 tokens
	if !spills(fastLinks) {
		t.Error("a cheap copy was not worth an engine that is nearly free")
	}
	if spills(dear) || spills(nil) {
		t.Error("spilled though the copy is dear, or there is none")
	}
}
