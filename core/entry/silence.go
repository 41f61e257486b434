// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package entry

import "time"

const (
	// answerTimeout is the timeout for a scheduler's first answer to an ask.
	answerTimeout = 60 * time.Millisecond
	// ownDelayFactor multiplies answerTimeout while most schedulers seem silent:
	// the likely cause is that this process is slow to read their answers.
	ownDelayFactor = 3
	// saturatedFactor multiplies answerTimeout while the link is saturated.
	saturatedFactor = 5
	// decisionGrace is the time for which a decision on a queued request may arrive after the
	// longest wait of the request.
	decisionGrace = 60 * time.Millisecond
	// suspectFirst is the first period for which a silent scheduler is avoided;
	// it doubles up to suspectMax while the scheduler stays silent.
	suspectFirst = 500 * time.Millisecond
	suspectMax   = 4 * time.Second
)

// suspectBackoff says until when a silent scheduler is avoided and how long this period is.
type suspectBackoff struct {
	until    time.Time
	duration time.Duration
}

// silenceTimeout returns the current timeout for a scheduler's first answer.
func (m *Machine) silenceTimeout(now time.Time) time.Duration {
	if m.linkSaturated {
		return saturatedFactor * answerTimeout
	}
	waiting, overdue := map[string]bool{}, map[string]bool{}
	for _, p := range m.pending {
		if p.scheduler == m.self || p.queued || p.held {
			continue
		}
		waiting[p.scheduler] = true
		if m.silentFor(now, p) > answerTimeout {
			overdue[p.scheduler] = true
		}
	}
	if len(overdue) < 2 || 2*len(overdue) <= len(waiting) {
		return answerTimeout
	}
	return ownDelayFactor * answerTimeout
}

// silentFor returns the time since a request's scheduler was asked, less the lag of
// this process since then.
func (m *Machine) silentFor(now time.Time, p *pending) time.Duration {
	return now.Sub(p.askedAt) - (m.lag - p.lagAtAsk)
}

func (m *Machine) silent(now time.Time, p *pending, timeout time.Duration) bool {
	if p.scheduler == m.self {
		return false
	}
	if p.queued {
		// A scheduler may keep a request beyond its hold if it is next in the queue.
		late := m.lag - p.lagAtAsk
		return now.Sub(p.arrived)-late > max(p.ask.Hold, p.ask.Objective/2)+decisionGrace
	}
	return m.silentFor(now, p) > timeout
}

func (m *Machine) suspect(now time.Time, p *pending) {
	s := m.suspects[p.scheduler]
	if s == nil {
		s = &suspectBackoff{duration: suspectFirst}
		m.suspects[p.scheduler] = s
	} else if now.Before(s.until) {
		return
	} else {
		s.duration = min(2*s.duration, suspectMax)
	}
	s.until = now.Add(s.duration)
	m.emit(Suspect{p.scheduler, p.cell, s.duration})
}

func (m *Machine) suspected(now time.Time, id string) bool {
	s := m.suspects[id]
	return id != m.self && s != nil && now.Before(s.until)
}
