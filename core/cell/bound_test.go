// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"fmt"
	"testing"
	"time"

	"madderway/models/routing"
)

func boundAsk(id RequestID, software string) AskSeen {
	return AskSeen{"e", Ask{
		ID: id, Account: "a", Prompt: &routing.Prompt{Tokens: 1000, MaxOutput: 10}, Hold: time.Second, Objective: 10 * time.Second, Bound: true, Software: software,
	}}
}

// Guards against a stream that continues at another software version, and against letting one wait
// whose version no target of the cell has.
func TestBoundRequestGoesToItsSoftware(t *testing.T) {
	cell := New()
	cell.Step(epoch, TargetsSeen{TokensPerSecond: 40_000, Targets: []TargetInfo{
		{ID: "a", Slots: 64, CacheTokens: 100_000, Software: "v1"},
		{ID: "b", Slots: 64, CacheTokens: 100_000, Software: "v2"},
		{ID: "c", Slots: 64, CacheTokens: 100_000, Software: "v3", Leaving: true},
	}})
	for i, c := range []struct{ software, target string }{{"v1", "a"}, {"v2", "b"}, {"v3", ""}, {"", ""}} {
		placed, refused := "", false
		for _, act := range cell.Step(epoch.Add(time.Duration(i)*time.Second), boundAsk(RequestID(i+1), c.software)) {
			switch act := act.(type) {
			case Place:
				placed = act.Target
			case Refuse:
				refused = true
			}
		}
		if placed != c.target || refused != (c.target == "") {
			t.Errorf("version %q: got target %q, refused %v, want %q", c.software, placed, refused, c.target)
		}
	}
}

// Guards against streams that wait behind new requests of their account for the few targets of
// their version.
func TestBoundRequestGoesFirstInItsAccount(t *testing.T) {
	cell := New()
	cell.Step(epoch, TargetsSeen{TokensPerSecond: 40_000, Targets: []TargetInfo{{ID: "a", Slots: 1, CacheTokens: 100_000, Software: "v1"}}})
	cell.Step(epoch, ask1(1, "a", 4000))
	cell.Step(epoch, ask1(2, "a", 1000))
	cell.Step(epoch, boundAsk(3, "v1"))
	for _, act := range cell.Step(epoch.Add(200*time.Millisecond), EndedSeen{Entry: "e", ID: 1}) {
		if p, ok := act.(Place); ok {
			if p.ID != 3 {
				t.Errorf("request %d is placed first, want 3", p.ID)
			}
			return
		}
	}
	t.Error("no request is placed")
}

func ask1(id RequestID, account string, tokens int) AskSeen {
	return AskSeen{"e", Ask{ID: id, Account: account, Prompt: &routing.Prompt{Tokens: tokens, MaxOutput: 10}, Hold: time.Second, Objective: 10 * time.Second}}
}

// Guards against asking a cell without a target of the version while others have one.
func TestCellForSoftwareHasATarget(t *testing.T) {
	x, _ := testService(0)
	var targets []routing.Target
	for i := range 200 {
		targets = append(targets, routing.Target{ID: fmt.Sprintf("t%04d", i), Service: "s", Software: "v1"})
	}
	targets[7].Software, targets[8].Software, targets[9].Software = "v2", "v2", "v3"
	targets[9].Leaving = true
	l := NewLayout(x, routing.NewTargetSet(1, targets...), testNodes(9))
	own := map[Key]bool{l.groupOf(&targets[7]).Key: true, l.groupOf(&targets[8]).Key: true}
	for affinity := range uint64(100) {
		if g := l.GroupForSoftware("s", "v2", affinity, ""); g == nil || !own[g.Key] {
			t.Fatalf("affinity %d: got cell %v, want one of %v", affinity, g, own)
		}
		if g, home := l.GroupForSoftware("s", "v1", affinity, ""), l.GroupFor("s", affinity); g != home {
			t.Fatalf("affinity %d: got cell %s, want its usual cell %s", affinity, g.Key, home.Key)
		}
	}
	if g := l.GroupForSoftware("s", "v3", 1, ""); g != nil {
		t.Errorf("got cell %s for a version whose only target leaves, want none", g.Key)
	}
}
