// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package member

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// group simulates members of the platform's VM list and delivers their heartbeats.
type group struct {
	now   time.Time
	lists map[string]*List
	cut   map[string]bool
	sent  int
	ended map[string]int
}

func newGroup(n int) *group {
	g := &group{now: start, lists: map[string]*List{}, cut: map[string]bool{}, ended: map[string]int{}}
	var listed []ListedVM
	for i := range n {
		listed = append(listed, ListedVM{ID: id(i), Address: "a", DataHall: fmt.Sprintf("hall-%d", i%3), Region: "r"})
	}
	for i := range n {
		l := New(DefaultConfig(), Record{ID: id(i), Incarnation: 1, DataHall: fmt.Sprintf("hall-%d", i%3), Region: "r"})
		l.Step(g.now, ListSeen{listed})
		g.lists[id(i)] = l
	}
	return g
}

func id(i int) string { return fmt.Sprintf("m%02d", i) }

func (g *group) step(d time.Duration) {
	g.now = g.now.Add(d)
	for _, from := range keys(g.lists) {
		g.deliver(from, g.lists[from].Step(g.now, Tick{}))
	}
}

func keys(m map[string]*List) []string {
	var out []string
	for i := range 64 {
		if _, ok := m[id(i)]; ok {
			out = append(out, id(i))
		}
	}
	return out
}

func (g *group) deliver(from string, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case IncarnationEnded:
			g.ended[a.ID]++
		case SendHeartbeat:
			g.sent++
			to := g.lists[a.To]
			if to == nil || g.cut[from] || g.cut[a.To] {
				continue
			}
			g.deliver(a.To, to.Step(g.now, HeartbeatSeen{From: a.From, Rumors: a.Rumors, View: a.View, RequestSync: a.RequestSync, Probe: a.Probe}))
		}
	}
}

func (g *group) run(d time.Duration) {
	for range d / (100 * time.Millisecond) {
		g.step(100 * time.Millisecond)
	}
}

func (g *group) state(at, of string) State {
	r, _ := g.lists[at].Lookup(of)
	return r.State
}

func TestHeartbeatRateIndependentOfFleetSize(t *testing.T) {
	for _, n := range []int{6, 12, 48} {
		g := newGroup(n)
		g.run(5 * time.Second)
		g.sent = 0
		g.run(10 * time.Second)
		perMember := float64(g.sent) / float64(n) / 10
		if perMember > 4.5 {
			t.Errorf("%d members: each sends %.1f heartbeats a second, want at most 4.5", n, perMember)
		}
		for _, at := range keys(g.lists) {
			if got := len(g.lists[at].Nodes()); got != n {
				t.Errorf("%d members: %s has %d nodes", n, at, got)
			}
		}
	}
}

func TestSilentMemberSuspectedThenDeadThenRejoins(t *testing.T) {
	g := newGroup(9)
	g.run(5 * time.Second)
	g.cut[id(3)] = true
	g.run(4 * time.Second)
	if got := g.state(id(0), id(3)); got != StateSuspect {
		t.Errorf("state after 4 s of silence = %v, want suspect", got)
	}
	g.run(8 * time.Second)
	for _, at := range keys(g.lists) {
		if got := g.state(at, id(3)); at != id(3) && got != StateDead {
			t.Errorf("state at %s = %v, want dead", at, got)
		}
	}
	delete(g.cut, id(3))
	g.run(15 * time.Second)
	for _, at := range keys(g.lists) {
		if got := g.state(at, id(3)); at != id(3) && got != StateAlive {
			t.Errorf("state at %s after the rejoin = %v, want alive", at, got)
		}
	}
}

func TestRestartEndsOldIncarnation(t *testing.T) {
	g := newGroup(4)
	g.run(3 * time.Second)
	l := New(DefaultConfig(), Record{ID: id(2), Incarnation: 2, DataHall: "hall-2", Region: "r"})
	var listed []ListedVM
	for i := range 4 {
		listed = append(listed, ListedVM{ID: id(i), Address: "a"})
	}
	l.Step(g.now, ListSeen{listed})
	g.lists[id(2)] = l
	g.run(5 * time.Second)
	if g.ended[id(2)] == 0 {
		t.Error("no member reported the end of the old incarnation")
	}
	if r := g.lists[id(0)].Reporter(id(2)); r.Incarnation != 2 {
		t.Errorf("incarnation = %d, want 2", r.Incarnation)
	}
}

func TestDataHallLossDetected(t *testing.T) {
	g := newGroup(12)
	g.run(5 * time.Second)
	for i := range 12 {
		if i%3 == 2 {
			g.cut[id(i)] = true
		}
	}
	g.run(15 * time.Second)
	for _, at := range keys(g.lists) {
		if g.cut[at] {
			continue
		}
		if got := len(g.lists[at].Nodes()); got != 8 {
			t.Errorf("%s has %d nodes, want 8", at, got)
		}
	}
}

func TestLeavingMemberNotInNodes(t *testing.T) {
	g := newGroup(4)
	g.run(3 * time.Second)
	g.deliver(id(1), g.lists[id(1)].Step(g.now, Leave{}))
	for _, n := range g.lists[id(0)].Nodes() {
		if n.ID == id(1) {
			t.Error("a leaving member is still among the nodes of another one")
		}
	}
	if got := len(g.lists[id(1)].Nodes()); got != 3 {
		t.Errorf("the leaving member has %d nodes, want 3", got)
	}
}

func TestDuplicateAndOlderHeartbeatsIgnored(t *testing.T) {
	l := New(DefaultConfig(), Record{ID: "a", Incarnation: 1})
	hb := HeartbeatSeen{From: Record{ID: "b", Incarnation: 5, State: StateAlive}}
	l.Step(start, hb)
	if got := l.Step(start, hb); len(got) != 0 {
		t.Errorf("duplicate heartbeat caused actions %v", got)
	}
	old := HeartbeatSeen{From: Record{ID: "b", Incarnation: 4, State: StateDead}}
	l.Step(start, old)
	if r, _ := l.Lookup("b"); r.Incarnation != 5 || r.State != StateAlive {
		t.Errorf("heartbeat of an older incarnation changed the record to %+v", r)
	}
}

// Guards against a changed capacity that is not gossiped.
func TestStrengthReachesAllMembers(t *testing.T) {
	g := newGroup(9)
	g.run(3 * time.Second)
	g.deliver(id(4), g.lists[id(4)].Step(g.now, StrengthSeen{Percent: 19}))
	g.run(2 * time.Second)
	for _, at := range keys(g.lists) {
		for _, n := range g.lists[at].Nodes() {
			if n.ID == id(4) && n.Strength != 19 {
				t.Errorf("strength at %s = %d, want 19", at, n.Strength)
			}
		}
	}
}
