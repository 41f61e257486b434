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
	prompt     Prompt
	parts      []quarantine.Part // of the prompt, nil until they are needed
	trialPart  quarantine.Part   // this attempt is the one run of a part on trial, 0 if it is not
}

// Prompt is the prompt of a request.
type Prompt interface {
	// PromptParts returns the parts that other requests may have, too. It is called only while a
	// part is suspected.
	PromptParts() []quarantine.Part
}

// NewAttempt starts an attempt. The prompt may be nil.
func (s *Service) NewAttempt(id quarantine.Identity, p Prompt) Attempt {
	return Attempt{s: s, id: id, prompt: p}
}

func (a *Attempt) promptParts() []quarantine.Part {
	if a.parts == nil && a.prompt != nil {
		a.parts = a.prompt.PromptParts()
	}
	return a.parts
}

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
	if err := a.checkRequest(); err != nil {
		return err
	}
	return a.checkParts()
}

// checkRequest returns an error if this very request must not be sent, which tells its caller more
// than the refusal of a part.
func (a *Attempt) checkRequest() error {
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

// checkParts returns an error if the request must not be sent for a part of its prompt.
func (a *Attempt) checkParts() error {
	if !a.s.parts.Known() {
		return nil
	}
	v := a.s.parts.check(a.promptParts(), a.trialPart)
	if v.OnTrial {
		a.trialPart = v.Part
	}
	if !v.Refused {
		return nil
	}
	return result.New(result.PartEndsTargets, "targets have ended under part %s", partName(v.Part)).WithRetryAfter(v.RetryAfter)
}

// Answered records that a target has begun to answer the request.
func (a *Attempt) Answered() {
	if a.s.parts.Known() {
		a.s.parts.answered(a.promptParts())
	}
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

// TargetDied records the death of a target to which the request was sent at the given time. answered
// reports whether the target had begun to answer it.
func (a *Attempt) TargetDied(target string, sentAt time.Time, answered bool) {
	a.s.TargetDied(a.id, target, sentAt)
	if prompt := a.promptParts(); len(prompt) > 0 {
		a.s.parts.targetDied(prompt, target, sentAt, answered)
	}
}

// End ends the attempt and permits the next one of a request on trial.
func (a *Attempt) End() {
	if a.onTrial {
		a.s.EndTrial(a.request)
	}
	if a.trialPart != 0 {
		a.s.parts.endTrial(a.trialPart)
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
