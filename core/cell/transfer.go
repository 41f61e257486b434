// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"time"

	"madderway/models/routing"
	"madderway/modules/saturate"
)

const (
	// Fixed time of a transfer: a few round trips and the allocation of memory.
	transferSetup = 3 * time.Millisecond
	// Slowdown of a transfer between data halls.
	crossHallFactor = 2
	// Longest transfer, as a share of the time to prefill the same tokens.
	transferShare = 0.5
)

// transfer is a copy of a cached prompt prefix from one target to another.
type transfer struct {
	source   *target // nil if nothing is copied
	tokens   int
	linkTime time.Duration // time that it uses both links
	delay    time.Duration // time to its end, including transfers before it
}

// cacheHolder is the target with the most tokens of a prompt in its cache.
type cacheHolder struct {
	target *target
	tokens int
}

// consider makes t the holder if it has more tokens, or as many and a link that is free
// earlier.
func (h *cacheHolder) consider(t *target, ready int) {
	if ready > h.tokens || ready == h.tokens && h.target != nil && t.linkFreeAt.Before(h.target.linkFreeAt) {
		h.target, h.tokens = t, ready
	}
}

// findHolders returns the best source for a transfer of the prompt, of all targets and in
// each data hall. Leaving and unresponsive targets are no sources.
func (c *Cell) findHolders(p *routing.Prompt) (best cacheHolder, byHall map[string]cacheHolder) {
	byHall = c.holdersByHall
	clear(byHall)
	if c.transfer == nil {
		return best, byHall
	}
	for i := range c.views {
		v := &c.views[i]
		if !v.source {
			continue
		}
		ready := v.target.engine.CopyableTokens(p)
		if ready == 0 {
			continue
		}
		best.consider(v.target, ready)
		h := byHall[v.target.info.DataHall]
		h.consider(v.target, ready)
		byHall[v.target.info.DataHall] = h
	}
	return best, byHall
}

// transferTo returns the transfer that saves the target the most time, or none if it saves
// little.
func (c *Cell) transferTo(now time.Time, v *view, p *routing.Prompt, missing int, best cacheHolder, byHall map[string]cacheHolder) transfer {
	near := byHall[v.target.info.DataHall]
	a, b := c.planTransfer(now, v, p, missing, best), c.planTransfer(now, v, p, missing, near)
	if b.source != nil && (a.source == nil || v.afterTransfer(missing, b) <= v.afterTransfer(missing, a)) {
		return b
	}
	return a
}

// afterTransfer returns the time until the copy and the prefill of the rest are done.
func (v *view) afterTransfer(missing int, x transfer) time.Duration {
	return x.delay + seconds(float64(missing-x.tokens)/v.speed)
}

func (c *Cell) planTransfer(now time.Time, v *view, p *routing.Prompt, missing int, h cacheHolder) transfer {
	if c.transfer == nil || h.target == nil || h.target == v.target {
		return transfer{}
	}
	tokens := h.tokens - (p.Tokens - missing)
	if tokens <= 0 {
		return transfer{}
	}
	x := transfer{source: h.target, tokens: tokens, linkTime: c.transfer.Time(tokens) + transferSetup}
	if h.target.info.DataHall != v.target.info.DataHall {
		x.linkTime *= crossHallFactor
	}
	x.delay = max(h.target.linkFreeAt.Sub(now), v.target.linkFreeAt.Sub(now), 0) + x.linkTime
	if x.delay > seconds(transferShare*float64(tokens)/v.speed) {
		return transfer{}
	}
	return x
}

// cost returns the weighted link time of the transfer.
func (x transfer) cost() time.Duration {
	return saturate.Duration(transferWeight * float64(x.linkTime))
}

// reserveLinks marks both links as used until the end of the transfer.
func (x transfer) reserveLinks(now time.Time, to *target) {
	if x.source == nil {
		return
	}
	end := now.Add(x.delay)
	x.source.linkFreeAt, to.linkFreeAt = end, end
}
