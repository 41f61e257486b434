// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package attempt decides what follows an attempt to serve a request at a target:
// another attempt, a final response or the end of the connection.
//
// It guarantees that a request that must not be repeated is not sent again once a
// target may have executed it, and that the caller never gets "not run" for it then.
package attempt

import (
	"madderway/models/routing"
)

// Outcome is the result of an attempt.
type Outcome uint8

// Outcomes of an attempt.
const (
	NotSent  Outcome = iota + 1 // no byte was written to the target
	NotRun                      // the target rejected the request without executing it
	Unknown                     // the request was written, but no usable response came
	Failed                      // the target executed the request and responded with an error
	Cut                         // the response broke off after its head
	Expired                     // the deadline passed
	Withheld                    // no byte was written, since the target is leaving or asked for a pause
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"none", "not_sent", "not_run", "unknown", "failed", "cut", "expired", "withheld"}[o]
}

// Next is the action after an attempt.
type Next uint8

// Actions after an attempt.
const (
	Again    Next = iota + 1 // try another target
	Resume                   // continue the stream at another target after the last event
	Deliver                  // forward the target's error to the caller
	Refuse                   // respond "not run" with a retry time
	Unclear                  // respond that the outcome is unknown
	TimedOut                 // respond that the deadline passed
	Abort                    // close the connection, as part of the response was forwarded
)

// String returns the name of the action.
func (n Next) String() string {
	return [...]string{"none", "again", "resume", "deliver", "refuse", "unclear", "timed_out", "abort"}[n]
}

// maxUnsent limits the targets tried without writing the request to them.
const maxUnsent = 4

// History is the state of a request after an attempt.
type History struct {
	Route         *routing.Route
	Sent          int  // attempts that wrote the request, this one included
	Unsent        int  // attempts that wrote nothing, this one included
	MayHaveRun    bool // some target may have executed the request
	HeadForwarded bool // the head of a response was forwarded to the caller
}

// Decide returns the action after an outcome. budget reports whether the retry budget
// permits another send; it is called only if the decision depends on it.
func Decide(o Outcome, h History, budget func() bool) Next {
	switch o {
	case NotSent, Withheld:
		if h.Unsent < maxUnsent {
			return retry(h)
		}
		return giveUp(h)
	case NotRun:
		if h.Sent < h.Route.MaxAttempts && budget() {
			return retry(h)
		}
		return giveUp(h)
	case Failed:
		if h.Route.MayRepeat() && !h.HeadForwarded && h.Sent < h.Route.MaxAttempts && budget() {
			return Again
		}
		if h.HeadForwarded {
			return Abort
		}
		return Deliver
	case Unknown, Cut:
		if h.Route.MayRepeat() && h.Sent < h.Route.MaxAttempts && budget() {
			return retry(h)
		}
		return giveUp(h)
	default:
		return timeOut(h)
	}
}

// retry returns the action that repeats the request, or Abort if the caller has part of
// a response that cannot be resumed.
func retry(h History) Next {
	if !h.HeadForwarded {
		return Again
	}
	if h.Route.Stream && h.Route.Resumable {
		return Resume
	}
	return Abort
}

// giveUp returns the final response to a request that is not retried.
func giveUp(h History) Next {
	switch {
	case h.HeadForwarded:
		return Abort
	case h.MayHaveRun:
		return Unclear
	default:
		return Refuse
	}
}

// timeOut returns the final response to a request whose deadline passed.
func timeOut(h History) Next {
	switch {
	case h.HeadForwarded:
		return Abort
	case h.MayHaveRun:
		return TimedOut
	default:
		return Refuse
	}
}
