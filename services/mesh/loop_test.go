// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"errors"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"

	"madderway/core/cell"
	"madderway/modules/ring"
	"madderway/modules/wire"
	"madderway/services/follow"
)

// A scheduler must not mistake requests of a restarted gateway for those of its previous
// incarnation.
func TestRequestIDsDifferBetweenIncarnations(t *testing.T) {
	const perIncarnation = 100_000
	seen := map[uint64]uint64{}
	for incarnation := uint64(1_860_956_372_910_583); incarnation < 1_860_956_372_910_583+2000; incarnation++ {
		first := firstID(incarnation)
		for other, otherFirst := range seen {
			if first < otherFirst+perIncarnation && otherFirst < first+perIncarnation && first != otherFirst {
				t.Fatalf("incarnations %d and %d overlap: first IDs %d and %d", incarnation, other, first, otherFirst)
			}
		}
		if len(seen) < 50 {
			seen[incarnation] = first
		}
	}
	if firstID(1) == firstID(2) {
		t.Error("two incarnations have the same first ID")
	}
}

func TestMessagesRoundTrip(t *testing.T) {
	v := follow.Versions{Configuration: 3, Targets: 9, TargetsComplete: 12, ConfigurationAge: 1_000_000, TargetsAge: 5_000_000_000}
	if got := versionsFromWire(versionsToWire(v)); got != v {
		t.Errorf("versions = %+v after a round trip, want %+v", got, v)
	}
	room := cell.Room{Cell: "s/1", Wait: 30 * time.Millisecond, SpareTokens: 70_000}
	if got := roomFromWire(roomToWire(room)); got != room {
		t.Errorf("room = %+v after a round trip, want %+v", got, room)
	}
	if progressEvent("g", &wire.EngineProgress{Step: 99}) != nil {
		t.Error("progressEvent returned an event for an unknown step")
	}
}

// No frame from a peer may cause a panic.
func FuzzMesh(f *testing.F) {
	ask := &wire.Frame{EngineAsks: []*wire.EngineAsk{{Cell: "s/0", Id: 1, Account: "a", Prompt: &wire.Prompt{Tokens: 5, Output: 2, Parts: []*wire.PromptPart{{Id: 1, Tokens: 5}}}, HoldMs: 100}}}
	inventory := &wire.Frame{EngineInventories: []*wire.EngineInventory{{Cell: "s/0", Held: []*wire.EngineHeld{{Id: 1, Target: "t"}}}}, EngineProgress: []*wire.EngineProgress{{Cell: "s/0", Id: 1, Step: 2, Outcome: 200}}}
	handover := &wire.Frame{EngineHandovers: []*wire.EngineHandover{{Cell: "s/0", Targets: []*wire.EngineTargetState{{Target: "t", TokensPerSecond: 1}}, Promises: []*wire.EnginePromise{{Request: 1, ReturnInMs: -5}}}}}
	rooms := &wire.Frame{EngineTallies: []*wire.EngineTally{{Service: "s", Rooms: []*wire.EngineRoom{{Cell: "s/1", WaitMs: 1, SpareTokens: 100}}}}}
	for _, seed := range []*wire.Frame{ask, inventory, handover, rooms, {Heartbeat: &wire.Heartbeat{From: &wire.Member{Id: "g", State: 1}}}} {
		content, err := proto.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Fuzz(func(_ *testing.T, content []byte) {
		frame := &wire.Frame{}
		if proto.Unmarshal(content, frame) != nil {
			return
		}
		c := cell.New()
		now := time.Unix(1_700_000_000, 0)
		rules := cell.Rules{Returns: true, Handover: true, Room: true, CrossingCost: time.Millisecond}
		c.Step(now, cell.TargetsSeen{TokensPerSecond: 1000, Rules: rules, Targets: []cell.TargetInfo{{ID: "t", Slots: 4, CacheTokens: 100, DataHall: "a"}}})
		for _, p := range frame.EngineProgress {
			if ev := progressEvent("g", p); ev != nil {
				c.Step(now, ev)
			}
		}
		for _, h := range frame.EngineHandovers {
			c.Step(now, handoverFromWire(now, h))
		}
		for _, inv := range frame.EngineInventories {
			c.Step(now, inventoryFromWire("g", inv, frame.EngineProgress))
		}
		for _, t := range frame.EngineTallies {
			c.Step(now, roomsSeen("s/0", t.Rooms))
		}
		for _, a := range frame.EngineAsks {
			c.Step(now, cell.AskSeen{Entry: "g", Ask: askFromWire(a)})
		}
		c.Step(now.Add(time.Minute), cell.Tick{})
	})
}

// A fetch uses what the loop may still be setting while the gateway stops.
func TestFetchFailsWhileLoopStops(t *testing.T) {
	l := &Loop{t: &tomb.Tomb{}, inputs: ring.New[input]("mesh", 1)}
	l.t.Go(func() error {
		<-l.t.Dying()
		return nil
	})
	fetched := make(chan error)
	go func() {
		_, err := l.FetchState(t.Context(), "peer", follow.StateRequest{})
		fetched <- err
	}()
	pending := <-l.inputs.Out()
	l.t.Kill(nil)
	if err := <-fetched; !errors.Is(err, ErrStopped) {
		t.Errorf("fetching from a loop that has not run the call: %v, want ErrStopped", err)
	}
	if _, ok := pending.(doIn); !ok {
		t.Errorf("input %T, want the call", pending)
	}
}
