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

// listWithMembers returns a list with n other members.
func listWithMembers(n int) *List {
	l := New(DefaultConfig(), Record{ID: "self", Incarnation: 1})
	for i := range n {
		l.Step(start, HeartbeatSeen{From: Record{ID: fmt.Sprintf("m%04d", i), Incarnation: 1, State: StateAlive, Address: "a"}})
	}
	l.Step(start, Tick{})
	return l
}

// Guards against views in which a member monitors another one that does not list it as
// a monitor, or the reverse.
func TestMonitoredMatchesMonitorsOf(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, n := range []int{0, 1, 2, 3, 4, 9, 60} {
		for range 50 {
			l := listWithMembers(n)
			for _, m := range l.members {
				m.State = State(1 + rng.IntN(4))
			}
			l.monitorsStale = true
			l.updateMonitors(start)
			for _, id := range l.sorted {
				_, monitored := l.monitored[id]
				if isMonitor := slices.Contains(l.monitorsOf(id), "self"); isMonitor != monitored {
					t.Fatalf("%d members: %s has this member as a monitor: %v, but is monitored by it: %v", n, id, isMonitor, monitored)
				}
			}
		}
	}
}

// Guards against one member filling several of the monitor slots.
func TestMonitorsAreDistinct(t *testing.T) {
	for _, n := range []int{0, 1, 2, 3, 9, 300} {
		l := listWithMembers(n)
		monitors := slices.Clone(l.monitors)
		slices.Sort(monitors)
		if got := len(slices.Compact(monitors)); got != min(n, 3) {
			t.Errorf("%d others: got %d distinct monitors, want one per ring or all others", n, got)
		}
	}
}

// Guards against recomputing the monitors of all members on each change.
func TestChangeCostIndependentOfFleetSize(t *testing.T) {
	allocations := func(n int) float64 {
		l := listWithMembers(n)
		now, epoch := start, uint32(0)
		return testing.AllocsPerRun(50, func() {
			epoch++
			now = now.Add(time.Millisecond)
			l.Step(now, HeartbeatSeen{From: Record{ID: "m0001", Incarnation: 1, Epoch: epoch, State: StateAlive, Address: "a"}})
			l.Step(now, Tick{})
		})
	}
	small, large := allocations(20), allocations(1000)
	if large > 2*small+20 {
		t.Errorf("a change takes %.0f allocations with 20 members, but %.0f with 1,000", small, large)
	}
}

// Guards against rumors that stay in a part of the fleet or take too many hops.
func TestGossipPeersReachWholeFleet(t *testing.T) {
	const n = 300
	ids := []string{}
	for i := range n {
		ids = append(ids, fmt.Sprintf("m%04d", i))
	}
	peers := map[string][]string{}
	for _, self := range ids {
		l := New(DefaultConfig(), Record{ID: self, Incarnation: 1})
		for _, id := range ids {
			if id != self {
				l.Step(start, HeartbeatSeen{From: Record{ID: id, Incarnation: 1, State: StateAlive, Address: "a"}})
			}
		}
		peers[self] = l.GossipPeers(start)
		if len(peers[self]) > 16 {
			t.Errorf("%s has %d gossip peers, want at most 16", self, len(peers[self]))
		}
	}
	steps, reached := 0, map[string]bool{ids[0]: true}
	for frontier := []string{ids[0]}; len(frontier) > 0; steps++ {
		var next []string
		for _, from := range frontier {
			for _, to := range peers[from] {
				if !reached[to] {
					reached[to] = true
					next = append(next, to)
				}
			}
		}
		frontier = next
	}
	if len(reached) != n || steps > 8 {
		t.Errorf("rumor reached %d of %d members in %d steps, want all in at most 8", len(reached), n, steps)
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
			now, epoch := start, uint32(0)
			for b.Loop() {
				epoch++
				now = now.Add(100 * time.Microsecond)
				l.Step(now, HeartbeatSeen{From: Record{ID: "m0001", Incarnation: 1, Epoch: epoch, State: StateAlive, Address: "a"}})
				l.Step(now, Tick{})
			}
		})
	}
}
