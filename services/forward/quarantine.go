// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"errors"
	"time"

	"madderway/core/attempt"
	"madderway/core/quarantine"
	"madderway/models/result"
	"madderway/models/routing"
)

// past is what earlier tries of a request have done, as far as this one has asked.
type past struct {
	request quarantine.Fingerprint
	known   bool // known tells that request is set.
	onTrial bool // onTrial tells that this is the one run of a request on trial.
}

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

// fingerprint returns the request's, which is worked out once.
func (j *job) fingerprint() quarantine.Fingerprint {
	if !j.past.known {
		j.past.request, j.past.known = j.r.identity().Fingerprint(), true
	}
	return j.past.request
}

// mayBeSent returns why the request must not be sent to a target, or nil. A request that
// ends each target that runs it would otherwise end one at each try: 11 to 19 of nine in
// half a minute, each with up to 17 other streams.
func (j *job) mayBeSent() error {
	if !j.s.opts.Requests.Knows(j.r.identity()) {
		return nil
	}
	switch standing, hold := j.s.opts.Requests.Judge(j.fingerprint()); {
	case standing == quarantine.Quarantined:
		return j.disregard(result.New(result.EndsTargets, "targets have ended under request %s", j.fingerprint()).After(hold))
	case standing == quarantine.OnTrial && !j.past.onTrial:
		ok, pause := j.s.opts.Requests.StartTrial(j.fingerprint())
		if !ok {
			return j.disregard(result.New(result.EndsTargets, "another try of request %s is under way", j.fingerprint()).After(pause))
		}
		j.past.onTrial = true
	}
	return nil
}

// disregard counts a refusal for the request's past; the account's other requests are not
// throttled for it.
func (j *job) disregard(refusal error) error {
	j.s.opts.Requests.NoteRefused()
	if scheduled(j.r.Service, &j.r.Call) {
		j.s.mu.Lock()
		defer j.s.mu.Unlock()
		j.s.throttle.Disregard(j.s.opts.Clock.Now(), j.r.account())
	}
	return refusal
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
	j.refusal = j.mayBeSent()
	return j.refusal
}

// endTrial lets the next try of a request on trial begin.
func (j *job) endTrial() {
	if j.past.onTrial {
		j.s.opts.Requests.EndTrial(j.past.request)
	}
}

// passed notes that a target has run the request to its end. A failure tells nothing: a target
// can give one before it begins to run a request.
func (j *job) passed() {
	if j.past.known || j.s.opts.Requests.Knows(j.r.identity()) {
		j.s.opts.Requests.Passed(j.fingerprint())
	}
}

// endWait is how long a request waits to know whether its target has ended before it goes on
// at another one. A target that has ended says so within a few milliseconds; what is cut off
// says nothing, and the request must not wait for that.
const endWait = 60 * time.Millisecond

// lookAtEnd finds out whether the target of an attempt that broke off has ended under it,
// and remembers the request if so.
func (j *job) lookAtEnd(t *routing.Target, o attempt.Outcome) targetEnd {
	if !j.broken || o != attempt.Unknown && o != attempt.Cut {
		return targetEnd{}
	}
	// The end of this request's time must not hide the target's end from later ones.
	ctx := context.WithoutCancel(j.ctx)
	soon, cancel := context.WithTimeout(ctx, endWait)
	defer cancel()
	ended, known := j.s.opts.Client.HasEnded(soon, t)
	if !known {
		id, sentAt := j.r.identity(), j.sentAt
		go func() {
			if ended, _ := j.s.opts.Client.HasEnded(ctx, t); ended {
				j.s.accuse(id, t, sentAt)
			}
		}()
	}
	if !ended {
		return targetEnd{looked: known}
	}
	j.s.accuse(j.r.identity(), t, j.sentAt)
	return targetEnd{looked: true, ended: true, request: j.fingerprint()}
}

// accuse remembers the request under which a target has ended, unless that was to leave.
func (s *Service) accuse(id quarantine.Identity, t *routing.Target, sentAt time.Time) {
	if now := s.opts.Follow.Targets().Find(t.ID); now != nil && now.TakesWork() {
		s.opts.Requests.Ended(id, t.ID, sentAt)
	}
}
