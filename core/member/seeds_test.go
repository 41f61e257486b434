// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package member

import (
	"testing"
	"time"
)

// Guards against a leaving member that suspects members which no longer send it
// heartbeats.
func TestLeavingMemberSuspectsNobody(t *testing.T) {
	g := newGroup(9)
	g.run(5 * time.Second)
	leaver := g.lists[id(0)]
	g.deliver(id(0), leaver.Step(g.now, Leave{}))
	for range 60 {
		g.run(100 * time.Millisecond)
		for at := range g.lists {
			for of := range g.lists {
				if s := g.state(at, of); s == StateSuspect || s == StateDead {
					t.Fatalf("%s sees %s as %v, but all members are running", at, of, s)
				}
			}
		}
	}
}

// Guards against monitor assignments that depend on who is suspect: views differ on that.
func TestOneCutOffMemberCausesNoOtherSuspicion(t *testing.T) {
	g := newGroup(9)
	g.run(5 * time.Second)
	g.cut[id(4)] = true
	for range 200 {
		g.run(100 * time.Millisecond)
		for at := range g.lists {
			for of := range g.lists {
				if at == id(4) || of == id(4) {
					continue
				}
				if s := g.state(at, of); s == StateSuspect || s == StateDead {
					t.Fatalf("%s sees %s as %v, but only %s is cut off", at, of, s, id(4))
				}
			}
		}
	}
}

func TestFullSyncSpreadsFromSeeds(t *testing.T) {
	g := newGroup(0)
	cfg := DefaultConfig()
	cfg.EnableFullSync = true
	for i := range 9 {
		g.lists[id(i)] = New(cfg, Record{ID: id(i), Incarnation: 1, State: StateAlive, Address: "a"})
	}
	for i := range 9 {
		for _, seed := range []string{id(0), id(1)} {
			if seed != id(i) {
				full := g.lists[id(i)].FullSync()
				full.To = seed
				g.deliver(id(i), []Action{full})
			}
		}
	}
	g.run(2 * time.Second)
	for at, l := range g.lists {
		if n := len(l.Nodes()); n != 9 {
			t.Errorf("%s has %d nodes, want 9", at, n)
		}
	}
}

// Guards against a restarted member that is ignored because its clock was set back and
// its incarnation is lower than before.
func TestRestartWithClockSetBack(t *testing.T) {
	g := newGroup(5)
	g.run(3 * time.Second)
	old := g.lists[id(2)]
	old.self.Incarnation = 1000
	g.run(3 * time.Second)
	cfg := DefaultConfig()
	g.lists[id(2)] = New(cfg, Record{ID: id(2), Incarnation: 7, State: StateAlive, Address: "new"})
	var listed []ListedVM
	for i := range 5 {
		listed = append(listed, ListedVM{ID: id(i), Address: "a"})
	}
	g.lists[id(2)].Step(g.now, ListSeen{listed})
	g.run(8 * time.Second)
	for at, l := range g.lists {
		if at == id(2) {
			continue
		}
		if r, _ := l.Lookup(id(2)); r.State != StateAlive || r.Address != "new" {
			t.Errorf("record at %s = %+v, want that of the restarted member", at, r)
		}
	}
}
