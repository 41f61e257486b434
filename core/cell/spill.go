// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"slices"
	"time"

	"madderway/modules/saturate"
)

// chooseByForecast returns the target for a request. Where its preferred target is busy it
// takes another one that copies the shared parts cheaply; late requests take targets that
// have little booked and read no shared part again.
func (c *Cell) chooseByForecast(now time.Time, w *waiter, best option, options []option) (option, Reason, bool) {
	limit, late := backlogLimit, c.givesWay(w)
	if late {
		limit = spillBacklog
	}
	if c.views[best.index].accepts(limit) {
		return best, ReasonCheapest, true
	}
	starved := c.starved(now, c.account(w.ask.Account))
	rereadLimit, reason := spillBacklog, ReasonSpilled
	if starved {
		rereadLimit, reason = backlogLimit, ReasonStarved
	}
	if late || now.Sub(w.arrived) < saturate.Duration(spillShare*float64(w.ask.Hold)) {
		rereadLimit = 0
	}
	open := options[:0]
	for _, o := range options {
		most := rereadLimit
		if sharedTokens(w.ask.Prompt, o.missing-o.tokens) == 0 {
			most = max(most, limit-o.transfer.cost())
		}
		if c.views[o.index].accepts(most) && (w.prospect.late || w.inTime(now, o.wait)) {
			open = append(open, o)
		}
	}
	if len(open) == 0 {
		return option{}, reason, false
	}
	return slices.MinFunc(open, func(a, b option) int { return compare(a, b, a.wait, b.wait) }), reason, true
}

// givesWay reports whether a late request leaves busy targets to others. Only those of the
// most served waiting account do: otherwise the targets would stay busy with the work of
// accounts that had more, and all requests of the others would become late.
func (c *Cell) givesWay(w *waiter) bool {
	return w.prospect.late && c.account(w.ask.Account).level >= c.maxWaitingLevel
}
