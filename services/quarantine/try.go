// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"context"
	"time"

	"madderway/core/quarantine"
	"madderway/models/result"
)

// ExitTimeout bounds the wait to learn whether a target has exited before its request is retried
// elsewhere. An exit is detected within milliseconds; an unreachable target may never answer.
const ExitTimeout = 60 * time.Millisecond

// Attempt covers the handling of a request by this process, including retries at other targets.
// It is not safe for concurrent use. End must be called.
type Attempt struct {
	s          *Service
	id         quarantine.Identity
	request    quarantine.Fingerprint
	hasRequest bool // request is set
	onTrial    bool // this attempt is the one run of a request on trial
}

// NewAttempt starts an attempt.
func (s *Service) NewAttempt(id quarantine.Identity) Attempt { return Attempt{s: s, id: id} }

// Request returns the request's fingerprint, which is computed at most once.
func (a *Attempt) Request() quarantine.Fingerprint {
	if !a.hasRequest {
		a.request, a.hasRequest = a.id.Fingerprint(), true
	}
	return a.request
}

// Check returns an error if the request must not be sent to a target, since it would probably
// kill the target together with all other requests there.
func (a *Attempt) Check() error {
	if !a.s.Knows(a.id) {
		return nil
	}
	switch standing, hold := a.s.Standing(a.Request()); {
	case standing == quarantine.Quarantined:
		return a.refuse("targets have ended under request %s", hold)
	case standing == quarantine.OnTrial && !a.onTrial:
		ok, pause := a.s.StartTrial(a.Request())
		if !ok {
			return a.refuse("another try of request %s is under way", pause)
		}
		a.onTrial = true
	}
	return nil
}

func (a *Attempt) refuse(why string, after time.Duration) error {
	a.s.refused.Inc()
	return result.New(result.EndsTargets, why, a.Request()).WithRetryAfter(after)
}

// Succeeded records that a target has completed the request. Failures are not recorded, since a
// target may fail a request before it runs it.
func (a *Attempt) Succeeded() {
	if a.hasRequest || a.s.Knows(a.id) {
		a.s.Succeeded(a.Request())
	}
}

// TargetDied records the death of a target to which the request was sent at the given time.
func (a *Attempt) TargetDied(target string, sentAt time.Time) { a.s.TargetDied(a.id, target, sentAt) }

// End ends the attempt and permits the next one of a request on trial.
func (a *Attempt) End() {
	if a.onTrial {
		a.s.EndTrial(a.request)
	}
}

// HasExited asks whether a target has exited and waits at most ExitTimeout for the answer. If it
// is not known by then, HasExited keeps asking in the background and calls late if it has.
func HasExited(ctx context.Context, ask func(ctx context.Context) (exited, known bool), late func()) (exited, known bool) {
	// The death must be recorded for later requests even if this one's deadline passes first.
	ctx = context.WithoutCancel(ctx)
	soon, cancel := context.WithTimeout(ctx, ExitTimeout)
	defer cancel()
	exited, known = ask(soon)
	if !known {
		go func() {
			if exited, _ := ask(ctx); exited {
				late()
			}
		}()
	}
	return exited, known
}
