// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"errors"
	"time"

	"madderway/core/attempt"
	"madderway/core/quarantine"
	"madderway/models/routing"
	requests "madderway/services/quarantine"
)

// targetDeath is the result of the check of a target whose response broke off.
type targetDeath struct {
	checked bool // whether the target could be checked
	died    bool
	request quarantine.Fingerprint // the request under which the target died
}

// identity returns the parts that make two calls the same request.
func (r *Request) identity() quarantine.Identity {
	return quarantine.Identity{Account: r.account(), Method: r.Method, Host: r.Host, URI: r.URI, Body: r.Body}
}

// PromptParts implements quarantine.Prompt.
func (r *Request) PromptParts() []quarantine.Part {
	shared := r.Call.Prompt.SharedParts()
	parts := make([]quarantine.Part, len(shared))
	for i, part := range shared {
		parts[i] = quarantine.PartOf(r.Call.Prompt.Model, part.ID)
	}
	return parts
}

// answerSettleTime is the time for which a target must go on after the first bytes of a response
// until the response shows that the target survives the request.
const answerSettleTime = 150 * time.Millisecond

// recordAnswered notes that the target survives the request, once its response has settled.
func (j *job) recordAnswered(complete bool) {
	if !j.answered && j.s.opts.Quarantine.Parts().Known() && (complete || j.hasSettled()) {
		j.answered = true
		j.quarantineAttempt.Answered()
	}
}

// hasSettled reports whether the response of the current target has come for answerSettleTime.
func (j *job) hasSettled() bool {
	return !j.receivedAt.IsZero() && j.s.opts.Clock.Now().Sub(j.receivedAt) >= answerSettleTime
}

// checkQuarantine returns an error if the request is quarantined. Such a request does not count
// for the throttle of its account.
func (j *job) checkQuarantine() error {
	err := j.quarantineAttempt.Check()
	if err != nil {
		j.disregardUnasked()
	}
	return err
}

// disregardUnasked excludes a request that is refused without asking its scheduler from the
// throttle. Plain requests do not count there.
func (j *job) disregardUnasked() {
	if scheduled(j.r.Service, &j.r.Call) {
		j.disregard()
	}
}

// disregard excludes a request that no scheduler was asked for from the throttle.
func (j *job) disregard() {
	j.s.mu.Lock()
	defer j.s.mu.Unlock()
	j.s.throttle.Disregard(j.s.opts.Clock.Now(), j.r.account())
}

// maxPlacementAge is the greatest age of a placement at the time of sending. An older one means
// that this process stood still, as a connect takes 400 ms at most; the target may be another
// incarnation by now.
const maxPlacementAge = time.Second

// callerCheckAfter is the age from which a request is checked for a disconnected caller before it is
// sent; most are sent earlier.
const callerCheckAfter = 200 * time.Millisecond

// errStalePlacement reports that a request was not sent since its placement was too old.
var errStalePlacement = errors.New("the place was too old to send to")

// checkAtSend repeats the checks once a connection is there: while the request waited, another
// gateway may have seen a target die under it, or this process may have stood still or begun to stop.
func (j *job) checkAtSend() error {
	j.sentAt = j.s.opts.Clock.Now()
	if j.sentAt.Sub(j.placedAt) > maxPlacementAge {
		return errStalePlacement
	}
	// A process that is late, or stood still, has read the request late, and learns late that its caller
	// has disconnected.
	if j.r.CallerDisconnected != nil && j.sentAt.Sub(j.r.Received)+j.s.Lateness() > callerCheckAfter && j.r.CallerDisconnected() {
		j.refusal = context.Canceled
		return j.refusal
	}
	if j.refusal = j.checkTimeLeft(); j.refusal != nil {
		return j.refusal
	}
	if j.refusal = j.checkQuarantine(); j.refusal != nil {
		return j.refusal
	}
	return j.startSending()
}

// checkTargetDeath checks whether the target of a broken attempt died, and records the request
// if so.
func (j *job) checkTargetDeath(t *routing.Target, o attempt.Outcome) targetDeath {
	if !j.brokeOff || o != attempt.Unknown && o != attempt.Cut {
		return targetDeath{}
	}
	a, sentAt, answered := j.quarantineAttempt, j.sentAt, j.answered || j.hasSettled()
	ask := func(ctx context.Context) (died, known bool) { return j.s.opts.Client.HasExited(ctx, t) }
	died, known := requests.HasExited(j.ctx, ask, func() { j.s.recordDeath(&a, t, sentAt, answered) })
	if !died {
		return targetDeath{checked: known}
	}
	j.s.recordDeath(&j.quarantineAttempt, t, sentAt, answered)
	return targetDeath{checked: true, died: true, request: j.quarantineAttempt.Request()}
}

// recordDeath records a request under which a target died, unless the target was leaving. answered
// reports whether the target had begun to answer it.
func (s *Service) recordDeath(a *requests.Attempt, t *routing.Target, sentAt time.Time, answered bool) {
	if listed := s.opts.Targets.Targets().Find(t.ID); listed != nil && listed.AcceptsWork() {
		a.TargetDied(t.ID, sentAt, answered)
	}
}
