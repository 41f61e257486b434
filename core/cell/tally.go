// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"sort"
	"time"
)

// Fairness covers all cells of a service: schedulers tell each other how many tokens each
// account got. Tallies between gateways carry totals, so that lost, repeated and late ones
// do no harm.

const maxRemoteTallies = 1024 // bounds memory as gateways come and go

// remoteTally is the last known tally of another gateway.
type remoteTally struct {
	incarnation uint64
	totals      map[string]float64
	updatedAt   time.Time
}

// applyTally charges accounts for their service in other cells since the last tally. The
// first tally of a gateway's incarnation only sets the starting totals. For an account
// that was not in it, a later row's Before is the starting total.
func (c *Cell) applyTally(now time.Time, e TallySeen) {
	tally := c.remoteTallies[e.Source]
	if tally == nil || tally.incarnation != e.Incarnation {
		if len(c.remoteTallies) >= maxRemoteTallies {
			c.evictOldestTally()
		}
		tally = &remoteTally{incarnation: e.Incarnation, totals: map[string]float64{}}
		c.remoteTallies[e.Source] = tally
		for _, row := range e.Rows {
			tally.totals[row.Account] = row.Service
		}
		tally.updatedAt = now
		return
	}
	tally.updatedAt = now
	for _, row := range e.Rows {
		before, known := tally.totals[row.Account]
		if !known {
			before = row.Before
		}
		more := row.Service - before
		if more <= 0 {
			continue
		}
		tally.totals[row.Account] = row.Service
		c.account(row.Account).charge(now, more)
	}
}

// applySiblingTally charges accounts for service in another cell scheduled by this gateway.
func (c *Cell) applySiblingTally(now time.Time, rows []TallyRow) {
	for _, row := range rows {
		c.account(row.Account).charge(now, row.Service)
	}
}

func (c *Cell) evictOldestTally() {
	oldest := ""
	for source, tally := range c.remoteTallies {
		if oldest == "" || tally.updatedAt.Before(c.remoteTallies[oldest].updatedAt) {
			oldest = source
		}
	}
	delete(c.remoteTallies, oldest)
}

// DrainTally returns the service given to each account since the last call.
func (c *Cell) DrainTally() []TallyRow {
	var rows []TallyRow
	for _, a := range c.accounts {
		if more := a.served - a.reported; more > 0 {
			a.reported = a.served
			rows = append(rows, TallyRow{Account: a.name, Service: more})
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Account < rows[j].Account })
	return rows
}
