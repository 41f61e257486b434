// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package member

import (
	"slices"
	"time"
)

// updateMonitors computes, after a change, whom this member watches and who watches
// it. A member that is newly watched gets the full time to be heard.
func (l *List) updateMonitors(now time.Time) {
	if !l.monitorsStale {
		return
	}
	l.monitorsStale = false
	l.monitors = l.monitorsOf(l.self.ID)
	watched := map[string]time.Time{}
	for _, id := range l.monitoredCandidates() {
		if !slices.Contains(l.monitorsOf(id), l.self.ID) {
			continue
		}
		since, ok := l.monitored[id]
		if !ok {
			since = now
		}
		watched[id] = since
	}
	l.monitored = watched
}

// monitorsOf returns the members that watch a member: on each circle the next one
// that is not chosen yet. Circles mix the data halls, so that the loss of one hall
// leaves somebody to notice.
func (l *List) monitorsOf(id string) []string {
	monitors := make([]string, 0, len(l.rings))
	for i := range l.rings {
		l.rings[i].forward(id, func(next string) bool {
			if !l.canMonitor(next) || slices.Contains(monitors, next) {
				return true
			}
			monitors = append(monitors, next)
			return false
		})
	}
	return monitors
}

// monitoredCandidates returns the members that this one may have to watch: on each circle
// those before it, as far as another member could not have been chosen for all.
func (l *List) monitoredCandidates() []string {
	var ids []string
	for i := range l.rings {
		between := 0
		l.rings[i].backward(l.self.ID, func(id string) bool {
			if !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
			if l.canMonitor(id) {
				between++
			}
			return between < len(l.rings)
		})
	}
	return ids
}

// canMonitor tells whether a member watches others. A suspect does: views differ on
// who is suspect, and must not differ on who watches whom. A leaving member does
// not, since the others no longer tell it that they live.
func (l *List) canMonitor(id string) bool {
	if id == l.self.ID {
		return l.self.State == StateAlive
	}
	m := l.members[id]
	return m.State == StateAlive || m.State == StateSuspect
}

// tick looks at those that this member watches. Where it comes late by the half of a
// suspicion, this process stood still or its machine was suspended: it has heard nobody in
// that time, and gives each the full time anew instead of suspecting all.
func (l *List) tick(now time.Time) {
	if absence := now.Sub(l.tickedAt); !l.tickedAt.IsZero() && absence > l.cfg.SuspectAfter/2 {
		l.discountPause(now, absence)
	}
	l.tickedAt = now
	l.updateMonitors(now)
	for id := range l.monitored {
		if m := l.members[id]; m != nil {
			l.checkLiveness(now, id, m)
		}
	}
	for id, m := range l.suspectOrDead {
		l.checkLiveness(now, id, m)
	}
	if now.Before(l.nextHeartbeat) {
		return
	}
	l.nextHeartbeat = now.Add(l.cfg.Interval)
	l.sendHeartbeats(now)
}

// discountPause takes an absence of this member's own out of the silence of others.
func (l *List) discountPause(now time.Time, absence time.Duration) {
	for id := range l.monitored {
		l.monitored[id] = now
	}
	for _, m := range l.suspectOrDead {
		if m.State == StateSuspect {
			m.suspectAt = m.suspectAt.Add(absence)
		}
	}
}

func (l *List) checkLiveness(now time.Time, id string, m *entry) {
	switch m.State {
	case StateAlive, StateLeaving:
		since, watched := l.monitored[id]
		if !watched {
			return
		}
		silence := min(now.Sub(m.heardAt), now.Sub(since))
		if silence <= l.cfg.SuspectAfter {
			l.probe(now, m, silence)
			return
		}
		if m.State == StateLeaving {
			l.markDead(m)
			return
		}
		m.suspectAt = now
		l.setState(m, StateSuspect)
	case StateSuspect:
		if now.Sub(m.suspectAt) > l.cfg.DeadAfter {
			l.markDead(m)
		}
	case StateDead:
		if !m.listed && now.Sub(m.heardAt) > 10*l.cfg.DeadAfter {
			l.deleteMember(id)
		}
	}
}

// probe asks a member that should have been heard for a heartbeat. As long as views
// differ, it may not know that this member watches it.
func (l *List) probe(now time.Time, m *entry, silence time.Duration) {
	if pause := l.cfg.SuspectAfter / 3; silence >= 2*pause && now.Sub(m.probedAt) >= pause {
		m.probedAt = now
		l.actions = append(l.actions, SendHeartbeat{To: m.ID, From: l.self, View: l.view(), Probe: true})
	}
}

func (l *List) markDead(m *entry) {
	l.setState(m, StateDead)
	l.actions = append(l.actions, IncarnationEnded{m.ID, m.Incarnation})
}
