// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"time"

	"madderway/core/cell"
	"madderway/modules/wire"
)

// tallyEvery is how often the cells of a service tell each other what they gave
// to whom, tallyCells the number of cells up to which they do so that often: each tells
// each other one, so that beyond it what a cell sends would grow with their number.
const (
	tallyEvery = 500 * time.Millisecond
	tallyCells = 32
)

// tallyPause returns how long cells wait between tallies where a service has so many.
func tallyPause(cells int) time.Duration {
	return tallyEvery * time.Duration(max(cells, tallyCells)) / tallyCells
}

// tellTallies tells the schedulers of a service's other cells what the cells
// here have given.
func (l *Loop) tellTallies(now time.Time) {
	if now.Before(l.nextTally) {
		return
	}
	l.nextTally = now.Add(tallyPause(len(l.layout.Groups())))
	for key, s := range l.cells {
		g := l.layout.Group(key)
		if g == nil {
			continue
		}
		others := l.layout.Siblings(g)
		if len(others) == 0 {
			continue
		}
		rows := s.cell.Tally()
		if len(rows) == 0 {
			continue
		}
		t := &wire.EngineTally{Cell: string(key), Incarnation: s.life}
		for _, row := range rows {
			t.Rows = append(t.Rows, &wire.EngineTallyRow{Account: row.Account, Service: row.Service})
		}
		l.spread(now, t, others)
	}
}

// spread sends a tally once to each gateway that schedules one of the cells.
func (l *Loop) spread(now time.Time, t *wire.EngineTally, cells []*cell.Group) {
	told := map[string]bool{}
	for _, g := range cells {
		if len(g.Schedulers()) == 0 || told[g.Schedulers()[0]] {
			continue
		}
		to := g.Schedulers()[0]
		told[to] = true
		if to == l.opts.Self.ID {
			l.takeTally(now, to, t)
			continue
		}
		f := l.out.Frame(now, to, true)
		f.EngineTallies = append(f.EngineTallies, t)
	}
}

// takeTally gives a tally to all other cells of its service that are scheduled
// here.
func (l *Loop) takeTally(now time.Time, from string, t *wire.EngineTally) {
	g := l.layout.Group(cell.Key(t.Cell))
	if g == nil {
		return
	}
	ev := cell.TallySeen{Source: t.Cell + "@" + from, Incarnation: t.Incarnation}
	for _, row := range t.Rows {
		ev.Rows = append(ev.Rows, cell.TallyRow{Account: row.Account, Service: row.Service})
	}
	for _, other := range l.layout.Siblings(g) {
		if s := l.cells[other.Key]; s != nil {
			l.schedule(now, other.Key, s, ev)
		}
	}
}
