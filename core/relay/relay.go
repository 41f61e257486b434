// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package relay chooses which other gateway of the data hall serves a request
// that this one has no time for. Of two that are drawn by their strength it takes
// the one with fewer requests under way from here. A Chooser is a pure state
// machine; it is not safe for concurrent use.
package relay

import "time"

// avoidFor is how long a gateway that could not be reached is left out: as long as the
// others need to find a silent member dead.
const avoidFor = 3 * time.Second

// Peer is a gateway that may take requests over.
type Peer struct {
	ID       string
	Strength float64 // Strength is what it has of a processor core; it must be above 0.
}

type peer struct {
	Peer
	open  int // open is how many requests are under way there from here.
	avoid time.Time
}

// Chooser knows the gateways that may take requests over.
type Chooser struct {
	peers []*peer
	byID  map[string]*peer
}

// New returns a chooser that knows nobody.
func New() *Chooser { return &Chooser{byID: map[string]*peer{}} }

// SetPeers replaces the gateways. What is under way to those that stay is kept.
func (c *Chooser) SetPeers(peers []Peer) {
	known := c.byID
	c.peers, c.byID = nil, map[string]*peer{}
	for _, p := range peers {
		kept := known[p.ID]
		if kept == nil {
			kept = &peer{}
		}
		kept.Peer = p
		c.peers = append(c.peers, kept)
		c.byID[p.ID] = kept
	}
}

// Available tells whether there is a gateway to choose.
func (c *Chooser) Available(now time.Time) bool {
	for _, p := range c.peers {
		if !now.Before(p.avoid) {
			return true
		}
	}
	return false
}

// Choose returns a gateway, and false where there is none; draw returns random numbers
// between 0 and 1.
func (c *Chooser) Choose(now time.Time, draw func() float64) (id string, ok bool) {
	total := 0.0
	for _, p := range c.peers {
		if !now.Before(p.avoid) {
			total += p.Strength
		}
	}
	if total == 0 {
		return "", false
	}
	first, second := c.peerAt(now, draw()*total), c.peerAt(now, draw()*total)
	if float64(second.open)/second.Strength < float64(first.open)/first.Strength {
		first = second
	}
	return first.ID, true
}

// peerAt returns the gateway peerAt a point of the sum of all strengths.
func (c *Chooser) peerAt(now time.Time, point float64) *peer {
	var last *peer
	for _, p := range c.peers {
		if now.Before(p.avoid) {
			continue
		}
		last = p
		if point -= p.Strength; point < 0 {
			break
		}
	}
	return last
}

// Began counts a request that is handed over.
func (c *Chooser) Began(id string) {
	if p := c.byID[id]; p != nil {
		p.open++
	}
}

// Ended counts that a request which was handed over has ended.
func (c *Chooser) Ended(id string) {
	if p := c.byID[id]; p != nil && p.open > 0 {
		p.open--
	}
}

// Failed tells that a gateway could not be reached.
func (c *Chooser) Failed(now time.Time, id string) {
	if p := c.byID[id]; p != nil {
		p.avoid = now.Add(avoidFor)
	}
}
