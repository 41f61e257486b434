// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"context"
	"time"

	"madderway/core/quarantine"
	"madderway/models/result"
)

// ExitTimeout bounds the wait for the answer whether a target has exited, before its request is
// retried elsewhere. A dead target's machine answers within milliseconds, an unreachable one never.
const ExitTimeout = 60 * time.Millisecond

// Attempt is one attempt of a request. It is not safe for concurrent use. End must be called.
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
func (t *Attempt) Request() quarantine.Fingerprint {
	if !t.hasRequest {
		t.request, t.hasRequest = t.id.Fingerprint(), true
	}
	return t.request
}

// Check returns an error if the request must not be sent to a target, since it would probably
// kill the target together with all other requests there.
func (t *Attempt) Check() error {
	if !t.s.Knows(t.id) {
		return nil
	}
	switch standing, hold := t.s.Standing(t.Request()); {
	case standing == quarantine.Quarantined:
		return t.refuse("targets have died while serving request %s", hold)
	case standing == quarantine.OnTrial && !t.onTrial:
		ok, pause := t.s.StartTrial(t.Request())
		if !ok {
			return t.refuse("another attempt of request %s is in progress", pause)
		}
		t.onTrial = true
	}
	return nil
}

func (t *Attempt) refuse(why string, after time.Duration) error {
	t.s.refused.Inc()
	return result.New(result.EndsTargets, why, t.Request()).WithRetryAfter(after)
}

// Succeeded records that a target has completed the request. Failures are not recorded, since a
// target may fail a request before it runs it.
func (t *Attempt) Succeeded() {
	if t.hasRequest || t.s.Knows(t.id) {
		t.s.Succeeded(t.Request())
	}
}

// TargetDied records the death of a target to which the request was sent at the given time.
func (t *Attempt) TargetDied(target string, sentAt time.Time) { t.s.TargetDied(t.id, target, sentAt) }

// End ends the attempt and permits the next one of a request on trial.
func (t *Attempt) End() {
	if t.onTrial {
		t.s.EndTrial(t.request)
	}
}

// HasExited asks whether a target has exited and waits at most ExitTimeout for the answer. If it
// is not known by then, HasExited keeps asking in the background and calls late on a positive answer.
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
