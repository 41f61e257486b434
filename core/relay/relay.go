// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package relay chooses the gateway of the data hall to which an overloaded gateway hands a
// request over. It draws two gateways, weighted by strength, and takes the one with fewer
// requests in flight from here per strength. A Chooser is a pure state machine; it is not
// safe for concurrent use.
package relay

import (
	"slices"
	"time"
)

// avoidFor is how long an unreachable gateway is skipped: about as long as the membership
// protocol needs to declare a silent member dead.
const avoidFor = 3 * time.Second

// Peer is a gateway that may take requests over.
type Peer struct {
	ID       string
	Strength float64 // in processor cores, above 0
}

type peer struct {
	Peer
	inFlight   int // handed over from here
	avoidUntil time.Time
}

// Chooser chooses among the gateways that may take requests over.
type Chooser struct {
	peers []*peer
	byID  map[string]*peer
}

// New returns a chooser without gateways.
func New() *Chooser { return &Chooser{byID: map[string]*peer{}} }

// SetPeers replaces the gateways. Those that stay keep their in-flight counts.
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

// Available reports whether there is a gateway to choose beside those that exclude reports, which may be
// nil.
func (c *Chooser) Available(now time.Time, exclude func(id string) bool) bool {
	for _, p := range c.peers {
		if !now.Before(p.avoidUntil) && (exclude == nil || !exclude(p.ID)) {
			return true
		}
	}
	return false
}

// Choose returns a gateway, or false if none is available; draw returns random numbers between 0
// and 1. Gateways that avoid reports, which may be nil, are chosen only if there are no others.
func (c *Chooser) Choose(now time.Time, draw func() float64, avoid func(id string) bool) (id string, ok bool) {
	available := make([]*peer, 0, len(c.peers))
	for _, p := range c.peers {
		if !now.Before(p.avoidUntil) {
			available = append(available, p)
		}
	}
	preferred := available
	if avoid != nil {
		preferred = slices.DeleteFunc(slices.Clone(available), func(p *peer) bool { return avoid(p.ID) })
	}
	if len(preferred) == 0 {
		preferred = available
	}
	if len(preferred) == 0 {
		return "", false
	}
	first, second := drawByStrength(preferred, draw()), drawByStrength(preferred, draw())
	if float64(second.inFlight)/second.Strength < float64(first.inFlight)/first.Strength {
		first = second
	}
	return first.ID, true
}

// drawByStrength returns the gateway at a point, between 0 and 1, of the cumulative strengths.
func drawByStrength(peers []*peer, point float64) *peer {
	total := 0.0
	for _, p := range peers {
		total += p.Strength
	}
	point *= total
	for _, p := range peers {
		if point -= p.Strength; point < 0 {
			return p
		}
	}
	return peers[len(peers)-1]
}

// Began counts a request handed over to the gateway as in flight.
func (c *Chooser) Began(id string) {
	if p := c.byID[id]; p != nil {
		p.inFlight++
	}
}

// Ended counts a request handed over to the gateway as finished.
func (c *Chooser) Ended(id string) {
	if p := c.byID[id]; p != nil && p.inFlight > 0 {
		p.inFlight--
	}
}

// Failed records that a gateway could not be reached, so that it is skipped for a while.
func (c *Chooser) Failed(now time.Time, id string) {
	if p := c.byID[id]; p != nil {
		p.avoidUntil = now.Add(avoidFor)
	}
}
