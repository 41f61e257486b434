// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"time"

	"madderway/models/routing"
)

const (
	// transferSetup is what a transfer takes beside its bytes: the request between
	// the two engines and the allocation of memory. Engines do not state it; it is
	// of the order of a few round trips in a data hall.
	transferSetup = 3 * time.Millisecond
	// farFactor is how much longer a transfer between data halls takes.
	farFactor = 2
	// transferShare is the part of the time for reading that a transfer may take:
	// where it takes more, little is gained for what it takes from the links.
	transferShare = 0.5
)

// transfer is a copy of the beginning of a prompt from one engine to another.
type transfer struct {
	source *target       // source is nil where nothing is copied.
	tokens int           // tokens that are copied
	link   time.Duration // link is how long it takes both engines' links.
	takes  time.Duration // takes is the time until it is there, behind other transfers.
}

// keeper is the engine of a data hall, or of all, that has most of a prompt in
// memory.
type keeper struct {
	target *target
	ready  int
}

func (k *keeper) offer(t *target, ready int) {
	if ready > k.ready || ready == k.ready && k.target != nil && t.linkFree.Before(k.target.linkFree) {
		k.target, k.ready = t, ready
	}
}

// keepers returns who keeps most of the prompt, of all engines and in each data
// hall; nobody where engines do not copy. Engines that leave or give no sign are no
// sources.
func (c *Cell) keepers(p *routing.Prompt) (best keeper, inHall map[string]keeper) {
	inHall = c.inHall
	clear(inHall)
	if c.transfer == nil {
		return best, inHall
	}
	for i := range c.views {
		v := &c.views[i]
		if !v.source {
			continue
		}
		ready := v.target.engine.Ready(p)
		if ready == 0 {
			continue
		}
		best.offer(v.target, ready)
		k := inHall[v.target.info.DataHall]
		k.offer(v.target, ready)
		inHall[v.target.info.DataHall] = k
	}
	return best, inHall
}

// transferTo returns the transfer that saves an engine the most time, or none
// where reading is about as fast.
func (c *Cell) transferTo(now time.Time, v *view, p *routing.Prompt, missing int, best keeper, inHall map[string]keeper) transfer {
	near := inHall[v.target.info.DataHall]
	a, b := c.planTransfer(now, v, p, missing, best), c.planTransfer(now, v, p, missing, near)
	if b.source != nil && (a.source == nil || v.afterTransfer(missing, b) <= v.afterTransfer(missing, a)) {
		return b
	}
	return a
}

// afterTransfer returns the time until a prompt is read after a transfer.
func (v *view) afterTransfer(missing int, x transfer) time.Duration {
	return x.takes + seconds(float64(missing-x.tokens)/v.speed)
}

func (c *Cell) planTransfer(now time.Time, v *view, p *routing.Prompt, missing int, k keeper) transfer {
	if c.transfer == nil || k.target == nil || k.target == v.target {
		return transfer{}
	}
	tokens := k.ready - (p.Tokens - missing)
	if tokens <= 0 {
		return transfer{}
	}
	x := transfer{source: k.target, tokens: tokens, link: c.transfer.Time(tokens) + transferSetup}
	if k.target.info.DataHall != v.target.info.DataHall {
		x.link *= farFactor
	}
	x.takes = max(k.target.linkFree.Sub(now), v.target.linkFree.Sub(now), 0) + x.link
	if x.takes > seconds(transferShare*float64(tokens)/v.speed) {
		return transfer{}
	}
	return x
}

// cost returns what a transfer counts for in the choice of a target.
func (x transfer) cost() time.Duration { return time.Duration(transferWeight * float64(x.link)) }

// take reserves both engines' links for a transfer that begins now.
func (x transfer) take(now time.Time, to *target) {
	if x.source == nil {
		return
	}
	end := now.Add(x.takes)
	x.source.linkFree, to.linkFree = end, end
}
