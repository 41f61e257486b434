// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package entry

import "time"

const (
	// silentAfter is how long a scheduler may leave an ask without any word.
	silentAfter = 60 * time.Millisecond
	// ownDelayFactor is how many times longer that may be where most schedulers
	// seem silent at once: the cause is likely in this process, which has not read
	// what they sent.
	ownDelayFactor = 3
	// strainedFactor is the same at a gateway whose link is full. On
	// small twins of the large days 1 was worse by 0.1 to 0.5 than 3, 5 or 8.
	strainedFactor = 5
	// overHold is how long after the end of the wait a scheduler's word may come.
	overHold = 60 * time.Millisecond
	// suspectFirst is how long a silent scheduler is passed over, twice as long
	// each time that it stays silent.
	suspectFirst = 500 * time.Millisecond
	suspectMax   = 4 * time.Second
)

// suspicion is held against a scheduler that has been silent.
type suspicion struct {
	until time.Time
	span  time.Duration
}

// patience returns how long a scheduler may say nothing.
func (m *Machine) patience(now time.Time) time.Duration {
	if m.strained {
		return strainedFactor * silentAfter
	}
	waiting, overdue := map[string]bool{}, map[string]bool{}
	for _, p := range m.pending {
		if p.to == m.self || p.waits {
			continue
		}
		waiting[p.to] = true
		if m.unheard(now, p) > silentAfter {
			overdue[p.to] = true
		}
	}
	if len(overdue) < 2 || 2*len(overdue) <= len(waiting) {
		return silentAfter
	}
	return ownDelayFactor * silentAfter
}

// unheard returns how long a scheduler has said nothing of a request, less the
// time in which this process did not run.
func (m *Machine) unheard(now time.Time, p *pending) time.Duration {
	return now.Sub(p.askedAt) - (m.lag - p.askedIn)
}

func (m *Machine) silent(now time.Time, p *pending, patience time.Duration) bool {
	if p.to == m.self {
		return false
	}
	if p.waits {
		// A scheduler may let a request wait on that is next in line.
		late := m.lag - p.askedIn
		return now.Sub(p.arrived)-late > max(p.ask.Hold, p.ask.Objective/2)+overHold
	}
	return m.unheard(now, p) > patience
}

func (m *Machine) suspect(now time.Time, p *pending) {
	s := m.suspects[p.to]
	if s == nil {
		s = &suspicion{span: suspectFirst}
		m.suspects[p.to] = s
	} else if now.Before(s.until) {
		return
	} else {
		s.span = min(2*s.span, suspectMax)
	}
	s.until = now.Add(s.span)
	m.emit(Suspect{p.to, p.cell, s.span})
}

func (m *Machine) suspected(now time.Time, id string) bool {
	s := m.suspects[id]
	return id != m.self && s != nil && now.Before(s.until)
}
