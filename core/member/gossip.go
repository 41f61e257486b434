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
		l.out = append(l.out, HeartbeatOut{To: id, From: l.self, Rumors: rumors, View: l.view()})
	}
}

func (l *List) beatAll() {
	for _, id := range l.sorted {
		l.out = append(l.out, HeartbeatOut{To: id, From: l.self, View: l.view()})
	}
}

// toldTimes is in how many heartbeats a record is told on. They go to the same
// monitors over connections, so that more would be needed only where some of these
// were lost; who still lacks a record notices that views differ.
const toldTimes = 4

// rumors picks the records that were told on the least.
func (l *List) rumors() []Record {
	if len(l.news) == 0 {
		return nil
	}
	var news []*entry
	for id, m := range l.news {
		if m.spread >= toldTimes {
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

// Greeting returns a heartbeat that tells all that is known, for members that
// have just met or whose views differ. The dead are left out where they are many: this
// member may have been cut off, and others would take its view for the truth.
func (l *List) Greeting() HeartbeatOut {
	out := HeartbeatOut{From: l.self, View: l.view()}
	telling := len(l.members)-out.View.Count < max(behindLeast, len(l.members)/behindShare)
	for _, id := range l.sorted {
		m := l.members[id]
		if m.Incarnation != 0 && (m.State != StateDead || telling) && len(out.Rumors) < maxGreeting {
			out.Rumors = append(out.Rumors, m.Record)
		}
	}
	return out
}

// maxGreeting bounds the records of a greeting; each takes some 80 bytes.
const maxGreeting = 4096

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
