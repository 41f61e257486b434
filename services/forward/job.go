// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"madderway/core/attempt"
	"madderway/models/result"
	"madderway/models/routing"
	"madderway/services/mesh"
	"madderway/services/notice"
	"madderway/services/quarantine"
	"madderway/services/upstream"
)

// maxRounds bounds the placements of one request, whatever happens.
const maxRounds = 8

// A stream that has begun asks for another target so often and so long; callers
// give one up after a pause of two seconds.
const (
	placeAgainEvery = 100 * time.Millisecond
	placeAgainFor   = 1200 * time.Millisecond
)

// soonAfter is when a caller may come back where the reason passes quickly.
const soonAfter = 250 * time.Millisecond

// job is one request on its way.
type job struct {
	s         *Service
	ctx       context.Context
	w         http.ResponseWriter
	r         *Request
	history   attempt.History
	deny      []string
	at        *routing.Target // at is the target of the present attempt.
	target    string
	source    string // source is the target that the beginning of the prompt is copied from, or empty.
	scheduler string // scheduler is the gateway that placed or refused it.
	number    mesh.RequestID
	reason    string
	broken    bool // broken tells that the last target ended its answer or connection early.
	placedAt  time.Time
	sentAt    time.Time
	refusal   error              // refusal is why the request may not be sent to a target.
	permit    notice.Permit      // permit is that to send to the target, while its answer has not begun.
	past      quarantine.Attempt // past is what earlier tries of the request have done.
	lastEvent string
	headOut   bool
	repeat    func() bool   // repeat takes one repeat from the retry budget.
	reserved  atomic.Bool   // reserved tells that a repeat was taken ahead.
	beforeAsk time.Duration // beforeAsk is how long after its head was read a scheduler was first asked.
	waited    time.Duration // waited is how long the scheduler took to place it.
	pace      pace
}

// place is a target that a request may be sent to, and where its end is told.
type place interface {
	target() *routing.Target
	// began tells that the first part of the answer came.
	began()
	// ended tells how the attempt came out; it is called once.
	ended(o attempt.Outcome, moved bool)
	// done tells that the answer was whole.
	done()
	// canceled tells that the caller has gone.
	canceled()
	// patience is how long the first part of the answer may take before another
	// target is tried, 0 for as long as there is time.
	patience() time.Duration
}

func (j *job) run() error {
	defer j.past.End()
	for range maxRounds {
		if err := j.mayBeSent(); err != nil {
			return j.notPlaced(err)
		}
		p, err := j.placeOrWait()
		if err != nil {
			return j.notPlaced(err)
		}
		j.at, j.target, j.placedAt = p.target(), p.target().ID, j.s.opts.Clock.Now()
		outcome, answer := j.exchange(p)
		if outcome == 0 {
			j.past.Succeeded()
			return nil
		}
		if errors.Is(j.refusal, context.Canceled) {
			return j.refusal
		}
		if j.refusal != nil {
			return j.notPlaced(j.refusal)
		}
		if j.ctx.Err() == context.Canceled {
			return j.ctx.Err()
		}
		end := j.lookAtEnd(p.target(), outcome)
		next := attempt.Decide(outcome, j.history, j.budget)
		j.s.logNext(j, outcome, next, end)
		switch next {
		case attempt.Again, attempt.Resume:
			j.deny = append(j.deny, j.target)
			j.s.counters.repeats.Inc()
			continue
		case attempt.Deliver:
			return j.deliver(answer)
		case attempt.Refuse:
			return result.New(result.TargetRefused, "%s", j.reason).WithRetryAfter(soonAfter)
		case attempt.Unclear:
			return result.New(result.OutcomeUnknown, "%s", j.reason)
		case attempt.TimedOut:
			return result.New(result.TimedOut, "%s", j.reason)
		default:
			return ErrAborted
		}
	}
	return j.notPlaced(result.New(result.NoTarget, "no target after %d rounds", maxRounds).WithRetryAfter(soonAfter))
}

// placeOrWait finds a target. One for a stream that another target has begun is
// asked for again and again for a while: the caller has a part of the answer.
func (j *job) placeOrWait() (place, error) {
	began := j.s.opts.Clock.Now()
	for {
		p, err := j.place()
		now := j.s.opts.Clock.Now()
		if err == nil || !placeLater(j.history, j.r.Deadline.Sub(now), now.Sub(began)) {
			return p, err
		}
		select {
		case <-j.ctx.Done():
			return nil, err
		case <-j.s.opts.Clock.After(placeAgainEvery):
		}
	}
}

// placeLater tells whether a target is worth asking for once more, so much time
// before the deadline and so long after the first try.
func placeLater(h attempt.History, left, tried time.Duration) bool {
	resumable := h.Route.Stream && h.Route.Resumable
	return resumable && h.MayHaveRun && h.Sent < h.Route.MaxAttempts && left > 2*placeAgainEvery && tried < placeAgainFor
}

// notPlaced ends a request that finds no further target. Where an earlier
// attempt may have been executed, "not run" would be a lie.
func (j *job) notPlaced(err error) error {
	if j.ctx.Err() == context.Canceled {
		return j.ctx.Err()
	}
	if j.headOut {
		return ErrAborted
	}
	if j.history.MayHaveRun {
		return result.New(result.OutcomeUnknown, "%s; then %v", j.reason, err)
	}
	if j.ctx.Err() != nil {
		return result.New(result.QueueTimeout, "the time is over").WithRetryAfter(soonAfter)
	}
	return err
}

func (j *job) place() (place, error) {
	if scheduled(j.r.Service, &j.r.Call) {
		return j.placeEngine()
	}
	return j.placePlain()
}

// sendRequest counts the send and makes the request for the target.
func (j *job) sendRequest(t *routing.Target) *upstream.Request {
	if j.history.Sent == 0 && j.history.Unsent == 0 {
		j.s.first(j.r.Service.Name)
	}
	return &upstream.Request{
		ID: j.r.Call.ID, Method: j.r.Method, URI: j.r.URI, Host: j.r.Host, Header: j.r.Header, Body: j.r.Body,
		MayRepeat: j.r.Route.MayRepeat(), Deadline: j.r.Deadline, Check: j.checkAtSend,
		Outgoing: upstream.Outgoing{
			Remaining: j.r.Deadline.Sub(j.s.opts.Clock.Now()), TargetID: t.WorkerName(), Account: j.r.account(), LastEvent: j.lastEvent,
			CopyFrom: j.s.sourceAddress(j.source),
		},
	}
}
