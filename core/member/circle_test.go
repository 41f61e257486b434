// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// listWithMembers returns a list that knows n members.
func listWithMembers(n int) *List {
	l := New(DefaultConfig(), Record{ID: "self", Incarnation: 1})
	for i := range n {
		l.Step(start, HeartbeatSeen{From: Record{ID: fmt.Sprintf("m%04d", i), Incarnation: 1, State: StateAlive, Address: "a"}})
	}
	l.Step(start, Tick{})
	return l
}

// The members that watch and those that are watched must agree in any view: who
// counts itself among the monitors of another one is named by that one's heartbeats.
func TestMonitoredMatchesMonitorsOf(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 2))
	for _, n := range []int{0, 1, 2, 3, 4, 9, 60} {
		for range 50 {
			l := listWithMembers(n)
			for _, m := range l.members {
				m.State = State(1 + draw.IntN(4))
			}
			l.monitorsStale = true
			l.updateMonitors(start)
			for _, id := range l.sorted {
				_, watched := l.monitored[id]
				if names := slices.Contains(l.monitorsOf(id), "self"); names != watched {
					t.Fatalf("%d members: %s names this one: %v, watched: %v", n, id, names, watched)
				}
			}
		}
	}
}

// Each member has as many distinct monitors as there are, three at most.
func TestMonitorsAreDistinct(t *testing.T) {
	for _, n := range []int{0, 1, 2, 3, 9, 300} {
		l := listWithMembers(n)
		monitors := slices.Clone(l.monitors)
		slices.Sort(monitors)
		if got := len(slices.Compact(monitors)); got != min(n, 3) {
			t.Errorf("%d others: %d distinct monitors", n, got)
		}
	}
}

// What a change of membership costs must not grow with the fleet. It did: each
// member worked out anew who watches each other one, which took three quarters of
// the processor time of 295 gateways.
func TestChangeCostIndependentOfFleetSize(t *testing.T) {
	allocations := func(n int) float64 {
		l := listWithMembers(n)
		now, round := start, uint32(0)
		return testing.AllocsPerRun(50, func() {
			round++
			now = now.Add(time.Millisecond)
			l.Step(now, HeartbeatSeen{From: Record{ID: "m0001", Incarnation: 1, Epoch: round, State: StateAlive, Address: "a"}})
			l.Step(now, Tick{})
		})
	}
	small, large := allocations(20), allocations(1000)
	if large > 2*small+20 {
		t.Errorf("a change takes %.0f allocations among 20 members, %.0f among 1,000", small, large)
	}
}

// News reaches all of a large fleet by the neighbours of each member alone.
func TestGossipPeersReachWholeFleet(t *testing.T) {
	const n = 300
	ids := []string{}
	for i := range n {
		ids = append(ids, fmt.Sprintf("m%04d", i))
	}
	near := map[string][]string{}
	for _, self := range ids {
		l := New(DefaultConfig(), Record{ID: self, Incarnation: 1})
		for _, id := range ids {
			if id != self {
				l.Step(start, HeartbeatSeen{From: Record{ID: id, Incarnation: 1, State: StateAlive, Address: "a"}})
			}
		}
		near[self] = l.GossipPeers(start)
		if len(near[self]) > 16 {
			t.Errorf("%s tells %d others", self, len(near[self]))
		}
	}
	steps, knows := 0, map[string]bool{ids[0]: true}
	for news := []string{ids[0]}; len(news) > 0; steps++ {
		var next []string
		for _, from := range news {
			for _, to := range near[from] {
				if !knows[to] {
					knows[to] = true
					next = append(next, to)
				}
			}
		}
		news = next
	}
	if len(knows) != n || steps > 8 {
		t.Errorf("%d of %d know after %d steps", len(knows), n, steps)
	}
}

func BenchmarkMembershipTick(b *testing.B) {
	for _, n := range []int{20, 100, 300, 1000} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			l := listWithMembers(n)
			now := start
			for b.Loop() {
				now = now.Add(100 * time.Microsecond)
				l.Step(now, Tick{})
			}
		})
	}
}

func BenchmarkMembershipChange(b *testing.B) {
	for _, n := range []int{20, 100, 300, 1000} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			l := listWithMembers(n)
			now, round := start, uint32(0)
			for b.Loop() {
				round++
				now = now.Add(100 * time.Microsecond)
				l.Step(now, HeartbeatSeen{From: Record{ID: "m0001", Incarnation: 1, Epoch: round, State: StateAlive, Address: "a"}})
				l.Step(now, Tick{})
			}
		})
	}
}
