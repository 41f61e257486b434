// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"madderway/core/batch"
	"madderway/models/routing"
)

// shortAsk returns a request with a small prompt and no shared part.
func shortAsk(id RequestID) Ask {
	p := &routing.Prompt{Tokens: 50, MaxOutput: 5, Parts: []routing.PromptPart{{ID: uint64(id) + 1000, Tokens: 50}}}
	return Ask{ID: id, Account: fmt.Sprint("a", id%3), Prompt: p, Hold: 200 * time.Millisecond, Objective: time.Second}
}

// floodCell sends a request every two milliseconds, ends each one as soon as it is placed
// and returns the times of the placements at each target.
func floodCell(c *Cell, from time.Time, length time.Duration) map[string][]time.Time {
	got := map[string][]time.Time{}
	id := RequestID(from.UnixNano())
	for now := from; now.Before(from.Add(length)); now = now.Add(2 * time.Millisecond) {
		id++
		for _, a := range c.Step(now, AskSeen{Entry: "g", Ask: shortAsk(id)}) {
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

// Guards against overloading a cold target, and against a limit that outlasts the cold
// period.
func TestColdTargetIsRateLimited(t *testing.T) {
	const rate = 6.0
	c := New()
	ev := TargetsSeen{TokensPerSecond: 40_000, ColdRate: rate, ColdShare: 0.9, Targets: []TargetInfo{
		{ID: "cold", Slots: 8, CacheTokens: 500_000, ColdUntil: epoch.Add(3 * time.Second)}, {ID: "warm", Slots: 8, CacheTokens: 500_000},
	}}
	c.Step(epoch, ev)
	got := floodCell(c, epoch, 3*time.Second)
	for i, first := range got["cold"] {
		n := 0
		for _, at := range got["cold"][i:] {
			if at.Sub(first) < time.Second {
				n++
			}
		}
		if float64(n) > rate+1 {
			t.Fatalf("%d requests within a second at the cold target, want at most 7", n)
		}
	}
	if n := len(got["cold"]); n < 12 {
		t.Errorf("the cold target got %d requests in three seconds, want at least 12", n)
	}
	if n := len(floodCell(c, epoch.Add(3*time.Second), time.Second)["cold"]); n < 50 {
		t.Errorf("the target got %d of 500 requests in the second after its cold period, want at least 50", n)
	}
	// A scheduler without a share sends nothing to a cold target.
	ev.ColdShare, ev.Targets[0].ColdUntil = 0, epoch.Add(20*time.Second)
	c.Step(epoch.Add(5*time.Second), ev)
	if n := len(floodCell(c, epoch.Add(5*time.Second), time.Second)["cold"]); n != 0 {
		t.Errorf("a scheduler without a share placed %d requests at a cold target", n)
	}
}

// Guards against placements at evacuated targets, and against losing their caches and
// runs.
func TestEvacuatedTargetOnlyServesCopies(t *testing.T) {
	c := New()
	ev := TargetsSeen{TokensPerSecond: 40_000, Transfer: fastLinks, Targets: []TargetInfo{
		{ID: "here", Slots: 8, CacheTokens: 500_000}, {ID: "there", Slots: 8, CacheTokens: 500_000, DataHall: "h2"},
	}}
	ev.Targets[0].Leaving = true
	c.Step(epoch, ev)
	prompt := &routing.Prompt{Tokens: 9000, MaxOutput: 10, Parts: []routing.PromptPart{{ID: 1, Tokens: 8500}, {ID: 2, Tokens: 500}}}
	p, ok := placed(c.Step(epoch, AskSeen{Entry: "g", Ask: Ask{ID: 1, Account: "a", Prompt: prompt, Hold: time.Second, Objective: 2 * time.Second}}), 1)
	if !ok || p.Target != "there" {
		t.Fatalf("placed %+v, want target there", p)
	}
	now := epoch.Add(300 * time.Millisecond)
	c.Step(now, BeganSeen{Entry: "g", ID: 1})
	ev.Targets[0].Leaving, ev.Targets[1].Evacuated = false, true
	c.Step(now, ev)
	next := &routing.Prompt{Tokens: 9000, MaxOutput: 10, Parts: []routing.PromptPart{{ID: 1, Tokens: 8500}, {ID: 3, Tokens: 500}}}
	p, ok = placed(c.Step(now, AskSeen{Entry: "g", Ask: Ask{ID: 2, Account: "a", Prompt: next, Hold: time.Second, Objective: 2 * time.Second}}), 2)
	if !ok || p.Target != "here" || p.Source != "there" {
		t.Errorf("placed %+v, want target here with a copy from there", p)
	}
	if c.runs[requestKey{"g", 1}] == nil {
		t.Error("the run at the evacuated target was dropped")
	}
	ev.Targets[0].Evacuated = true
	c.Step(now, ev)
	if got := floodCell(c, now, time.Second); len(got) != 0 {
		t.Errorf("placed %v with all targets evacuated", got)
	}
}

// Guards against routing requests to a cell with evacuated targets only.
func TestEvacuatedCellIsSkipped(t *testing.T) {
	x := routing.NewIndex(&routing.Configuration{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 8}}}})
	var targets []routing.Target
	for i := range 40 {
		targets = append(targets, routing.Target{ID: fmt.Sprint("t", i), Service: "s"})
	}
	set := routing.NewTargetSet(1, targets...)
	l := NewLayout(x, set, nil)
	first := l.GroupFor("s", 77)
	evacuate := func(evacuated []*routing.Target) {
		e := set.Edit()
		for _, target := range slices.Clone(evacuated) {
			e.Put(&routing.Target{ID: target.ID, Service: "s", Evacuated: true})
		}
		set = e.Done(2)
		l.SetTargets(x, set)
	}
	evacuate(first.Targets)
	if g := l.GroupFor("s", 77); g == nil || g.Key == first.Key {
		t.Errorf("got cell %v, want another one than the evacuated cell", g)
	}
	evacuate(set.ByService("s"))
	if g := l.GroupFor("s", 77); g != nil {
		t.Errorf("got cell %s with all targets evacuated, want none", g.Key)
	}
}
