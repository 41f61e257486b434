// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package drain decides which phase of a graceful shutdown a process is in.
//
// The load balancer takes seconds to notice that a process stops, and keeps sending if many
// stop together. The process therefore serves new requests while there is time to finish
// them, then refuses them. Once nothing is in flight it closes the connections on which no
// request has begun, and exits when none is left. What is in flight near the end of the grace
// period is answered with what is known of it.
package drain

import (
	"time"

	"madderway/modules/saturate"
)

// Phase determines how a stopping process treats requests.
type Phase uint8

const (
	Serve  Phase = iota + 1 // new requests are served
	Refuse                  // new requests are refused, those in flight continue
	Close                   // as Refuse, and idle connections are closed
	Answer                  // as Close, and requests in flight are answered without waiting for targets
	Exit                    // the process ends
)

// String implements fmt.Stringer.
func (p Phase) String() string {
	return [...]string{Serve: "serve", Refuse: "refuse", Close: "close", Answer: "answer", Exit: "exit"}[p]
}

const (
	// serveShare is the part of the grace period in which new requests are served. A long
	// request that starts later might not finish before the process is killed. Work that has not
	// ended after answerShare is given up, so that its callers are told before exitShare.
	serveShare  = 0.35
	answerShare = 0.94
	exitShare   = 0.95
	// maxStep bounds the time between two steps that counts towards the exit. A longer one is a
	// stall, in which no request in flight could end.
	maxStep = 200 * time.Millisecond
)

// Plan holds the times of a graceful shutdown.
type Plan struct {
	Started time.Time     // no later than the signal, which may have come while the process was stalled
	Linger  time.Duration // time for the load balancer to notice
	Grace   time.Duration // time until the process is killed
}

// ServeUntil returns the time from which new requests are refused.
func (p Plan) ServeUntil() time.Time { return p.Started.Add(fraction(p.Grace, serveShare)) }

// AnswerBy returns the time by which the work for requests must have ended to be answered.
func (p Plan) AnswerBy() time.Time { return p.Started.Add(fraction(p.Grace, answerShare)) }

// Machine runs through the phases of a shutdown. No phase comes back: a request that is read after
// the last one has ended is refused.
type Machine struct {
	plan   Plan
	phase  Phase
	stepAt time.Time     // of the last step
	ran    time.Duration // since the first step, without stalls
}

// NewMachine returns a machine in the phase Serve at the present time.
func NewMachine(p Plan, now time.Time) *Machine { return &Machine{plan: p, phase: Serve, stepAt: now} }

// Step returns the phase at a time with so many requests in flight and open connections of callers.
// Call it several times in each maxStep.
//
// After a stall it refuses new requests as if the process had run, since a kill may be near. It does
// not cut those that the process has begun to serve: they had no time to end.
func (m *Machine) Step(now time.Time, inFlight, open int) Phase {
	since := now.Sub(m.plan.Started)
	m.ran += min(now.Sub(m.stepAt), maxStep)
	m.stepAt = now
	next := m.phase
	switch {
	case m.phase >= Close && inFlight == 0 && open == 0, m.phase == Answer && m.ran >= fraction(m.plan.Grace, exitShare):
		next = Exit
	case m.ran >= fraction(m.plan.Grace, answerShare):
		next = Answer
	case inFlight == 0 && since >= min(m.plan.Linger, fraction(m.plan.Grace, exitShare)):
		next = Close
	case !now.Before(m.plan.ServeUntil()):
		next = Refuse
	}
	m.phase = max(m.phase, next)
	return m.phase
}

func fraction(d time.Duration, part float64) time.Duration {
	return saturate.Duration(part * float64(d))
}
