// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package drain decides how far a planned stop has come. The balancer takes
// seconds to notice that a process stops, and where many stop together it goes
// on sending: so the process serves what still arrives as long as there is time
// to finish it, then refuses as not run, and ends once nothing is under way.
package drain

import "time"

// Phase is how far a stop has come.
type Phase uint8

// The phases.
const (
	Serve  Phase = iota + 1 // new requests are served
	Refuse                  // new requests are refused, others go on
	Exit                    // the process ends
)

const (
	// serveShare is the part of the grace in which new requests are served: a
	// long one that begins later could not end before the process is killed.
	// exitShare is that after which what still runs is cut.
	serveShare = 0.35
	exitShare  = 0.95
)

// Plan is a planned stop.
type Plan struct {
	Started time.Time
	Linger  time.Duration // Linger is how long the balancer may take to notice.
	Grace   time.Duration // Grace is how long until the process is killed.
}

// Phase returns the phase at a time with so many requests under way.
func (p Plan) Phase(now time.Time, open int) Phase {
	since := now.Sub(p.Started)
	switch {
	case since >= fraction(p.Grace, exitShare):
		return Exit
	case open == 0 && since >= min(p.Linger, fraction(p.Grace, exitShare)):
		return Exit
	case since >= fraction(p.Grace, serveShare):
		return Refuse
	default:
		return Serve
	}
}

func fraction(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }
