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
	"madderway/services/heldbytes"
	"madderway/services/mesh"
	"madderway/services/notice"
	"madderway/services/origin"
	"madderway/services/quarantine"
	"madderway/services/upstream"
)

// maxRounds limits the placements of one request.
const maxRounds = 8

// The retry of placements for a stream that has begun, shorter than the two seconds after which
// callers give up.
const (
	placementRetryInterval = 100 * time.Millisecond
	placementRetryTimeout  = 1200 * time.Millisecond
)

// shortRetryAfter is the retry time for conditions that pass quickly.
const shortRetryAfter = 250 * time.Millisecond

// job is the state of a request.
type job struct {
	s                   *Service
	ctx                 context.Context
	w                   http.ResponseWriter
	r                   *Request
	history             attempt.History
	deny                []string
	target              *routing.Target // target of the current attempt
	targetID            string
	sourceID            string // target from which the cached prompt prefix is copied, or empty
	scheduler           string // gateway that placed or refused the request
	number              mesh.RequestID
	reason              string
	receivedAt          time.Time // of the first part of the current target's response body
	answered            bool      // the current target was seen to survive the request
	brokeOff            bool      // the last target ended its response or connection early
	placedAt            time.Time
	sentAt              time.Time
	refusal             error              // why the request must not be sent to a target
	permit              notice.Permit      // to send to the target, held until its response begins
	quarantineAttempt   quarantine.Attempt // the request as known to the quarantine
	lastEvent           string
	framing             string // of the last answer whose body was read
	ending              ending // how that body ended
	binding             binding
	sent                origin.Attempt   // the last attempt, which may begin the stream
	sentStored          bool             // its record goes to the store
	held                heldbytes.Holder // of the current target's answer
	headOut             bool
	takeFromRetryBudget func() bool
	retryReserved       atomic.Bool   // a retry was taken before the attempt was cut
	beforeAsk           time.Duration // time from the request's head to the first ask of a scheduler
	waited              time.Duration // time that the scheduler took to place the request
	timing              streamTiming
}

// placement is a target chosen for an attempt; it takes reports on the attempt.
type placement interface {
	target() *routing.Target
	// began reports the first part of the response.
	began()
	// ended reports a failed attempt. One of ended, done and canceled is called, once.
	ended(o attempt.Outcome, moved bool)
	// done reports a complete response.
	done()
	// canceled reports that the caller has disconnected.
	canceled()
	// firstPartTimeout returns the time after which another target is tried if the response
	// has not begun, 0 for no limit but the deadline.
	firstPartTimeout() time.Duration
}

func (j *job) run() error {
	defer j.quarantineAttempt.End()
	defer j.releaseAnswer()
	if err := j.checkTimeLeft(); err != nil {
		j.disregardUnasked()
		return err
	}
	if j.r.Route.Stream && j.r.Call.Resuming {
		if err := j.bind(); err != nil {
			return j.placementError(err)
		}
	}
	for range maxRounds {
		if err := j.checkQuarantine(); err != nil {
			return j.placementError(err)
		}
		p, err := j.placeWithRetry()
		if err != nil {
			return j.placementError(err)
		}
		j.target, j.targetID, j.placedAt = p.target(), p.target().ID, j.s.opts.Clock.Now()
		outcome, failure := j.exchange(p)
		j.recordWorkTime(outcome)
		if outcome == 0 {
			j.quarantineAttempt.Succeeded()
			return nil
		}
		if errors.Is(j.refusal, context.Canceled) {
			return j.refusal
		}
		if j.refusal != nil {
			return j.placementError(j.refusal)
		}
		if j.ctx.Err() == context.Canceled {
			return j.ctx.Err()
		}
		death := j.checkTargetDeath(p.target(), outcome)
		next := attempt.Decide(outcome, j.history, j.takeRetry)
		j.s.logFailedAttempt(j, outcome, next, death)
		switch next {
		case attempt.Again, attempt.Resume:
			if next == attempt.Resume {
				if err := j.bind(); err != nil {
					return j.placementError(err)
				}
			}
			j.deny = append(j.deny, j.targetID)
			j.s.counters.retries.Inc()
			continue
		case attempt.Deliver:
			return j.deliver(failure)
		case attempt.Refuse:
			if j.s.GaveUp() {
				return stoppedError()
			}
			return result.New(result.TargetRefused, "%s", j.reason).WithRetryAfter(shortRetryAfter)
		case attempt.Unclear:
			return result.New(result.OutcomeUnknown, "%s", j.reason)
		case attempt.TimedOut:
			if j.s.GaveUp() {
				return result.New(result.OutcomeUnknown, "the gateway stopped before the target answered")
			}
			return result.New(result.TimedOut, "%s", j.reason)
		default:
			return ErrAborted
		}
	}
	return j.placementError(result.New(result.NoTarget, "no target after %d rounds", maxRounds).WithRetryAfter(shortRetryAfter))
}

// placeWithRetry finds a target. A stream that has begun retries for a while, as the caller
// has part of its response.
func (j *job) placeWithRetry() (placement, error) {
	start := j.s.opts.Clock.Now()
	for {
		p, err := j.place()
		now := j.s.opts.Clock.Now()
		if err == nil || !shouldRetryPlacement(j.history, j.r.Deadline.Sub(now), now.Sub(start)) {
			return p, err
		}
		select {
		case <-j.ctx.Done():
			return nil, err
		case <-j.s.opts.Clock.After(placementRetryInterval):
		}
	}
}

// shouldRetryPlacement reports whether to ask for a target again; remaining is the time to the
// deadline, elapsed that since the first ask.
func shouldRetryPlacement(h attempt.History, remaining, elapsed time.Duration) bool {
	resumable := h.Route.Stream && h.Route.Resumable
	return resumable && h.MayHaveRun && h.Sent < h.Route.MaxAttempts && remaining > 2*placementRetryInterval && elapsed < placementRetryTimeout
}

// placementError returns the error for a request that gets no further target. If an earlier
// attempt may have run, the error says so.
func (j *job) placementError(err error) error {
	if j.ctx.Err() == context.Canceled {
		return j.ctx.Err()
	}
	if j.headOut {
		return ErrAborted
	}
	if j.history.MayHaveRun {
		return result.New(result.OutcomeUnknown, "%s; then %v", j.reason, err)
	}
	if j.s.GaveUp() {
		return stoppedError()
	}
	if j.ctx.Err() != nil {
		return result.New(result.QueueTimeout, "the time is over").WithRetryAfter(shortRetryAfter)
	}
	return err
}

func (j *job) place() (placement, error) {
	if err := j.checkServed(); err != nil {
		return nil, err
	}
	if scheduled(j.r.Service, &j.r.Call) {
		return j.placeEngine()
	}
	return j.placePlain()
}

// sendRequest returns the request for a target, and counts the first send.
func (j *job) sendRequest(t *routing.Target) *upstream.Request {
	if j.history.Sent == 0 && j.history.Unsent == 0 {
		j.s.countFirstSend(j.r.Service.Name)
	}
	return &upstream.Request{
		ID: j.r.Call.ID, Method: j.r.Method, URI: j.r.URI, Host: j.r.Host, Header: j.r.Header, Body: j.r.Body,
		MayRepeat: j.r.Route.MayRepeat(), TrustKeepAlive: j.s.plainByRecent.Load(), Deadline: j.r.Deadline, Check: j.checkAtSend,
		Outgoing: upstream.Outgoing{
			TargetID: t.WorkerName(), Account: j.r.account(), LastEvent: j.lastEvent,
			CopyFrom: j.s.sourceAddress(j.sourceID),
		},
	}
}
