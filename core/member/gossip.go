// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package member

import (
	"slices"
	"sort"
	"time"
)

// assign computes, after a change, whom this member watches and who watches
// it. A member that is newly watched gets the full time to be heard.
func (l *List) assign(now time.Time) {
	if !l.stale {
		return
	}
	l.stale = false
	l.guards = l.monitorsOf(l.self.ID)
	watched := map[string]time.Time{}
	for _, id := range l.neighbours() {
		if !slices.Contains(l.monitorsOf(id), l.self.ID) {
			continue
		}
		since, ok := l.watched[id]
		if !ok {
			since = now
		}
		watched[id] = since
	}
	l.watched = watched
}

// monitorsOf returns the members that watch a member: on each circle the next one
// that is not chosen yet. Circles mix the data halls, so that the loss of one hall
// leaves somebody to notice.
func (l *List) monitorsOf(id string) []string {
	monitors := make([]string, 0, len(l.circles))
	for i := range l.circles {
		l.circles[i].forward(id, func(next string) bool {
			if !l.mayWatch(next) || slices.Contains(monitors, next) {
				return true
			}
			monitors = append(monitors, next)
			return false
		})
	}
	return monitors
}

// neighbours returns the members that this one may have to watch: on each circle
// those before it, as far as another member could not have been chosen for all.
func (l *List) neighbours() []string {
	var ids []string
	for i := range l.circles {
		between := 0
		l.circles[i].backward(l.self.ID, func(id string) bool {
			if !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
			if l.mayWatch(id) {
				between++
			}
			return between < len(l.circles)
		})
	}
	return ids
}

// mayWatch tells whether a member watches others. A suspect does: views differ on
// who is suspect, and must not differ on who watches whom. A leaving member does
// not, since the others no longer tell it that they live.
func (l *List) mayWatch(id string) bool {
	if id == l.self.ID {
		return l.self.State == StateAlive
	}
	m := l.members[id]
	return m.State == StateAlive || m.State == StateSuspect
}

// beat sends heartbeats to this member's monitors and now and then to another one,
// the suspects and dead included so that they can refute and rejoin.
func (l *List) beat(now time.Time) {
	to := slices.Clone(l.guards)
	if len(l.sorted) > 0 && !now.Before(l.nextMeet) {
		l.nextMeet = now.Add(l.cfg.ContactEvery)
		l.rotate++
		if contact := l.sorted[l.rotate%len(l.sorted)]; !slices.Contains(to, contact) {
			to = append(to, contact)
		}
	}
	rumors := l.rumors()
	for _, id := range to {
		l.out = append(l.out, HeartbeatOut{id, l.self, rumors})
	}
}

func (l *List) beatAll() {
	for _, id := range l.sorted {
		l.out = append(l.out, HeartbeatOut{id, l.self, nil})
	}
}

// rumors picks the records that were told on the least.
func (l *List) rumors() []Record {
	if len(l.news) == 0 {
		return nil
	}
	limit := 3 * log2(len(l.members)+2)
	var news []*entry
	for id, m := range l.news {
		if m.spread >= limit {
			delete(l.news, id)
		} else if m.Incarnation != 0 {
			news = append(news, m)
		}
	}
	sort.Slice(news, func(i, j int) bool {
		if news[i].spread != news[j].spread {
			return news[i].spread < news[j].spread
		}
		return news[i].ID < news[j].ID
	})
	news = news[:min(len(news), l.cfg.MaxRumors)]
	out := make([]Record, len(news))
	for i, m := range news {
		m.spread++
		out[i] = m.Record
	}
	return out
}

func log2(n int) int {
	bits := 0
	for ; n > 0; n >>= 1 {
		bits++
	}
	return bits
}

// Greeting returns a heartbeat that tells all that is known, for members that
// have just met.
func (l *List) Greeting() HeartbeatOut {
	out := HeartbeatOut{From: l.self}
	for _, id := range l.sorted {
		if m := l.members[id]; m.Incarnation != 0 && len(out.Rumors) < maxGreeting {
			out.Rumors = append(out.Rumors, m.Record)
		}
	}
	return out
}

const maxGreeting = 400

// Near returns the live members that this one exchanges heartbeats with: its
// monitors and those that it watches. What each tells these, all hear of within a
// number of steps that grows with the logarithm of the fleet.
func (l *List) Near(now time.Time) []string {
	l.assign(now)
	var ids []string
	for _, id := range l.guards {
		if l.members[id].State == StateAlive {
			ids = append(ids, id)
		}
	}
	for id := range l.watched {
		if l.members[id].State == StateAlive && !slices.Contains(l.guards, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
