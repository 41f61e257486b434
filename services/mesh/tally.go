// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"slices"
	"strings"
	"time"

	"madderway/core/cell"
	"madderway/modules/wire"
)

// Schedulers of a service send each other the service they gave to accounts every tallyInterval.
// Beyond schedulersPerTallyInterval of them the interval grows with their number, since each sends
// to all others.
const (
	tallyInterval              = 500 * time.Millisecond
	schedulersPerTallyInterval = 128
)

// tallyDelay returns the time between tallies for a number of gateways that schedule.
func tallyDelay(schedulers int) time.Duration {
	return tallyInterval * time.Duration(max(schedulers, schedulersPerTallyInterval)) / schedulersPerTallyInterval
}

// serviceTotals sums the service given to each account in all cells that this gateway has scheduled.
type serviceTotals map[string]*accountTotal

// accountTotal holds the service given to an account and the part already sent to other gateways.
type accountTotal struct{ service, sent float64 }

// add adds the service that one cell gave since its last tally.
func (t serviceTotals) add(rows []cell.TallyRow) {
	for _, row := range rows {
		if t[row.Account] == nil {
			t[row.Account] = &accountTotal{}
		}
		t[row.Account].service += row.Service
	}
}

// grownRows returns the totals that have grown since they were last sent, sorted by account.
func (t serviceTotals) grownRows() []*wire.EngineTallyRow {
	var out []*wire.EngineTallyRow
	for account, s := range t {
		if s.service > s.sent {
			out = append(out, &wire.EngineTallyRow{Account: account, Service: s.service, Before: s.sent})
			s.sent = s.service
		}
	}
	slices.SortFunc(out, func(a, b *wire.EngineTallyRow) int { return strings.Compare(a.Account, b.Account) })
	return out
}

// sendTallies sends the totals to the schedulers of each service's other cells. Cells that are
// scheduled here get the rows directly.
func (l *Loop) sendTallies(now time.Time) {
	if now.Before(l.nextTally) {
		return
	}
	l.nextTally = now.Add(tallyDelay(l.schedulerCount()))
	for key, s := range l.cells {
		g := l.layout.Group(key)
		if g == nil {
			continue
		}
		rows := s.cell.DrainTally()
		if len(rows) == 0 {
			continue
		}
		if l.served[g.Service] == nil {
			l.served[g.Service] = serviceTotals{}
		}
		l.served[g.Service].add(rows)
		l.applyToSiblings(now, g, cell.SiblingTallySeen{Rows: rows})
	}
	rooms := l.tellRooms(now)
	for service := range rooms {
		if l.served[service] == nil {
			l.served[service] = serviceTotals{}
		}
	}
	for service, sums := range l.served {
		if rows := sums.grownRows(); len(rows) > 0 || len(rooms[service]) > 0 {
			l.broadcastTally(now, service, &wire.EngineTally{Service: service, Incarnation: l.opts.Self.Incarnation, Rows: rows, Rooms: rooms[service]})
		}
	}
}

// applyToSiblings applies an event to the other cells of the service that are scheduled here.
func (l *Loop) applyToSiblings(now time.Time, g *cell.Group, ev cell.Event) {
	for key, s := range l.cells {
		if other := l.layout.Group(key); other != nil && other != g && other.Service == g.Service {
			l.applyToCell(now, key, s, ev)
		}
	}
}

// schedulersOf returns the gateways that schedule cells of a service.
func (l *Loop) schedulersOf(service string) map[string]bool {
	ids := map[string]bool{}
	for _, g := range l.layout.GroupsOf(service) {
		if schedulers := g.Schedulers(); len(schedulers) > 0 {
			ids[schedulers[0]] = true
		}
	}
	return ids
}

// schedulerCount returns the largest number of schedulers of a service that is scheduled here.
func (l *Loop) schedulerCount() int {
	most := 0
	for service := range l.served {
		most = max(most, len(l.schedulersOf(service)))
	}
	return most
}

// broadcastTally sends a tally to each other gateway that schedules a cell of the service.
func (l *Loop) broadcastTally(now time.Time, service string, t *wire.EngineTally) {
	for to := range l.schedulersOf(service) {
		if to == l.opts.Self.ID {
			continue
		}
		f := l.out.Frame(now, to, true)
		f.EngineTallies = append(f.EngineTallies, t)
	}
}

// handleTally passes a tally to all cells of its service that are scheduled here.
func (l *Loop) handleTally(now time.Time, from string, t *wire.EngineTally) {
	ev := cell.TallySeen{Source: from, Incarnation: t.Incarnation}
	for _, row := range t.Rows {
		ev.Rows = append(ev.Rows, cell.TallyRow{Account: row.Account, Service: row.Service, Before: row.Before})
	}
	for key, s := range l.cells {
		if g := l.layout.Group(key); g == nil || g.Service != t.Service {
			continue
		}
		l.applyToCell(now, key, s, ev)
		if len(t.Rooms) > 0 {
			l.applyToCell(now, key, s, roomsSeen(key, t.Rooms))
		}
	}
}
