// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"cmp"
	"slices"
	"time"

	"madderway/core/place"
	"madderway/modules/saturate"
)

// A burst for one prompt beginning or of one client account fills the cell that it hashes to
// while other cells of the service have room. Schedulers tell each other their cells' room,
// and a scheduler whose cell is full names a cell with room when it refuses a request.

const (
	// Schedulers tell their room twice a second: after this, several reports are missing.
	maxRoomAge = 2 * time.Second
	// Bounds memory; a service has far fewer cells.
	maxRooms = 1024
	// Messages to the entry gateway and on to the other cell's scheduler.
	moveDelay = 20 * time.Millisecond
	// Number of cells drawn for each request. Taking the better of two spreads the requests of
	// schedulers that know the same.
	roomCandidates = 2
)

// Room describes a cell's capacity for one more request.
type Room struct {
	Cell Key
	Wait time.Duration // until the prefill of a new request starts
	// Prompt tokens that targets could prefill until the next report, beyond their present load.
	SpareTokens int
}

// RoomsSeen reports the room of other cells of the service.
type RoomsSeen struct{ Rooms []Room }

func (RoomsSeen) isEvent() {}

// roomReport is the last report of another cell's room.
type roomReport struct {
	room Room
	at   time.Time
	sent int // prompt tokens sent there since
}

// spare returns the prompt tokens that the cell still has room for: less with the age of
// the report and by what was sent there since.
func (r *roomReport) spare(now time.Time) int {
	age := max(now.Sub(r.at), 0)
	if age >= maxRoomAge {
		return 0
	}
	return saturate.Int(float64(r.room.SpareTokens)*(1-float64(age)/float64(maxRoomAge))) - r.sent
}

// takes reports whether the room is enough for a request if the full cells share it, each
// with at least one request.
func (r *roomReport) takes(now time.Time, tokens, full int) bool {
	left := r.spare(now)
	return left >= tokens && (r.sent == 0 || r.sent+tokens <= (left+r.sent)/full)
}

// rooms holds the last report of the service's other cells.
type rooms map[Key]*roomReport

func (r rooms) record(now time.Time, seen []Room) {
	for _, room := range seen {
		if r[room.Cell] == nil && len(r) >= maxRooms {
			r.dropOld(now)
		}
		if r[room.Cell] != nil || len(r) < maxRooms {
			r[room.Cell] = &roomReport{room: room, at: now}
		}
	}
}

func (r rooms) dropOld(now time.Time) {
	for key, report := range r {
		if now.Sub(report.at) >= maxRoomAge {
			delete(r, key)
		}
	}
}

// choose returns a cell where a request of these tokens starts its prefill within the wait,
// or nil. It draws two such cells by the hash of draw and takes the one with more room.
func (r rooms) choose(now time.Time, tokens int, wait time.Duration, draw uint64) *roomReport {
	var open []*roomReport
	full := 1 // cells that look for room, with this one
	for _, report := range r {
		switch {
		case now.Sub(report.at) >= maxRoomAge:
		case report.room.SpareTokens < tokens:
			full++
		case report.room.Wait <= wait:
			open = append(open, report)
		}
	}
	open = slices.DeleteFunc(open, func(report *roomReport) bool { return !report.takes(now, tokens, full) })
	if len(open) == 0 {
		return nil
	}
	slices.SortFunc(open, func(a, b *roomReport) int {
		return cmp.Compare(place.Score(string(a.room.Cell), draw), place.Score(string(b.room.Cell), draw))
	})
	drawn := open[:min(len(open), roomCandidates)]
	return slices.MaxFunc(drawn, func(a, b *roomReport) int { return cmp.Compare(a.spare(now), b.spare(now)) })
}

// moveTo returns the cell that a refused request should be tried in, or "" if none is known
// to serve it in time with its whole prompt prefilled.
func (c *Cell) moveTo(now time.Time, w *waiter) Key {
	if !c.rules.Room || len(c.rooms) == 0 || w.ask.Objective <= 0 {
		return ""
	}
	speed := c.meanSpeed()
	if speed <= 0 {
		return ""
	}
	tokens := w.ask.Prompt.Tokens
	left := saturate.Duration(inTimeShare * float64(w.ask.Objective-now.Sub(w.arrived)))
	report := c.rooms.choose(now, tokens, left-moveDelay-seconds(float64(tokens)/speed), w.draw(now))
	if report == nil {
		return ""
	}
	report.sent += tokens
	c.counts.Moved++
	return report.room.Cell
}

// draw returns a number that differs between requests and attempts.
func (w *waiter) draw(now time.Time) uint64 {
	return place.Score(w.key.entry, uint64(w.key.id)) ^ uint64(now.UnixNano())
}

// meanSpeed returns the average prefill speed of the usable targets, in prompt tokens per
// second.
func (c *Cell) meanSpeed() float64 {
	sum, n := 0.0, 0
	for i := range c.views {
		if c.views[i].usable {
			sum, n = sum+c.views[i].speed, n+1
		}
	}
	if n == 0 {
		return c.speed
	}
	return sum / float64(n)
}
