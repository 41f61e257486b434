// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package drain decides which phase of a graceful shutdown a process is in.
//
// The load balancer takes seconds to notice that a process stops, and keeps sending if many
// stop together. The process therefore serves new requests while there is time to finish
// them, then refuses them, and exits once nothing is in flight.
package drain

import "time"

// Phase determines how a stopping process treats requests.
type Phase uint8

const (
	Serve  Phase = iota + 1 // new requests are served
	Refuse                  // new requests are refused, those in flight continue
	Exit                    // the process ends
)

const (
	// serveShare is the part of the grace period in which new requests are served. A long
	// request that starts later might not finish before the process is killed. After
	// exitShare the requests still in flight are cut off.
	serveShare = 0.35
	exitShare  = 0.95
)

// Plan holds the times of a graceful shutdown.
type Plan struct {
	Started time.Time
	Linger  time.Duration // time for the load balancer to notice
	Grace   time.Duration // time until the process is killed
}

// Phase returns the phase at a time with the given number of requests in flight.
func (p Plan) Phase(now time.Time, inFlight int) Phase {
	since := now.Sub(p.Started)
	switch {
	case since >= fraction(p.Grace, exitShare):
		return Exit
	case inFlight == 0 && since >= min(p.Linger, fraction(p.Grace, exitShare)):
		return Exit
	case since >= fraction(p.Grace, serveShare):
		return Refuse
	default:
		return Serve
	}
}

func fraction(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }
