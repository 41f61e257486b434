// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"testing"
	"time"

	"madderway/models/routing"
)

// An account that asks in one of two cells must get as much as a flood in both.
func TestFairnessAcrossCells(t *testing.T) {
	for _, exchange := range []bool{false, true} {
		cells := []*Cell{New(), New()}
		for _, c := range cells {
			c.Step(epoch, TargetsSeen{TokensPerSecond: 10_000, Targets: []TargetInfo{{ID: "t", Slots: 1000, CacheTokens: 10_000_000}}})
		}
		got := map[string]float64{}
		id := RequestID(0)
		var due [2]time.Time
		for at := time.Duration(0); at < 20*time.Second; at += 20 * time.Millisecond {
			now := epoch.Add(at)
			for i, c := range cells {
				for _, account := range []string{"flood", "other"} {
					if account == "other" && i == 1 {
						continue
					}
					id++
					p := &routing.Prompt{Tokens: 800, MaxOutput: 1, Parts: []routing.PromptPart{{ID: uint64(id), Tokens: 800}}}
					for _, a := range c.Step(now, AskSeen{"e", Ask{ID: id, Account: account, Prompt: p, Hold: 200 * time.Millisecond}}) {
						place, ok := a.(Place)
						if !ok {
							continue
						}
						// The engine prefills in order; runs end as soon as they begin.
						if due[i].Before(now) {
							due[i] = now
						}
						due[i] = due[i].Add(80 * time.Millisecond)
						got[accountOf(c, place.ID)] += 800
						c.Step(now, BeganSeen{"e", place.ID})
						c.Step(now, EndedSeen{"e", place.ID, 1})
					}
				}
			}
			if exchange && at%(500*time.Millisecond) == 0 {
				first, second := cells[0].DrainTally(), cells[1].DrainTally()
				cells[0].Step(now, SiblingTallySeen{Rows: second})
				cells[1].Step(now, SiblingTallySeen{Rows: first})
			}
		}
		t.Logf("tallies %v: %v", exchange, got)
		if exchange && got["other"] < 0.8*got["flood"] {
			t.Errorf("the other account got %.0f, the flood %.0f, want at least 0.8 of it", got["other"], got["flood"])
		}
	}
}

// accountOf returns the account of a placed request.
func accountOf(c *Cell, id RequestID) string { return c.runs[requestKey{"e", id}].account }

// Guards against charging repeated, late or restarted tallies twice.
func TestRepeatedTalliesAreChargedOnce(t *testing.T) {
	c := New()
	level := func() float64 { return c.account("a").level }
	report := func(incarnation uint64, service float64) {
		c.Step(epoch, TallySeen{Source: "s", Incarnation: incarnation, Rows: []TallyRow{{Account: "a", Service: service}}})
	}
	report(1, 1000)
	if level() != 0 {
		t.Fatal("the first tally was charged, want it to set the starting totals")
	}
	report(1, 1500)
	report(1, 1500)
	report(1, 1200)
	if level() != 500 {
		t.Errorf("level %.0f after repeated and late tallies, want 500", level())
	}
	report(2, 300)
	report(2, 400)
	if level() != 600 {
		t.Errorf("level %.0f after 100 more in a new incarnation, want 600", level())
	}
}

// Guards against charging an account for all its service when it first appears in a tally.
func TestNewAccountInTallyIsChargedForIncrease(t *testing.T) {
	c := New()
	c.Step(epoch, TallySeen{Source: "g", Incarnation: 1, Rows: []TallyRow{{Account: "a", Service: 10}}})
	c.Step(epoch, TallySeen{Source: "g", Incarnation: 1, Rows: []TallyRow{{Account: "b", Service: 5000, Before: 4900}}})
	if level := c.account("b").level; level != 100 {
		t.Errorf("charged %.0f, want the increase of 100", level)
	}
	// The next tally makes up for a lost one.
	c.Step(epoch, TallySeen{Source: "g", Incarnation: 1, Rows: []TallyRow{{Account: "b", Service: 5300, Before: 5200}}})
	if level := c.account("b").level; level != 400 {
		t.Errorf("level %.0f after a lost tally, want 400", level)
	}
}

func TestDrainTallyReturnsOnlyChanges(t *testing.T) {
	c := New()
	c.account("a").served, c.account("b").served = 5, 7
	if rows := c.DrainTally(); len(rows) != 2 || rows[1] != (TallyRow{Account: "b", Service: 7}) {
		t.Errorf("rows %+v, want all service of a and b", rows)
	}
	c.account("a").served = 6
	if rows := c.DrainTally(); len(rows) != 1 || rows[0] != (TallyRow{Account: "a", Service: 1}) {
		t.Errorf("rows %+v, want only the increase of a", rows)
	}
}

// Guards against keeping an account in its cell where all get little, while another
// account gets far more in other cells.
func TestStarvedAccountIsSentToOtherCells(t *testing.T) {
	c := New()
	c.Step(epoch, TargetsSeen{Siblings: 1, TokensPerSecond: 10_000, Targets: []TargetInfo{{ID: "t", Slots: 1000, CacheTokens: 10_000_000}}})
	id, rival, refused, elsewhere := RequestID(0), 0.0, 0, 0
	for at := time.Duration(0); at < 6*time.Second; at += 20 * time.Millisecond {
		now := epoch.Add(at)
		if at%(500*time.Millisecond) == 0 {
			rival += 20_000
			c.Step(now, TallySeen{Source: "1", Incarnation: 1, Rows: []TallyRow{{Account: "rival", Service: rival}}})
		}
		for _, account := range []string{"a", "b"} {
			id++
			p := &routing.Prompt{Tokens: 800, MaxOutput: 1, Parts: []routing.PromptPart{{ID: uint64(id), Tokens: 800}}}
			for _, action := range c.Step(now, AskSeen{"e", Ask{ID: id, Account: account, Prompt: p, Hold: 200 * time.Millisecond, Objective: 800 * time.Millisecond}}) {
				switch action := action.(type) {
				case Place:
					c.Step(now, BeganSeen{"e", action.ID})
					c.Step(now, EndedSeen{"e", action.ID, 1})
				case Refuse:
					if at < 2*time.Second {
						continue
					}
					refused++
					if action.Elsewhere {
						elsewhere++
					}
				}
			}
		}
	}
	if refused == 0 || elsewhere < refused*9/10 {
		t.Errorf("%d of %d refused requests are sent to another cell, want nearly all", elsewhere, refused)
	}
}

// Guards against starving an account for its use of idle targets, also after capacity
// shrinks.
func TestLeadFromIdleTargetsIsCapped(t *testing.T) {
	c := New()
	ev := TargetsSeen{TokensPerSecond: 10_000}
	for _, id := range []string{"a", "b", "c", "d"} {
		ev.Targets = append(ev.Targets, TargetInfo{ID: id, Slots: 1000, CacheTokens: 10_000_000})
	}
	c.Step(epoch, ev)
	id, got := RequestID(0), map[string]float64{}
	run := func(from, to time.Duration, accounts ...string) {
		clear(got)
		for at := from; at < to; at += 10 * time.Millisecond {
			now := epoch.Add(at)
			for _, account := range accounts {
				id++
				p := &routing.Prompt{Tokens: 800, MaxOutput: 1, Parts: []routing.PromptPart{{ID: uint64(id), Tokens: 800}}}
				for _, a := range c.Step(now, AskSeen{"e", Ask{ID: id, Account: account, Prompt: p, Hold: 200 * time.Millisecond}}) {
					if place, ok := a.(Place); ok {
						got[accountOf(c, place.ID)] += 800
						c.Step(now, BeganSeen{"e", place.ID})
						c.Step(now, EndedSeen{"e", place.ID, 1})
					}
				}
			}
		}
	}
	run(0, 10*time.Second, "early")
	ev.Targets = ev.Targets[:1] // three of four targets are removed
	c.Step(epoch.Add(10*time.Second), ev)
	run(10*time.Second, 16*time.Second, "early", "late")
	if got["early"] < 0.6*got["late"] {
		t.Errorf("the account that was alone before got %.0f, the other one %.0f, want at least 0.6 of it", got["early"], got["late"])
	}
}
