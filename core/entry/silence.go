// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package entry

import "time"

const (
	// silentAfter is the timeout for a scheduler's first answer to an ask.
	silentAfter = 60 * time.Millisecond
	// ownDelayFactor multiplies silentAfter while most schedulers seem silent:
	// the likely cause is that this process is slow to read their answers.
	ownDelayFactor = 3
	// strainedFactor multiplies silentAfter while the link is saturated.
	strainedFactor = 5
	// overHold is the grace for a decision on a queued request after its wait ended.
	overHold = 60 * time.Millisecond
	// suspectFirst is the first period for which a silent scheduler is avoided;
	// it doubles up to suspectMax while the scheduler stays silent.
	suspectFirst = 500 * time.Millisecond
	suspectMax   = 4 * time.Second
)

// suspicion is the backoff of a silent scheduler.
type suspicion struct {
	until time.Time
	span  time.Duration
}

// patience returns the current timeout for a scheduler's first answer.
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

// unheard returns the time since a request's scheduler was asked, less the lag of
// this process since then.
func (m *Machine) unheard(now time.Time, p *pending) time.Duration {
	return now.Sub(p.askedAt) - (m.lag - p.askedIn)
}

func (m *Machine) silent(now time.Time, p *pending, patience time.Duration) bool {
	if p.to == m.self {
		return false
	}
	if p.waits {
		// A scheduler may keep a request beyond its hold if it is next in the queue.
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
