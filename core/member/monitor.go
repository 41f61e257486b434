// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package member

import (
	"slices"
	"time"
)

// updateMonitors recomputes, after a membership change, the monitors of this member and
// the members it monitors. The timeout of a newly monitored member starts now.
func (l *List) updateMonitors(now time.Time) {
	if !l.monitorsStale {
		return
	}
	l.monitorsStale = false
	l.monitors = l.monitorsOf(l.self.ID)
	monitored := map[string]time.Time{}
	for _, id := range l.monitoredCandidates() {
		if !slices.Contains(l.monitorsOf(id), l.self.ID) {
			continue
		}
		since, ok := l.monitored[id]
		if !ok {
			since = now
		}
		monitored[id] = since
	}
	l.monitored = monitored
}

// monitorsOf returns the monitors of a member: its first eligible successor on each ring
// that is not yet chosen. The rings mix the data halls, so that monitors survive the loss
// of a hall.
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

// monitoredCandidates returns the members that this one may have to monitor: on each ring
// its predecessors, up to the point where enough eligible monitors lie in between.
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

// canMonitor reports whether a member monitors others. Suspects do: views may differ on
// who is suspect, but must agree on who monitors whom. Leaving members do not: the others
// no longer send them heartbeats.
func (l *List) canMonitor(id string) bool {
	if id == l.self.ID {
		return l.self.State == StateAlive
	}
	m := l.members[id]
	return m.State == StateAlive || m.State == StateSuspect
}

// tick checks the timeouts of the monitored members and sends heartbeats when due. A gap
// between ticks of more than half of SuspectAfter means that this process was suspended and
// received nothing; tick then extends the timeouts instead of suspecting everybody.
func (l *List) tick(now time.Time) {
	if gap := now.Sub(l.tickedAt); !l.tickedAt.IsZero() && gap > l.cfg.SuspectAfter/2 {
		l.extendTimeouts(now, gap)
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

// extendTimeouts extends all running timeouts after this process was suspended.
func (l *List) extendTimeouts(now time.Time, gap time.Duration) {
	for id := range l.monitored {
		l.monitored[id] = now
	}
	for _, m := range l.suspectOrDead {
		if m.State == StateSuspect {
			m.suspectAt = m.suspectAt.Add(gap)
		}
	}
}

func (l *List) checkLiveness(now time.Time, id string, m *memberState) {
	switch m.State {
	case StateAlive, StateLeaving:
		since, ok := l.monitored[id]
		if !ok {
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

// probe requests a heartbeat from a member that is close to its timeout. While views
// differ, the member may not know that this one monitors it.
func (l *List) probe(now time.Time, m *memberState, silence time.Duration) {
	if interval := l.cfg.SuspectAfter / 3; silence >= 2*interval && now.Sub(m.probedAt) >= interval {
		m.probedAt = now
		l.actions = append(l.actions, SendHeartbeat{To: m.ID, From: l.self, View: l.view(), Probe: true})
	}
}

func (l *List) markDead(m *memberState) {
	l.setState(m, StateDead)
	l.actions = append(l.actions, IncarnationEnded{m.ID, m.Incarnation})
}
