// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package member

import (
	"fmt"
	"testing"
	"time"
)

// fleet simulates gateways that discover each other through three seeds, on a fake clock.
type fleet struct {
	now       time.Time
	ids       []string
	lists     map[string]*List
	partition map[string]int // side of a network partition by member ID
	bytes     int            // records sent
	received  map[string]int // heartbeats by member ID
}

func fleetConfig() Config {
	cfg := DefaultConfig()
	cfg.Interval, cfg.SuspectAfter, cfg.DeadAfter, cfg.EnableFullSync = 400*time.Millisecond, 1200*time.Millisecond, 1500*time.Millisecond, true
	cfg.MaxRumors, cfg.SyncRecordsPerSecond = 128, 20_000
	return cfg
}

func newFleet(n int) *fleet {
	f := &fleet{now: start, lists: map[string]*List{}, partition: map[string]int{}, received: map[string]int{}}
	for i := range n {
		id := fmt.Sprintf("m%04d", i)
		f.ids = append(f.ids, id)
		f.lists[id] = New(fleetConfig(), Record{ID: id, Incarnation: 1, State: StateAlive, Address: "a"})
	}
	return f
}

// contactSeeds sends a heartbeat from each member to the seeds.
func (f *fleet) contactSeeds(ids []string) {
	for _, id := range ids {
		for _, seed := range f.ids[:3] {
			if seed != id {
				f.deliver(id, []Action{SendHeartbeat{To: seed, From: f.lists[id].Self()}})
			}
		}
	}
}

func (f *fleet) deliver(from string, actions []Action) {
	for _, a := range actions {
		hb, ok := a.(SendHeartbeat)
		if !ok || f.partition[from] != f.partition[hb.To] {
			continue
		}
		f.bytes += 1 + len(hb.Rumors)
		f.received[hb.To]++
		f.deliver(hb.To, f.lists[hb.To].Step(f.now, HeartbeatSeen{From: hb.From, Rumors: hb.Rumors, View: hb.View, RequestSync: hb.RequestSync, Probe: hb.Probe}))
	}
}

func (f *fleet) run(d time.Duration) {
	const step = 100 * time.Millisecond
	for range d / step {
		f.now = f.now.Add(step)
		for _, id := range f.ids {
			f.deliver(id, f.lists[id].Step(f.now, Tick{}))
		}
	}
}

// smallestView returns the lowest number of alive members known to any of ids.
func (f *fleet) smallestView(ids []string) int {
	smallest := len(f.ids)
	for _, id := range ids {
		smallest = min(smallest, len(f.lists[id].Nodes()))
	}
	return smallest
}

// Guards against an incomplete membership list after the whole fleet starts at once.
func TestLargeFleetConvergesFromSeeds(t *testing.T) {
	const n = 300
	f := newFleet(n)
	for i := range 3 {
		f.contactSeeds(f.ids[i*n/3 : (i+1)*n/3])
		f.run(100 * time.Millisecond)
	}
	f.run(6 * time.Second)
	if got := f.smallestView(f.ids); got != n {
		t.Errorf("smallest view has %d of %d members after 6 s", got, n)
	}
	f.bytes = 0
	f.run(10 * time.Second)
	if perSecond := float64(f.bytes) / n / 10; perSecond > 12 {
		t.Errorf("steady state: each member sends %.1f records a second, want at most 12", perSecond)
	}
}

// Members that started together all send heartbeats to the same member at a time.
func TestRotatingContactsAreSpread(t *testing.T) {
	const n = 300
	f := newFleet(n)
	f.contactSeeds(f.ids)
	f.run(8 * time.Second)
	for range 5 {
		clear(f.received)
		f.run(time.Second)
		for id, heartbeats := range f.received {
			if heartbeats > 30 {
				t.Fatalf("%s gets %d heartbeats in a second, want at most 30 in a fleet of any size", id, heartbeats)
			}
		}
	}
}

// Guards against members that stay dead or unknown to others after a partition heals.
func TestLargeFleetConvergesAfterPartition(t *testing.T) {
	const n = 300
	f := newFleet(n)
	f.contactSeeds(f.ids)
	f.run(5 * time.Second)
	for i, id := range f.ids {
		f.partition[id] = i % 3 / 2
	}
	f.run(8 * time.Second)
	if got := len(f.lists[f.ids[2]].Nodes()); got > n/2 {
		t.Errorf("smaller side still has %d members alive, want at most half of the fleet", got)
	}
	clear(f.partition)
	f.run(8 * time.Second)
	if got := f.smallestView(f.ids); got != n {
		t.Errorf("smallest view has %d of %d members 8 s after the partition", got, n)
	}
}

// When a fleet of twice the largest size starts at once, a seed sends every member all records: the
// square of the fleet.
func TestSeedSendsBoundedRecordsAtFleetStart(t *testing.T) {
	const n, seconds = 1970, 2
	cfg := fleetConfig()
	seed := New(cfg, Record{ID: "seed", Incarnation: 1, Address: "a"})
	records, unanswered := 0, 0
	for i := range n {
		now := start.Add(time.Duration(i) * seconds * time.Second / n)
		answered := 0
		for _, a := range seed.Step(now, HeartbeatSeen{From: Record{ID: fmt.Sprintf("m%04d", i), Incarnation: 1, State: StateAlive, Address: "a"}}) {
			if hb, ok := a.(SendHeartbeat); ok {
				answered += len(hb.Rumors)
			}
		}
		records += answered
		if answered < min(i, syncSample) {
			unanswered++
		}
	}
	if most := (seconds+1)*cfg.SyncRecordsPerSecond + n*syncSample; records > most || unanswered > 0 {
		t.Errorf("a seed sends %d records to %d members, want at most %d; %d of them learn of too few others", records, n, most, unanswered)
	}
}
