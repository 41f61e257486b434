// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"cmp"
	"slices"
	"time"

	"madderway/core/place"
	"madderway/models/routing"
)

// Weights of the choice of a target.
const (
	// rereadWeight makes reading a shared part anew dearer than its time alone:
	// it also pushes out what others will need.
	rereadWeight = 3.0
	// transferWeight makes a transfer dearer than its time alone, as rereadWeight
	// does: it takes two engines' links, and memory that others' prompts are kept in.
	transferWeight = 4.0
	// errorPenalty is the wait that a share of failed runs of 1 stands for.
	errorPenalty = 2 * time.Second
	// crowdPenalty is the wait that a full batch stands for: its tokens come
	// slower.
	crowdPenalty = 60 * time.Millisecond
	// spillShare is the part of its wait after which a request takes any target
	// where it is in time, though its beginning has to be read there anew. The
	// target must be all but idle: a busy one would lose to the reading what the
	// others on it gain, and all would read everything.
	spillShare   = 0.35
	spillBacklog = 25 * time.Millisecond
	// inTimeShare leaves room for what the model of an engine does not see.
	inTimeShare = 0.85
)

// The home of a prompt's beginning is the target with the highest hash. Where
// the scheduler has not seen who keeps a beginning, the home probably does:
// earlier schedulers began there too.
const homeBelief = 0.25

// option is a target that could take a request.
type option struct {
	at       int           // at is the target's place among the views.
	missing  int           // missing are the tokens that it does not keep.
	transfer               // transfer is what it would copy of these.
	wait     time.Duration // wait is the time to the first event.
	cost     time.Duration // cost is the wait, and what the choice takes from others.
	tie      uint64
}

// choose returns the target for a request, and false where it is better to wait. The
// cheapest one is taken once its backlog is short; a request that has waited for some
// time takes any target where it is still in time.
func (c *Cell) choose(now time.Time, w *waiter) (option, Reason, bool) {
	options := c.options(now, w)
	best, ok := c.prefer(w, options)
	if !ok {
		return option{}, ReasonCheapest, false
	}
	if c.views[best.at].open(backlogLimit) {
		return best, ReasonCheapest, true
	}
	if now.Sub(w.arrived) < time.Duration(spillShare*float64(w.ask.Hold)) {
		return option{}, ReasonCheapest, false
	}
	// Work of an account that is refused much while another gets much goes before
	// that of the other, wherever that is: what it costs to read is the price of
	// fairness.
	limit, why := spillBacklog, ReasonSpilled
	if c.starved(now, c.account(w.ask.Account)) {
		limit, why = backlogLimit, ReasonStarved
	}
	open := options[:0]
	for _, o := range options {
		if c.views[o.at].open(c.spillLimit(w, o, limit)) && w.inTime(now, o.wait) {
			open = append(open, o)
		}
	}
	if len(open) == 0 {
		return option{}, why, false
	}
	return slices.MinFunc(open, func(a, b option) int { return compare(a, b, a.wait, b.wait) }), why, true
}

// spillLimit returns how much of a target's reading may be given away where a
// request spills to it: little where shared parts are read again, more where they
// are copied, the more the less a copy takes.
func (c *Cell) spillLimit(w *waiter, o option, reread time.Duration) time.Duration {
	if sharedOf(w.ask.Prompt, o.missing-o.tokens) > 0 {
		return reread
	}
	return max(reread, backlogLimit-o.transfer.cost())
}

// prefer returns the cheapest option, and notes that the request waits for it.
func (c *Cell) prefer(w *waiter, options []option) (option, bool) {
	if len(options) == 0 {
		w.best = nil
		return option{}, false
	}
	best := slices.MinFunc(options, func(a, b option) int { return compare(a, b, a.cost, b.cost) })
	w.best = c.views[best.at].target
	return best, true
}

func compare(a, b option, x, y time.Duration) int {
	if x != y {
		return cmp.Compare(x, y)
	}
	return cmp.Compare(b.tie, a.tie)
}

// inTime tells whether a first event that comes after a wait meets the
// request's objective.
func (w *waiter) inTime(now time.Time, wait time.Duration) bool {
	if w.ask.Objective <= 0 {
		return true
	}
	left := w.ask.Objective - now.Sub(w.arrived)
	return wait <= time.Duration(inTimeShare*float64(left))
}

// options returns the targets that could take the request now or soon.
func (c *Cell) options(now time.Time, w *waiter) []option {
	p := w.ask.Prompt
	output := p.OutputEstimate()
	scores := c.scores(w)
	out := c.scratch[:0]
	home := -1
	best, inHall := c.keepers(p)
	for i := range c.views {
		v := &c.views[i]
		if !v.usable || slices.Contains(w.ask.Deny, v.target.info.ID) {
			continue
		}
		missing := v.target.engine.UncachedTokens(p)
		if !v.target.engine.Fits(missing, output) {
			continue
		}
		o := v.option(p, missing, c.transferTo(now, v, p, missing, best, inHall))
		o.at, o.tie = i, scores[i]
		out = append(out, o)
		if home < 0 || o.tie > out[home].tie {
			home = len(out) - 1
		}
	}
	c.scratch = out
	if home >= 0 {
		c.believe(&out[home], p)
	}
	return out
}

// scores returns the hash of each target for the request, in the order of the
// views.
func (c *Cell) scores(w *waiter) []uint64 {
	if w.scored == c.layoutVersion {
		return w.scores
	}
	w.scored, w.scores = c.layoutVersion, w.scores[:0]
	affinity := w.ask.Prompt.AffinityKey()
	for _, t := range c.sorted {
		w.scores = append(w.scores, place.Score(t.info.ID, affinity))
	}
	return w.scores
}

func (v *view) option(p *routing.Prompt, missing int, x transfer) option {
	read := missing - x.tokens
	wait := max(v.base, x.takes) + seconds(float64(read)/v.speed)
	reread := seconds((rereadWeight - 1) * float64(sharedOf(p, read)) / v.speed)
	return option{missing: missing, transfer: x, wait: wait, cost: wait + v.penalty + reread + x.cost()}
}

// believe makes the home cheaper by what it probably keeps.
func (c *Cell) believe(o *option, p *routing.Prompt) {
	shared := float64(sharedOf(p, o.missing-o.tokens))
	o.cost -= seconds(homeBelief * rereadWeight * shared / c.views[o.at].speed)
}

// sharedOf returns how many of the missing tokens belong to parts that other
// requests share.
func sharedOf(p *routing.Prompt, missing int) int {
	return max(missing-p.OwnTokens(), 0)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
