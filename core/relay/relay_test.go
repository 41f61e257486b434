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

// Requests are spread in proportion to strength.
func TestStrongerPeersGetMoreRequests(t *testing.T) {
	c, rng := chooser(map[string]float64{"a": 0.2, "b": 0.8, "c": 0.2}), rand.New(rand.NewPCG(1, 2))
	got := map[string]int{}
	for range 1200 {
		id, ok := c.Choose(start, rng.Float64, nil)
		if !ok {
			t.Fatal("Choose found no gateway")
		}
		c.Began(id)
		got[id]++
	}
	if got["b"] < 760 || got["b"] > 840 || got["a"] < 160 || got["c"] < 160 {
		t.Errorf("requests by gateway, b being four times as strong: %v, want about 200, 800, 200", got)
	}
}

// A gateway that responds slowly has more requests in flight and gets only those for which it is
// drawn twice: a quarter of all if there are two gateways.
func TestSlowPeerGetsFewerRequests(t *testing.T) {
	c, rng := chooser(map[string]float64{"a": 0.2, "b": 0.2}), rand.New(rand.NewPCG(1, 2))
	got := map[string]int{}
	for range 400 {
		id, _ := c.Choose(start, rng.Float64, nil)
		c.Began(id)
		got[id]++
		if id == "a" {
			c.Ended(id)
		}
	}
	if got["b"] > 130 {
		t.Errorf("gateway b, which finishes nothing, got %d of 400 requests, want at most 130", got["b"])
	}
}

// Unreachable gateways are skipped for avoidFor, even if none remains.
func TestUnreachablePeersAreSkipped(t *testing.T) {
	c, rng := chooser(map[string]float64{"a": 0.2, "b": 0.2}), rand.New(rand.NewPCG(1, 2))
	c.Failed(start, "a")
	for range 50 {
		if id, _ := c.Choose(start, rng.Float64, nil); id != "b" {
			t.Fatalf("chose %s, want b", id)
		}
	}
	c.Failed(start, "b")
	if _, ok := c.Choose(start, rng.Float64, nil); ok || c.Available(start, nil) {
		t.Error("chose an unreachable gateway")
	}
	if later := start.Add(avoidFor); !c.Available(later, nil) {
		t.Error("no gateway is available after avoidFor")
	}
}

// SetPeers keeps the in-flight counts of gateways that stay and drops the others.
func TestSetPeersKeepsInFlightCounts(t *testing.T) {
	c := chooser(map[string]float64{"a": 0.2, "b": 0.2})
	for range 5 {
		c.Began("a")
		c.Began("b")
	}
	c.SetPeers([]Peer{{"b", 0.8}, {"c", 0.2}})
	c.Ended("a") // no longer a peer
	if c.byID["b"].inFlight != 5 || c.byID["b"].Strength != 0.8 || c.byID["c"].inFlight != 0 {
		t.Errorf("peers after SetPeers: %+v", c.byID)
	}
	if _, ok := New().Choose(start, rand.Float64, nil); ok {
		t.Error("chose a gateway without any peers")
	}
}

// Gateways to avoid are chosen only if there are no others.
func TestAvoidedPeersAreTheLastChoice(t *testing.T) {
	c, rng := chooser(map[string]float64{"a": 0.2, "b": 0.2}), rand.New(rand.NewPCG(1, 2))
	for range 50 {
		if id, _ := c.Choose(start, rng.Float64, func(id string) bool { return id == "a" }); id != "b" {
			t.Fatalf("chose %s, want b", id)
		}
	}
	if _, ok := c.Choose(start, rng.Float64, func(string) bool { return true }); !ok {
		t.Error("chose none although all are to be avoided")
	}
}

// Gateways that are excluded do not count as available.
func TestExcludedGatewaysAreNotAvailable(t *testing.T) {
	c := chooser(map[string]float64{"a": 0.2, "b": 0.2})
	if !c.Available(start, func(id string) bool { return id == "a" }) {
		t.Error("the other gateway does not count as available")
	}
	if c.Available(start, func(string) bool { return true }) {
		t.Error("a gateway counts as available although all are excluded")
	}
}
