// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"cmp"
	"slices"
	"time"

	"madderway/core/place"
	"madderway/models/routing"
	"madderway/modules/saturate"
)

const (
	// Weight of the time to prefill a shared part again: it also evicts parts that others
	// need.
	rereadWeight = 3.0
	// Weight of the link time of a transfer: it uses two targets' links and cache memory.
	transferWeight = 4.0
	// Penalty in the choice for a target where all recent runs failed.
	errorPenalty = 2 * time.Second
	// Penalty in the choice for a target with a full batch: its tokens come slower.
	fullBatchPenalty = 60 * time.Millisecond
	// After this part of its hold time a request takes any target with less than
	// spillBacklog booked where it is in time, even if its shared parts are prefilled
	// again there. At a busy target the repeated prefill would cost others more than the
	// request gains.
	spillShare   = 0.35
	spillBacklog = 25 * time.Millisecond
	// Part of the objective that an estimated wait may use up. The rest is for what the estimate
	// of a target does not see.
	inTimeShare = 0.85
)

// Probability that the home of a prompt's prefix has it in its cache although this
// scheduler has not seen that. The home is the target with the highest hash; earlier
// schedulers also preferred it.
const homeCacheProbability = 0.25

// option is a target that could take a request.
type option struct {
	index    int           // index in Cell.views
	missing  int           // prompt tokens that are not in the target's cache
	transfer               // copy of some of the missing tokens
	wait     time.Duration // estimated time to the first event
	cost     time.Duration // wait plus the weighted cost to other requests
	tieBreak uint64        // hash of target and prompt; the highest wins
	// preference changes the cost among targets that take the request now: its data hall, and
	// what its prefill does to the streams beside it.
	preference time.Duration
}

// choose returns the target for a request, or false if it should wait. It takes the
// cheapest target if its backlog is short. A request that has waited for spillShare of its
// hold time takes any target where it is in time.
func (c *Cell) choose(now time.Time, w *waiter) (option, Reason, bool) {
	options := c.options(now, w)
	best, ok := c.pickCheapest(now, w, options)
	if !ok {
		return option{}, ReasonCheapest, false
	}
	if c.awaitsCaches(now) && sharedTokens(w.ask.Prompt, best.missing-best.tokens) > 0 {
		return option{}, ReasonCheapest, false
	}
	if c.rules.Forecast {
		return c.chooseByForecast(now, w, best, options)
	}
	if c.views[best.index].accepts(backlogLimit) {
		return best, ReasonCheapest, true
	}
	if now.Sub(w.arrived) < saturate.Duration(spillShare*float64(w.ask.Hold)) {
		return option{}, ReasonCheapest, false
	}
	// Starved accounts may spill to busier targets: fairness is worth the repeated
	// prefill.
	limit, reason := spillBacklog, ReasonSpilled
	if c.starved(now, c.account(w.ask.Account)) {
		limit, reason = backlogLimit, ReasonStarved
	}
	open := options[:0]
	for _, o := range options {
		if c.views[o.index].accepts(c.spillLimit(w, o, limit)) && w.inTime(now, o.wait) {
			open = append(open, o)
		}
	}
	if len(open) == 0 {
		return option{}, reason, false
	}
	return slices.MinFunc(open, func(a, b option) int { return compare(a, b, a.wait+a.preference, b.wait+b.preference) }), reason, true
}

// spillLimit returns how much prefill time may be booked at a target that a request spills
// to: limit if shared parts are prefilled again there, more if they are copied cheaply.
func (c *Cell) spillLimit(w *waiter, o option, limit time.Duration) time.Duration {
	if sharedTokens(w.ask.Prompt, o.missing-o.tokens) > 0 {
		return limit
	}
	return max(limit, backlogLimit-o.transfer.cost())
}

// pickCheapest returns the cheapest option and records it as the request's preferred
// target.
func (c *Cell) pickCheapest(now time.Time, w *waiter, options []option) (option, bool) {
	if len(options) == 0 {
		w.best = nil
		return option{}, false
	}
	best := c.cheapest(now, w, options)
	w.best = c.views[best.index].target
	if c.rules.Forecast {
		w.prospect.update(c.views, best, options, w.ask.Prompt)
	}
	return best, true
}

// compare orders options by the times x and y, then by hash.
func compare(a, b option, x, y time.Duration) int {
	if x != y {
		return cmp.Compare(x, y)
	}
	return cmp.Compare(b.tieBreak, a.tieBreak)
}

// inTime reports whether the request meets its objective if its first event comes after
// the wait.
func (w *waiter) inTime(now time.Time, wait time.Duration) bool {
	if w.ask.Objective <= 0 {
		return true
	}
	left := w.ask.Objective - now.Sub(w.first)
	return wait <= saturate.Duration(inTimeShare*float64(left))
}

// options returns the targets that could take the request now or soon.
func (c *Cell) options(now time.Time, w *waiter) []option {
	p := w.ask.Prompt
	output := p.OutputEstimate()
	scores := c.scores(w)
	out := c.scratch[:0]
	home := -1
	best, byHall := c.findHolders(p)
	crossing := c.crossingCost(&w.ask)
	for i := range c.views {
		v := &c.views[i]
		if !v.usable || !w.ask.mayUse(&v.target.info) {
			continue
		}
		missing := v.target.engine.UncachedTokens(p)
		if !v.target.engine.Fits(missing, output) {
			continue
		}
		o := v.option(p, missing, c.transferTo(now, v, p, missing, best, byHall))
		o.index, o.tieBreak = i, scores[i]
		o.preference = c.hallCost(now, &w.ask, &o, crossing) + c.delayCost(v, missing-o.tokens)
		out = append(out, o)
		if home < 0 || o.tieBreak > out[home].tieBreak {
			home = len(out) - 1
		}
	}
	c.scratch = out
	if home >= 0 {
		c.discountHome(&out[home], p)
	}
	return out
}

// scores returns the hash of each target for the request, in the order of the views.
func (c *Cell) scores(w *waiter) []uint64 {
	if w.scoresVersion == c.layoutVersion {
		return w.scores
	}
	w.scoresVersion, w.scores = c.layoutVersion, w.scores[:0]
	affinity := w.ask.Prompt.AffinityKey()
	for _, t := range c.sorted {
		w.scores = append(w.scores, place.Score(t.info.ID, affinity))
	}
	return w.scores
}

func (v *view) option(p *routing.Prompt, missing int, x transfer) option {
	prefill := missing - x.tokens
	wait := max(v.baseWait, x.delay) + seconds(float64(prefill)/v.speed)
	reread := seconds((rereadWeight - 1) * float64(sharedTokens(p, prefill)) / v.speed)
	return option{missing: missing, transfer: x, wait: wait, cost: wait + v.penalty + reread + x.cost()}
}

// discountHome reduces the home's cost by the prefill time that its cache probably saves.
func (c *Cell) discountHome(o *option, p *routing.Prompt) {
	shared := float64(sharedTokens(p, o.missing-o.tokens))
	o.cost -= seconds(homeCacheProbability * rereadWeight * shared / c.views[o.index].speed)
}

// sharedTokens returns the number of missing tokens in parts that other requests share.
func sharedTokens(p *routing.Prompt, missing int) int {
	return max(missing-p.OwnTokens(), 0)
}

func seconds(s float64) time.Duration { return saturate.Seconds(s) }
