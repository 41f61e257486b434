// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package promise

import "time"

const (
	slotLength = 50 * time.Millisecond
	slotCount  = 320 // slots up to 16 s ahead, beyond the patience of most callers
	// fullShare is the part of a slot that accounts with more than their share may fill.
	fullShare = 0.75
)

// Capacity returns the part of the engines' work that new requests leave.
type Capacity interface {
	// Left returns the prompt tokens that can be prefilled for returns between two times.
	Left(from, to time.Time) float64
}

// Steady is a constant rate from a time on, the end of the queued work.
type Steady struct {
	Rate     float64 // tokens per second
	FreeFrom time.Time
}

// Left implements Capacity.
func (s Steady) Left(from, to time.Time) float64 {
	if s.FreeFrom.After(from) {
		from = s.FreeFrom
	}
	return s.Rate * max(to.Sub(from).Seconds(), 0)
}

// slot is the work that is promised in a short period.
type slot struct {
	number    int64 // since the epoch, of the period that the work is for
	work      float64
	byAccount map[string]float64
}

// schedule spreads promised work over the next slots.
type schedule struct{ slots [slotCount]slot }

func slotNumber(at time.Time) int64 { return at.UnixNano() / int64(slotLength) }

func slotStart(number int64) time.Time { return time.Unix(0, number*int64(slotLength)) }

// at returns the slot with a number, emptied if it was used for an earlier period.
func (s *schedule) at(number int64) *slot {
	sl := &s.slots[number%slotCount]
	if sl.number != number {
		*sl = slot{number: number}
	}
	return sl
}

func (s *slot) add(account string, work float64) {
	if s.byAccount == nil {
		s.byAccount = map[string]float64{}
	}
	s.work += work
	s.byAccount[account] += work
}

// lane follows an account through the slots. Accounts are in fair order: one that has less
// promised than its share of the room so far may use a slot fully, others only a part of it.
type lane struct {
	account  string
	accounts int // that share the room
	capacity Capacity
	own      float64 // promised to the account so far
	total    float64 // room so far
}

// free returns the work that the account may add to a slot, and moves on to the next one.
func (l *lane) free(s *slot) float64 {
	room := l.capacity.Left(slotStart(s.number), slotStart(s.number+1))
	l.total += room
	l.own += s.byAccount[l.account]
	if l.own*float64(l.accounts+1) >= l.total { // one more may come
		room *= fullShare
	}
	return max(room-s.work, 0)
}

// reserve finds the first time from which there is room for an account's work and books it. The
// time is the start of a slot and not before from. It returns false if there is no room until
// the given end. The work that exceeds a slot goes to the next ones, the rest to the last.
func (s *schedule) reserve(from, until time.Time, work float64, l lane) (time.Time, bool) {
	n := slotNumber(from)
	if slotStart(n).Before(from) {
		n++
	}
	last := min(slotNumber(until)-1, n+slotCount-2)
	var start time.Time
	for ; n <= last; n++ {
		sl := s.at(n)
		free := l.free(sl)
		if free <= 0 {
			continue
		}
		if start.IsZero() {
			start = slotStart(n)
		}
		part := min(free, work)
		if n == last {
			part = work
		}
		sl.add(l.account, part)
		l.own += part
		work -= part
		if work <= 0 {
			break
		}
	}
	return start, !start.IsZero()
}

// booked returns the work that is promised from a time on.
func (s *schedule) booked(from time.Time) float64 {
	sum, first := 0.0, slotNumber(from)
	for i := range s.slots {
		if s.slots[i].number >= first {
			sum += s.slots[i].work
		}
	}
	return sum
}
