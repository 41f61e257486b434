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

// short returns an ask of a small prompt that nobody shares.
func short(id RequestID) Ask {
	p := &routing.Prompt{Tokens: 50, MaxOutput: 5, Parts: []routing.PromptPart{{ID: uint64(id) + 1000, Tokens: 50}}}
	return Ask{ID: id, Account: fmt.Sprint("a", id%3), Prompt: p, Hold: 200 * time.Millisecond, Objective: time.Second}
}

// flood asks for a while, a request each two milliseconds, each of which ends at once
// where it is placed, and returns when each target got one.
func flood(c *Cell, from time.Time, length time.Duration) map[string][]time.Time {
	got := map[string][]time.Time{}
	id := RequestID(from.UnixNano())
	for now := from; now.Before(from.Add(length)); now = now.Add(2 * time.Millisecond) {
		id++
		for _, a := range c.Step(now, AskSeen{Entry: "g", Ask: short(id)}) {
			p, ok := a.(Place)
			if !ok {
				continue
			}
			got[p.Target] = append(got[p.Target], now)
			c.Step(now.Add(time.Millisecond), BeganSeen{Entry: "g", ID: p.ID})
			c.Step(now.Add(time.Millisecond), EndedSeen{Entry: "g", ID: p.ID, Outcome: batch.OutcomeDone})
		}
	}
	return got
}

// A cold engine gets what it bears, whatever is asked, and its part of all once it is
// warm.
func TestColdEngineGetsWhatItBears(t *testing.T) {
	const bears = 6.0
	c := New()
	ev := TargetsSeen{TokensPerSecond: 40_000, ColdRate: bears, ColdShare: 0.9, Targets: []TargetInfo{
		{ID: "cold", Slots: 8, CacheTokens: 500_000, ColdUntil: epoch.Add(3 * time.Second)}, {ID: "warm", Slots: 8, CacheTokens: 500_000},
	}}
	c.Step(epoch, ev)
	got := flood(c, epoch, 3*time.Second)
	for i, first := range got["cold"] {
		n := 0
		for _, at := range got["cold"][i:] {
			if at.Sub(first) < time.Second {
				n++
			}
		}
		if float64(n) > bears+1 {
			t.Fatalf("%d requests within a second", n)
		}
	}
	if n := len(got["cold"]); n < 12 {
		t.Errorf("the cold engine got %d requests in three seconds", n)
	}
	if n := len(flood(c, epoch.Add(3*time.Second), time.Second)["cold"]); n < 50 {
		t.Errorf("the engine got %d of 500 requests in the second after its cold period", n)
	}
	// A scheduler that is none of the cell's sends nothing to a cold engine.
	ev.ColdShare, ev.Targets[0].ColdUntil = 0, epoch.Add(20*time.Second)
	c.Step(epoch.Add(5*time.Second), ev)
	if n := len(flood(c, epoch.Add(5*time.Second), time.Second)["cold"]); n != 0 {
		t.Errorf("a last resort sent %d", n)
	}
}

// An engine of an evacuated hall gets nothing, not by waiting either; what it keeps is
// copied from it, and what runs there goes on.
func TestEvacuatedEngineOnlyGivesCopies(t *testing.T) {
	c := New()
	ev := TargetsSeen{TokensPerSecond: 40_000, Transfer: fastLinks, Targets: []TargetInfo{
		{ID: "here", Slots: 8, CacheTokens: 500_000}, {ID: "there", Slots: 8, CacheTokens: 500_000, DataHall: "h2"},
	}}
	ev.Targets[0].Leaving = true
	c.Step(epoch, ev)
	subject := &routing.Prompt{Tokens: 9000, MaxOutput: 10, Parts: []routing.PromptPart{{ID: 1, Tokens: 8500}, {ID: 2, Tokens: 500}}}
	p, ok := placed(c.Step(epoch, AskSeen{Entry: "g", Ask: Ask{ID: 1, Account: "a", Prompt: subject, Hold: time.Second, Objective: 2 * time.Second}}), 1)
	if !ok || p.Target != "there" {
		t.Fatalf("%+v", p)
	}
	now := epoch.Add(300 * time.Millisecond)
	c.Step(now, BeganSeen{Entry: "g", ID: 1})
	ev.Targets[0].Leaving, ev.Targets[1].Evacuated = false, true
	c.Step(now, ev)
	next := &routing.Prompt{Tokens: 9000, MaxOutput: 10, Parts: []routing.PromptPart{{ID: 1, Tokens: 8500}, {ID: 3, Tokens: 500}}}
	p, ok = placed(c.Step(now, AskSeen{Entry: "g", Ask: Ask{ID: 2, Account: "a", Prompt: next, Hold: time.Second, Objective: 2 * time.Second}}), 2)
	if !ok || p.Target != "here" || p.Source != "there" {
		t.Errorf("placed %+v", p)
	}
	if c.runs[requestKey{"g", 1}] == nil {
		t.Error("what ran there was given up")
	}
	ev.Targets[0].Evacuated = true
	c.Step(now, ev)
	if got := flood(c, now, time.Second); len(got) != 0 {
		t.Errorf("placed %v with all evacuated", got)
	}
}

// A cell all of whose targets are evacuated is asked for nothing: another one is.
func TestEvacuatedCellIsPassedOver(t *testing.T) {
	x := routing.NewIndex(&routing.Configuration{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 8}}}})
	var set routing.TargetSet
	for i := range 40 {
		set.Targets = append(set.Targets, routing.Target{ID: fmt.Sprint("t", i), Service: "s"})
	}
	l := NewLayout(x, set.Build(), nil)
	first := l.GroupFor("s", 77)
	for _, target := range first.Targets {
		target.Evacuated = true
	}
	if g := l.GroupFor("s", 77); g == nil || g.Key == first.Key {
		t.Errorf("asks %v of a cell without targets", g)
	}
	for i := range set.Targets {
		set.Targets[i].Evacuated = true
	}
	if g := l.GroupFor("s", 77); g != nil {
		t.Errorf("asks cell %s though all halls are evacuated", g.Key)
	}
}
