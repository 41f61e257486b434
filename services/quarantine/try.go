// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"context"
	"time"

	"madderway/core/quarantine"
	"madderway/models/result"
)

// ExitTimeout is how long a request waits to know whether its target has ended before it goes on
// at another one. A target that has ended says so within a few milliseconds; what is cut off
// says nothing, and the request must not wait for that.
const ExitTimeout = 60 * time.Millisecond

// Attempt is one try of a request, with what it has asked of earlier ones. It is not safe for
// concurrent use; End must be called when it is over.
type Attempt struct {
	s          *Service
	id         quarantine.Identity
	request    quarantine.Fingerprint
	hasRequest bool // known tells that request is set.
	onTrial    bool // onTrial tells that this is the one run of a request on trial.
}

// NewAttempt begins a try.
func (s *Service) NewAttempt(id quarantine.Identity) Attempt { return Attempt{s: s, id: id} }

// Request returns the request's fingerprint, which is worked out once.
func (t *Attempt) Request() quarantine.Fingerprint {
	if !t.hasRequest {
		t.request, t.hasRequest = t.id.Fingerprint(), true
	}
	return t.request
}

// Check returns why the request must not be sent to a target, or nil. A request that ends
// each target that runs it would otherwise end one at each try: 11 to 19 of nine in half a
// minute, each with up to 17 other streams.
func (t *Attempt) Check() error {
	if !t.s.Knows(t.id) {
		return nil
	}
	switch standing, hold := t.s.Standing(t.Request()); {
	case standing == quarantine.Quarantined:
		return t.refuse("targets have ended under request %s", hold)
	case standing == quarantine.OnTrial && !t.onTrial:
		ok, pause := t.s.StartTrial(t.Request())
		if !ok {
			return t.refuse("another try of request %s is under way", pause)
		}
		t.onTrial = true
	}
	return nil
}

func (t *Attempt) refuse(why string, after time.Duration) error {
	t.s.refused.Inc()
	return result.New(result.EndsTargets, why, t.Request()).WithRetryAfter(after)
}

// Succeeded tells that a target has run the request to its end. A failure tells nothing: a target
// can give one before it begins to run a request.
func (t *Attempt) Succeeded() {
	if t.hasRequest || t.s.Knows(t.id) {
		t.s.Succeeded(t.Request())
	}
}

// TargetDied tells that a target has ended to which the request was sent then.
func (t *Attempt) TargetDied(target string, sentAt time.Time) { t.s.TargetDied(t.id, target, sentAt) }

// End lets the next try of a request on trial begin.
func (t *Attempt) End() {
	if t.onTrial {
		t.s.EndTrial(t.request)
	}
}

// HasExited asks whether a target has ended: soon, and where that is not known by then, beside
// the caller. Late gets a finding that comes later.
func HasExited(ctx context.Context, ask func(ctx context.Context) (ended, known bool), late func()) (ended, known bool) {
	// The end of a request's time must not hide its target's end from later ones.
	ctx = context.WithoutCancel(ctx)
	soon, cancel := context.WithTimeout(ctx, ExitTimeout)
	defer cancel()
	ended, known = ask(soon)
	if !known {
		go func() {
			if ended, _ := ask(ctx); ended {
				late()
			}
		}()
	}
	return ended, known
}
