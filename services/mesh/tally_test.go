// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"testing"

	"madderway/core/cell"
	"madderway/core/place"
)

// What the cells of one gateway gave goes to others in one row an account, as a sum, and
// only where it has grown.
func TestCellsOfAGatewayTellTogether(t *testing.T) {
	g := given{}
	g.add([]cell.TallyRow{{Account: "b", Service: 5}, {Account: "a", Service: 2}})
	g.add([]cell.TallyRow{{Account: "b", Service: 7}})
	rows := g.rows()
	if len(rows) != 2 || rows[0].Account != "a" || rows[1].Service != 12 || rows[1].Before != 0 {
		t.Fatalf("%v", rows)
	}
	if rows := g.rows(); len(rows) != 0 {
		t.Errorf("told again: %v", rows)
	}
	g.add([]cell.TallyRow{{Account: "b", Service: 1}})
	if rows := g.rows(); len(rows) != 1 || rows[0].Service != 13 || rows[0].Before != 12 {
		t.Errorf("%v", rows)
	}
}

// Callers are sent away only where most other gateways of the data hall have room.
func TestOthersCalm(t *testing.T) {
	node := func(id, hall string, strength uint32) place.Node {
		return place.Node{ID: id, DataHall: hall, Strength: strength}
	}
	self := node("self", "h1", 19)
	for name, c := range map[string]struct {
		others []place.Node
		want   bool
	}{
		"nobody":           {nil, false},
		"one with room":    {[]place.Node{node("a", "h1", 19)}, true},
		"another hall":     {[]place.Node{node("a", "h2", 19)}, false},
		"half strained":    {[]place.Node{node("a", "h1", 19), node("b", "h1", strained)}, false},
		"most have room":   {[]place.Node{node("a", "h1", 19), node("b", "h1", strained), node("c", "h1", 80)}, true},
		"all are strained": {[]place.Node{node("a", "h1", strained), node("b", "h1", strained)}, false},
	} {
		if got := othersCalm(append(c.others, self), "self", "h1"); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
