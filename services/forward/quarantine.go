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

// targetEnd is what is known of a target whose answer broke off.
type targetEnd struct {
	looked  bool // looked tells that the target was asked whether it is still there.
	ended   bool
	request quarantine.Fingerprint // request is the one under which it ended.
}

// identity returns what makes another try the same request.
func (r *Request) identity() quarantine.Identity {
	return quarantine.Identity{Account: r.account(), Method: r.Method, Host: r.Host, URI: r.URI, Body: r.Body}
}

// mayBeSent returns why the request must not be sent to a target, or nil. The account's other
// requests are not throttled for one that is refused for its past.
func (j *job) mayBeSent() error {
	err := j.past.Check()
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

// placeHolds is how long a place may be old when the request is sent. A connect takes 400 ms
// at most, so that after longer this process stood still or its machine was suspended, and
// the target may have left, been evacuated or begun another life meanwhile.
const placeHolds = time.Second

// leftAfter is how long after a request was read it is asked, right before it is sent, whether
// its caller has left. Most are sent within some milliseconds.
const leftAfter = 200 * time.Millisecond

// errStalePlace tells that a request was not sent since its place may no longer hold.
var errStalePlace = errors.New("the place was too old to send to")

// checkAtSend looks once more when a connection is there: while the request waited for one,
// another gateway may have seen a target end under it, or this process stood still.
func (j *job) checkAtSend() error {
	j.sentAt = j.s.opts.Clock.Now()
	if j.sentAt.Sub(j.placedAt) > placeHolds {
		return errStalePlace
	}
	// A process that is short of time learns late that a caller has left: 299 requests in
	// half a second were sent on for nobody. One that came just now is not asked for.
	if j.r.Left != nil && j.sentAt.Sub(j.r.Received) > leftAfter && j.r.Left() {
		j.refusal = context.Canceled
		return j.refusal
	}
	if j.refusal = j.mayBeSent(); j.refusal != nil {
		return j.refusal
	}
	return j.startSending()
}

// lookAtEnd finds out whether the target of an attempt that broke off has ended under it,
// and remembers the request if so.
func (j *job) lookAtEnd(t *routing.Target, o attempt.Outcome) targetEnd {
	if !j.broken || o != attempt.Unknown && o != attempt.Cut {
		return targetEnd{}
	}
	past, sentAt := j.past, j.sentAt
	ask := func(ctx context.Context) (ended, known bool) { return j.s.opts.Client.HasExited(ctx, t) }
	ended, known := requests.HasExited(j.ctx, ask, func() { j.s.accuse(&past, t, sentAt) })
	if !ended {
		return targetEnd{looked: known}
	}
	j.s.accuse(&j.past, t, sentAt)
	return targetEnd{looked: true, ended: true, request: j.past.Request()}
}

// accuse remembers the request under which a target has ended, unless that was to leave.
func (s *Service) accuse(past *requests.Attempt, t *routing.Target, sentAt time.Time) {
	if now := s.opts.Follow.Targets().Find(t.ID); now != nil && now.AcceptsWork() {
		past.TargetDied(t.ID, sentAt)
	}
}
