// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"fmt"
	"testing"
	"time"

	"madderway/core/cell"
	"madderway/core/place"
	"madderway/models/routing"
	"madderway/modules/wire"
)

// roomLoop schedules both cells of a service; the targets of the first are busy for more than a second.
func roomLoop(now time.Time, rules cell.Rules) *Loop {
	x := routing.NewIndex(&routing.Configuration{Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 1, CacheTokens: 100_000}}}})
	var set []routing.Target
	for i := range 20 {
		set = append(set, routing.Target{ID: fmt.Sprint("t", i), Service: "s"})
	}
	l := &Loop{layout: cell.NewLayout(x, routing.NewTargetSet(0, set...), []place.Node{{ID: "g"}}), cells: map[cell.Key]*cellScheduler{}, undecided: map[cell.Key]*cellScheduler{}}
	l.opts.Self.ID = "g"
	for key, g := range l.layout.Groups() {
		s := &cellScheduler{cell: cell.New(), lastUsed: now}
		ev := cell.TargetsSeen{TokensPerSecond: 40_000, Siblings: 1, Rules: rules}
		held := cell.InventorySeen{Entry: "g"}
		for i, t := range g.Targets {
			ev.Targets = append(ev.Targets, cell.TargetInfo{ID: t.ID, Slots: 1, CacheTokens: 100_000})
			held.Held = append(held.Held, cell.Held{ID: cell.RequestID(100 + i), Target: t.ID, Prompt: &routing.Prompt{Tokens: 60_000}})
		}
		s.cell.Step(now, ev)
		if key == "s/0" {
			s.cell.Step(now, held)
		}
		l.cells[key] = s
	}
	return l
}

// refusal asks the full cell for a request and returns how it is refused.
func refusal(l *Loop, now time.Time, id cell.RequestID) cell.Refuse {
	ask := cell.Ask{ID: id, Account: "a", Prompt: &routing.Prompt{Tokens: 1000, MaxOutput: 1}, Objective: time.Second}
	for _, a := range l.cells["s/0"].cell.Step(now, cell.AskSeen{Entry: "g", Ask: ask}) {
		if r, ok := a.(cell.Refuse); ok {
			return r
		}
	}
	return cell.Refuse{}
}

// Room is not told to the cells that are scheduled in the same process or elsewhere, or is told
// although the rule is off.
func TestRoomReachesOtherCells(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	l := roomLoop(now, cell.Rules{Room: true})
	l.tellRooms(now.Add(-time.Second))
	told := l.tellRooms(now)["s"]
	if len(told) != 2 {
		t.Fatalf("told %v, want the room of two cells", told)
	}
	if r := refusal(l, now, 1); r.Cell != "s/1" {
		t.Errorf("refused %+v, want the other cell named", r)
	}
	remote := roomLoop(now, cell.Rules{Room: true})
	remote.handleTally(now, "h", &wire.EngineTally{Service: "s", Rooms: told})
	if r := refusal(remote, now, 1); r.Cell != "s/1" {
		t.Errorf("refused %+v, want the other cell named after a message", r)
	}
	off := roomLoop(now, cell.Rules{})
	if told = off.tellRooms(now)["s"]; len(told) != 0 {
		t.Errorf("told %v with the rule off", told)
	}
}
