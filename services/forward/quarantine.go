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

// targetDeath is what is known of a target whose answer broke off.
type targetDeath struct {
	checked bool // looked tells that the target was asked whether it is still there.
	died    bool
	request quarantine.Fingerprint // request is the one under which it ended.
}

// identity returns what makes another try the same request.
func (r *Request) identity() quarantine.Identity {
	return quarantine.Identity{Account: r.account(), Method: r.Method, Host: r.Host, URI: r.URI, Body: r.Body}
}

// checkQuarantine returns why the request must not be sent to a target, or nil. The account's other
// requests are not throttled for one that is refused for its past.
func (j *job) checkQuarantine() error {
	err := j.try.MayBeSent()
	if err != nil && scheduled(j.r.Service, &j.r.Call) {
		j.disregard()
	}
	return err
}

// disregard has the account not throttled for a request that no scheduler was asked for.
func (j *job) disregard() {
	j.s.mu.Lock()
	defer j.s.mu.Unlock()
	j.s.throttle.Disregard(j.s.opts.Clock.Now(), j.r.account())
}

// maxPlacementAge is how long a place may be old when the request is sent. A connect takes 400 ms
// at most, so that after longer this process stood still or its machine was suspended, and
// the target may have left, been evacuated or begun another life meanwhile.
const maxPlacementAge = time.Second

// callerCheckAfter is how long after a request was read it is asked, right before it is sent, whether
// its caller has left. Most are sent within some milliseconds.
const callerCheckAfter = 200 * time.Millisecond

// errStalePlacement tells that a request was not sent since its place may no longer hold.
var errStalePlacement = errors.New("the place was too old to send to")

// checkAtSend looks once more when a connection is there: while the request waited for one,
// another gateway may have seen a target end under it, or this process stood still.
func (j *job) checkAtSend() error {
	j.sentAt = j.s.opts.Clock.Now()
	if j.sentAt.Sub(j.placedAt) > maxPlacementAge {
		return errStalePlacement
	}
	// A process that is short of time learns late that a caller has left: 299 requests in
	// half a second were sent on for nobody. One that came just now is not asked for.
	if j.r.CallerGone != nil && j.sentAt.Sub(j.r.Received) > callerCheckAfter && j.r.CallerGone() {
		j.refusal = context.Canceled
		return j.refusal
	}
	if j.refusal = j.checkQuarantine(); j.refusal != nil {
		return j.refusal
	}
	return j.startSending()
}

// checkTargetDeath finds out whether the target of an attempt that broke off has ended under it,
// and remembers the request if so.
func (j *job) checkTargetDeath(t *routing.Target, o attempt.Outcome) targetDeath {
	if !j.brokeOff || o != attempt.Unknown && o != attempt.Cut {
		return targetDeath{}
	}
	past, sentAt := j.try, j.sentAt
	ask := func(ctx context.Context) (ended, known bool) { return j.s.opts.Client.HasEnded(ctx, t) }
	ended, known := requests.HasEnded(j.ctx, ask, func() { j.s.recordDeath(&past, t, sentAt) })
	if !ended {
		return targetDeath{checked: known}
	}
	j.s.recordDeath(&j.try, t, sentAt)
	return targetDeath{checked: true, died: true, request: j.try.Request()}
}

// recordDeath remembers the request under which a target has ended, unless that was to leave.
func (s *Service) recordDeath(past *requests.Try, t *routing.Target, sentAt time.Time) {
	if now := s.opts.Targets.Targets().Find(t.ID); now != nil && now.AcceptsWork() {
		past.Accuse(t.ID, sentAt)
	}
}
