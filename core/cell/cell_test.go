// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"fmt"
	"testing"
	"time"

	"madderway/core/batch"
	"madderway/models/routing"
)

// evenAccounts returns accounts that ask for long shared prompts at a total rate.
func evenAccounts(accounts int, perSecond float64, from, until time.Duration) []*simAccount {
	var out []*simAccount
	for i := range accounts {
		out = append(out, &simAccount{
			name: fmt.Sprintf("a%02d", i), perSecond: perSecond / float64(accounts), prefixes: 55, shared: 13_000, own: 3_700, base: 1,
			from: from, until: until,
		})
	}
	return out
}

// Guards against placements that leave the target with the cached part too early.
func TestSharedPartsAreRarelyReread(t *testing.T) {
	s := newSim(9, 45_000, 570_000)
	s.run(40*time.Second, evenAccounts(16, 45, 0, 0))
	r := s.total()
	distinct := 55 * 13_000
	t.Logf("total %+v, shared parts prefilled %.1f times", r, float64(r.sharedPrefilled)/float64(distinct))
	if r.sharedPrefilled > 3*distinct {
		t.Errorf("shared parts were prefilled %.1f times over, want at most 3", float64(r.sharedPrefilled)/float64(distinct))
	}
	for name, a := range s.results {
		if a.lastRefused > 10*time.Second || a.late > a.asked/50 {
			t.Errorf("%s was last refused at %v or often late, at half load with all shared parts cached: %+v", name, a.lastRefused, *a)
		}
	}
}

func TestFloodDoesNotDelayOtherAccounts(t *testing.T) {
	s := newSim(9, 45_000, 570_000)
	accounts := evenAccounts(16, 50, 0, 0)
	accounts = append(accounts, &simAccount{name: "flood", perSecond: 150, prefixes: 20, shared: 13_000, own: 3_700, base: 1000})
	s.run(30*time.Second, accounts)
	worst := 1.0
	for name, r := range s.results {
		if name != "flood" {
			worst = min(worst, float64(r.placed-r.late)/float64(r.asked))
		}
	}
	t.Logf("worst other account: %.2f in time; flood %+v", worst, *s.results["flood"])
	if worst < 0.75 {
		t.Errorf("an account beside the flood was served in time for %.2f of its requests, want 0.75", worst)
	}
	if f := s.results["flood"]; f.placed == 0 || f.refused == 0 {
		t.Errorf("flood: got %+v, want both placements and refusals", *f)
	}
}

func TestOverloadIsSharedEvenly(t *testing.T) {
	s := newSim(9, 45_000, 570_000)
	s.run(30*time.Second, evenAccounts(8, 240, 0, 0))
	low, high := 0.0, 0.0
	for _, r := range s.results {
		if low == 0 || r.service < low {
			low = r.service
		}
		high = max(high, r.service)
	}
	if low < 0.85*high {
		t.Errorf("service between %.0f and %.0f, want within 15 %%", low, high)
	}
	r := s.total()
	if capacity := 9 * 45_000 * 30; float64(r.prefilled) < 0.8*float64(capacity) {
		t.Errorf("%d tokens were prefilled under overload, want at least 0.8 of %d", r.prefilled, capacity)
	}
}

func TestNoRefusalWithIdleTargets(t *testing.T) {
	s := newSim(9, 45_000, 570_000)
	s.run(20*time.Second, []*simAccount{{name: "one", perSecond: 40, prefixes: 1, shared: 13_000, own: 3_700, base: 1}})
	if r := s.total(); r.refused > r.asked/50 {
		t.Errorf("%d of %d requests with one shared part were refused at a third of the capacity", r.refused, r.asked)
	}
}

// Guards against requests that get no decision or several.
func TestEachAskIsDecidedOnce(t *testing.T) {
	s := newSim(3, 45_000, 570_000)
	s.run(20*time.Second, evenAccounts(4, 60, 0, 15*time.Second))
	r := s.total()
	if r.placed+r.refused != r.asked || s.cell.Waiting() != 0 {
		t.Errorf("%d asked, %d placed, %d refused, %d waiting; want each placed or refused", r.asked, r.placed, r.refused, s.cell.Waiting())
	}
}

func TestUnreachableTargetIsAvoided(t *testing.T) {
	s := newSim(9, 45_000, 570_000)
	tried := 0
	s.onPlace = func(_ RequestID, target string) bool {
		if target == "t03" {
			tried++
		}
		return target != "t03"
	}
	s.run(20*time.Second, evenAccounts(16, 40, 0, 0))
	if tried > 20 {
		t.Errorf("%d requests were placed at an unreachable target, want at most 20", tried)
	}
}

// The target accepts requests and sends no events.
func TestUnresponsiveTargetIsAvoided(t *testing.T) {
	s := newSim(9, 45_000, 570_000)
	s.engines["t03"].down = true
	lost := 0
	s.onPlace = func(_ RequestID, target string) bool {
		if target == "t03" {
			lost++
		}
		return true
	}
	s.run(10*time.Second, evenAccounts(16, 40, 0, 0))
	if lost > 12 {
		t.Errorf("%d requests were placed at an unresponsive target, want at most 12", lost)
	}
}

func TestLeavingTargetGetsNoRequests(t *testing.T) {
	c := New()
	c.Step(epoch, TargetsSeen{TokensPerSecond: 1000, Targets: []TargetInfo{{ID: "t", Slots: 4, CacheTokens: 10_000, Leaving: true}}})
	p := &routing.Prompt{Tokens: 10, MaxOutput: 1, Parts: []routing.PromptPart{{ID: 1, Tokens: 10}}}
	for _, a := range c.Step(epoch, AskSeen{"e", Ask{ID: 1, Prompt: p, Hold: time.Second}}) {
		if _, ok := a.(Place); ok {
			t.Error("a leaving target got a request")
		}
	}
}

// Guards against placements over running requests after a takeover, and against runs that
// an entry gateway no longer holds.
func TestInventoryReplacesRuns(t *testing.T) {
	c := New()
	c.Step(epoch, TargetsSeen{TokensPerSecond: 1000, Targets: []TargetInfo{{ID: "t", Slots: 2, CacheTokens: 10_000}}})
	p := &routing.Prompt{Tokens: 10, MaxOutput: 1, Parts: []routing.PromptPart{{ID: 1, Tokens: 10}}}
	c.Step(epoch, InventorySeen{"e", []Held{{ID: 1, Target: "t", Prompt: p, Begun: true}, {ID: 2, Target: "t", Prompt: p, Begun: true}}})
	placed := func(actions []Action) int {
		n := 0
		for _, a := range actions {
			if _, ok := a.(Place); ok {
				n++
			}
		}
		return n
	}
	if n := placed(c.Step(epoch, AskSeen{"e", Ask{ID: 3, Prompt: p, Hold: time.Second}})); n != 0 {
		t.Fatal("placed at a target without a free slot")
	}
	if n := placed(c.Step(epoch, InventorySeen{"e", []Held{{ID: 1, Target: "t", Prompt: p, Begun: true}}})); n != 1 {
		t.Errorf("%d placed after the inventory freed a slot, want 1", n)
	}
	if n := placed(c.Step(epoch, EntryEnded{"e"})); n != 0 || !c.Idle() {
		t.Error("runs of an ended entry gateway are still held")
	}
}

func TestRequestIDsAreScopedToEntry(t *testing.T) {
	c := New()
	c.Step(epoch, TargetsSeen{TokensPerSecond: 1000, Targets: []TargetInfo{{ID: "t", Slots: 8, CacheTokens: 10_000}}})
	p := &routing.Prompt{Tokens: 10, MaxOutput: 1, Parts: []routing.PromptPart{{ID: 1, Tokens: 10}}}
	c.Step(epoch, AskSeen{"e", Ask{ID: 1, Prompt: p, Hold: time.Second}})
	c.Step(epoch, AskSeen{"f", Ask{ID: 1, Prompt: p, Hold: time.Second}})
	c.Step(epoch, EndedSeen{"e", 1, batch.OutcomeDone})
	if c.Idle() {
		t.Fatal("the end of one gateway's request ended another gateway's request with the same ID")
	}
	c.Step(epoch, WithdrawSeen{"f", 1})
	if !c.Idle() {
		t.Error("a withdrawn request is still held")
	}
}

// Guards against counting adopted runs as still to be prefilled.
func TestTakeoverPlacesImmediately(t *testing.T) {
	c := New()
	c.Step(epoch, TargetsSeen{TokensPerSecond: 40_000, Targets: []TargetInfo{{ID: "t", Slots: 64, CacheTokens: 570_000}}})
	inventory := InventorySeen{Entry: "e"}
	for i := range 16 {
		p := &routing.Prompt{Tokens: 17_000, MaxOutput: 60, Parts: []routing.PromptPart{{ID: uint64(i % 4), Tokens: 13_000}, {ID: uint64(100 + i), Tokens: 4_000}}}
		inventory.Held = append(inventory.Held, Held{ID: RequestID(i), Account: "a", Target: "t", Prompt: p, Begun: i > 0})
	}
	c.Step(epoch, inventory)
	now := epoch.Add(50 * time.Millisecond)
	p := &routing.Prompt{Tokens: 13_500, MaxOutput: 60, Parts: []routing.PromptPart{{ID: 1, Tokens: 13_000}, {ID: 999, Tokens: 500}}}
	actions := c.Step(now, AskSeen{"e", Ask{ID: 100, Account: "a", Prompt: p, Hold: 200 * time.Millisecond, Objective: 800 * time.Millisecond}})
	if len(actions) != 1 {
		t.Fatalf("%d actions, want one", len(actions))
	}
	if _, ok := actions[0].(Place); !ok {
		t.Errorf("got %#v from the new scheduler, want a placement", actions[0])
	}
}

// Guards against unfairness to an account whose shared parts are all cached by one busy
// target.
func TestAccountWithFewPrefixesGetsItsShare(t *testing.T) {
	s := newSim(9, 45_000, 570_000)
	s.run(30*time.Second, []*simAccount{
		{name: "flood", perSecond: 250, prefixes: 60, shared: 8_000, own: 4_000, base: 1000},
		{name: "narrow", perSecond: 60, prefixes: 2, shared: 8_000, own: 4_000, base: 1},
	})
	flood, narrow := s.results["flood"], s.results["narrow"]
	t.Logf("flood %+v, narrow %+v", *flood, *narrow)
	if narrow.placed < narrow.asked*6/10 && narrow.service < 0.7*flood.service {
		t.Errorf("the account with two shared parts got %d of %d placed, the flood %d of %d; want 0.6 placed or 0.7 of the flood's service", narrow.placed, narrow.asked, flood.placed, flood.asked)
	}
}

// Guards against prefilling shared parts elsewhere while the home will soon have a free
// slot.
func TestRequestWaitsForFullHome(t *testing.T) {
	c := New()
	c.Step(epoch, TargetsSeen{TokensPerSecond: 40_000, Targets: []TargetInfo{{ID: "home", Slots: 1, CacheTokens: 500_000}, {ID: "other", Slots: 1, CacheTokens: 500_000}}})
	prompt := func(own uint64) *routing.Prompt {
		return &routing.Prompt{Tokens: 13_500, MaxOutput: 10, Parts: []routing.PromptPart{{ID: 1, Tokens: 13_000}, {ID: own, Tokens: 500}}}
	}
	ask := func(id RequestID, at time.Duration) []Action {
		return c.Step(epoch.Add(at), AskSeen{"e", Ask{ID: id, Account: "a", Prompt: prompt(100 + uint64(id)), Hold: 180 * time.Millisecond, Objective: 800 * time.Millisecond}})
	}
	first := ask(1, 0)[0].(Place)
	c.Step(epoch.Add(400*time.Millisecond), BeganSeen{"e", 1})
	if _, ok := ask(2, time.Second)[0].(Wait); !ok {
		t.Fatal("placed at another target, want it to wait for a slot at its home")
	}
	actions := c.Step(epoch.Add(1020*time.Millisecond), EndedSeen{"e", 1, batch.OutcomeDone})
	if len(actions) != 1 {
		t.Fatalf("%d actions after a slot became free, want one placement", len(actions))
	}
	if p, ok := actions[0].(Place); !ok || p.Target != first.Target {
		t.Errorf("got %#v, want a placement at %s", actions[0], first.Target)
	}
}
