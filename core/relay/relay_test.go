// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package relay

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func chooser(strengths map[string]float64) *Chooser {
	c := New()
	var peers []Peer
	for _, id := range []string{"a", "b", "c", "d"} {
		if s := strengths[id]; s > 0 {
			peers = append(peers, Peer{id, s})
		}
	}
	c.SetPeers(peers)
	return c
}

// Work goes by strength: who is four times as strong has about four times as much.
func TestStrongerPeersGetMoreRequests(t *testing.T) {
	c, rng := chooser(map[string]float64{"a": 0.2, "b": 0.8, "c": 0.2}), rand.New(rand.NewPCG(1, 2))
	got := map[string]int{}
	for range 1200 {
		id, ok := c.Choose(start, rng.Float64)
		if !ok {
			t.Fatal("nobody to choose")
		}
		c.Began(id)
		got[id]++
	}
	if got["b"] < 760 || got["b"] > 840 || got["a"] < 160 || got["c"] < 160 {
		t.Errorf("a, b and c, of which b is four times as strong, have %v", got)
	}
}

// Who answers slowly has more under way and gets less: only what both draws give it, a
// quarter of all where there are two.
func TestSlowPeerGetsFewerRequests(t *testing.T) {
	c, rng := chooser(map[string]float64{"a": 0.2, "b": 0.2}), rand.New(rand.NewPCG(1, 2))
	got := map[string]int{}
	for range 400 {
		id, _ := c.Choose(start, rng.Float64)
		c.Began(id)
		got[id]++
		if id == "a" {
			c.Ended(id)
		}
	}
	if got["b"] > 130 {
		t.Errorf("b, which ends nothing, got %d of 400", got["b"])
	}
}

// Who could not be reached is left out for a while; where that holds for all there is
// nobody to choose.
func TestUnreachablePeersAreSkipped(t *testing.T) {
	c, rng := chooser(map[string]float64{"a": 0.2, "b": 0.2}), rand.New(rand.NewPCG(1, 2))
	c.Failed(start, "a")
	for range 50 {
		if id, _ := c.Choose(start, rng.Float64); id != "b" {
			t.Fatalf("chose %s", id)
		}
	}
	c.Failed(start, "b")
	if _, ok := c.Choose(start, rng.Float64); ok || c.Available(start) {
		t.Error("chose somebody that cannot be reached")
	}
	if later := start.Add(avoidFor); !c.Available(later) {
		t.Error("nobody is there after a while")
	}
}

// A new list keeps what is under way to those that stay, and forgets the others.
func TestSetPeersKeepsInFlightCounts(t *testing.T) {
	c := chooser(map[string]float64{"a": 0.2, "b": 0.2})
	for range 5 {
		c.Began("a")
		c.Began("b")
	}
	c.SetPeers([]Peer{{"b", 0.8}, {"c", 0.2}})
	c.Ended("a") // it is not known any more
	if c.byID["b"].inFlight != 5 || c.byID["b"].Strength != 0.8 || c.byID["c"].inFlight != 0 {
		t.Errorf("%+v", c.byID)
	}
	if _, ok := New().Choose(start, rand.Float64); ok {
		t.Error("chose somebody of nobody")
	}
}
