// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"sort"
	"time"
)

// Fairness holds over all cells of a service: each scheduler tells the others
// what it has given to whom, and what an account gets elsewhere counts here as
// well. Between gateways tallies are sums, so that a lost, repeated or late one does no
// harm.

// maxRemoteTallies bounds how many other gateways are remembered.
const maxRemoteTallies = 1024

// remoteTally is what another gateway has told so far.
type remoteTally struct {
	incarnation uint64
	sums        map[string]float64
	at          time.Time
}

// applyTally charges accounts for what they were given elsewhere since the last
// tally. The first one of a gateway's life only says where its sums begin. Of an account
// that is not in it the next one says what was told before: a cell that has just begun
// must not be charged for all that the account ever got.
func (c *Cell) applyTally(now time.Time, e TallySeen) {
	f := c.remoteTallies[e.Source]
	if f == nil || f.incarnation != e.Incarnation {
		if len(c.remoteTallies) >= maxRemoteTallies {
			c.evictOldestTally()
		}
		f = &remoteTally{incarnation: e.Incarnation, sums: map[string]float64{}}
		c.remoteTallies[e.Source] = f
		for _, row := range e.Rows {
			f.sums[row.Account] = row.Service
		}
		f.at = now
		return
	}
	f.at = now
	for _, row := range e.Rows {
		before, told := f.sums[row.Account]
		if !told {
			before = row.Before
		}
		more := row.Service - before
		if more <= 0 {
			continue
		}
		f.sums[row.Account] = row.Service
		c.account(row.Account).charge(now, more)
	}
}

// chargeRows charges accounts for what another cell of this gateway has given them.
func (c *Cell) chargeRows(now time.Time, rows []TallyRow) {
	for _, row := range rows {
		c.account(row.Account).charge(now, row.Service)
	}
}

func (c *Cell) evictOldestTally() {
	oldest := ""
	for source, f := range c.remoteTallies {
		if oldest == "" || f.at.Before(c.remoteTallies[oldest].at) {
			oldest = source
		}
	}
	delete(c.remoteTallies, oldest)
}

// DrainTally returns what each account was given since the last call.
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
