// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"madderway/core/attempt"
	"madderway/modules/clock"
	"madderway/services/notice"
	"madderway/services/upstream"
)

// maxBufferedResponse is the size in bytes up to which a response is buffered before any of it
// is forwarded, so that a broken one can still be retried.
const maxBufferedResponse = 256 << 10

// maxDiscardTime bounds how long the next target waits for the rest of a refusal.
const maxDiscardTime = 50 * time.Millisecond

var errFailureTooLarge = fmt.Errorf("over %d bytes", maxBufferedResponse)

// failure is an error response of a target.
type failure struct {
	answer *upstream.Answer
	body   []byte
}

// exchange sends the request to the target and forwards a successful response. It returns 0
// if the caller has the whole response.
func (j *job) exchange(p placement) (attempt.Outcome, *failure) {
	ctx, cancel := context.WithCancel(j.ctx)
	defer cancel()
	slowTimer := j.cutIfSlow(p, cancel)
	defer slowTimer.Stop()
	j.holdFor(p.target().ID)
	j.brokeOff, j.receivedAt, j.answered, j.refusal, j.permit = false, time.Time{}, false, nil, notice.Permit{}
	a, err := j.s.opts.Client.Send(ctx, p.target(), j.sendRequest(p.target()))
	j.permit.End(err == nil && !a.Info.NotRun)
	if errors.Is(err, errStalePlacement) {
		j.reason = err.Error()
		j.history.Unsent++
		return j.ended(p, attempt.NotSent), nil
	}
	if errors.Is(err, errWithheld) {
		j.reason = err.Error()
		j.history.Unsent++
		j.denyUnusable(p.target().ID)
		return j.ended(p, attempt.Withheld), nil
	}
	if j.refusal != nil {
		p.canceled()
		return attempt.NotSent, nil
	}
	if err != nil {
		return j.noAnswer(p, err), nil
	}
	defer a.Close()
	j.history.Sent++
	j.countExchange(p.target(), a)
	if a.Info.NotRun {
		j.reason = "target did not run it"
		j.s.counters.rejected.Inc()
		p.ended(attempt.NotRun, a.Info.Misdirected)
		a.DiscardBody(maxBufferedResponse, maxDiscardTime)
		return attempt.NotRun, nil
	}
	j.history.MayHaveRun = true
	if a.Status >= http.StatusMultipleChoices {
		return j.readFailure(p, a)
	}
	if j.r.Route.Stream {
		j.countContinued()
		return j.forwardStream(p, a, slowTimer), nil
	}
	return j.forwardWhole(p, a, slowTimer), nil
}

// cutIfSlow cancels the attempt if its first part takes too long, the route permits another
// attempt, a stop leaves time for it and the retry budget has a retry left. The retry is reserved before the attempt is
// cut, so that no attempt is cut without a replacement.
func (j *job) cutIfSlow(p placement, cancel func()) clock.Timer {
	timeout := p.firstPartTimeout()
	if timeout == 0 || !j.r.Route.MayRepeat() || j.history.Sent+1 >= j.r.Route.MaxAttempts {
		return j.s.opts.Clock.AfterFunc(j.r.Deadline.Sub(j.s.opts.Clock.Now())+time.Second, cancel)
	}
	return j.s.opts.Clock.AfterFunc(timeout, func() {
		if j.checkTimeLeft() == nil && j.takeFromRetryBudget() {
			j.retryReserved.Store(true)
			cancel()
		}
	})
}

// endFirstPart stops the timer of cutIfSlow once the first part has come. It returns false if the
// attempt is being cut.
func (j *job) endFirstPart(slowTimer clock.Timer) bool {
	if slowTimer.Stop() || !j.retryReserved.Load() {
		return true
	}
	j.reason = "cut for its slowness"
	return false
}

// takeRetry reports whether the retry budget permits another attempt. A reserved retry is used
// first.
func (j *job) takeRetry() bool { return j.retryReserved.Swap(false) || j.takeFromRetryBudget() }

func (j *job) noAnswer(p placement, err error) attempt.Outcome {
	j.reason = err.Error()
	if j.retryReserved.Load() {
		j.s.counters.cut.Inc()
	}
	outcome := attempt.Unknown
	e, ok := upstream.AsErrExchange(err)
	switch {
	case ok && !e.Sent:
		j.history.Unsent++
		outcome = attempt.NotSent
	default:
		j.brokeOff = true
		j.history.Sent++
		j.countExchange(p.target(), nil)
		j.history.MayHaveRun = true
	}
	return j.ended(p, outcome)
}

// ended reports the outcome to the placement; a canceled request or a passed deadline
// overrides it.
func (j *job) ended(p placement, o attempt.Outcome) attempt.Outcome {
	if j.ctx.Err() == context.Canceled {
		p.canceled()
		return o
	}
	if j.ctx.Err() != nil || !j.s.opts.Clock.Now().Before(j.r.Deadline) {
		o = attempt.Expired
	}
	p.ended(o, false)
	return o
}

func (j *job) readFailure(p placement, a *upstream.Answer) (attempt.Outcome, *failure) {
	body, more, err := j.held.Read(a.Body, maxBufferedResponse+1)
	switch {
	case len(body) > maxBufferedResponse:
		err = errFailureTooLarge
	case more:
		err = errAnswersTooLarge
	}
	j.recordEnding(a, endingOf(err))
	if err != nil {
		j.brokeOff, j.reason = true, "failure broke off: "+err.Error()
		return j.ended(p, attempt.Unknown), nil
	}
	j.reason = http.StatusText(a.Status)
	p.ended(attempt.Failed, false)
	if a.Status < http.StatusInternalServerError {
		// The target rejects the request itself, and so would any other.
		j.history.Sent = max(j.history.Sent, j.r.Route.MaxAttempts)
	}
	return attempt.Failed, &failure{a, body}
}

// deliver forwards a target's error response.
func (j *job) deliver(f *failure) error {
	j.writeHead(f.answer)
	_, _ = j.w.Write(f.body)
	return nil
}

// forwardWhole forwards an answer once it is complete, or once more of it has come than may be held.
func (j *job) forwardWhole(p placement, a *upstream.Answer, slowTimer clock.Timer) attempt.Outcome {
	body, more, err := j.held.Read(a.Body, maxBufferedResponse+1)
	if err != nil {
		j.recordEnding(a, endingOf(err))
		j.brokeOff, j.reason = true, "answer broke off: "+err.Error()
		return j.ended(p, attempt.Unknown)
	}
	if !more && j.endedWithTarget(a, p.target()) {
		return j.brokeOffByExit(p, a, attempt.Unknown)
	}
	if more && !j.endFirstPart(slowTimer) {
		return j.ended(p, attempt.Unknown)
	}
	if more && len(body) <= maxBufferedResponse {
		j.s.log.Request("Answer forwarded before it was complete.", "id", j.r.Call.ID, "target", p.target().ID, "bytes", len(body), "held", j.s.answers.Held(), "reason", errAnswersTooLarge)
	}
	p.began()
	j.writeHead(a)
	if _, err := j.w.Write(body); err != nil {
		p.canceled()
		return attempt.Cut
	}
	if !more {
		j.recordEnding(a, endedWhole)
		j.recordAnswered(true)
		p.done()
		return 0
	}
	return j.copyRest(p, a)
}

func (j *job) copyRest(p placement, a *upstream.Answer) attempt.Outcome {
	_, err := io.Copy(j.w, a.Body)
	if err == nil && j.endedWithTarget(a, p.target()) {
		return j.brokeOffByExit(p, a, attempt.Cut)
	}
	j.recordEnding(a, endingOf(err))
	if err != nil {
		j.brokeOff, j.reason = true, "answer broke off: "+err.Error()
		return j.ended(p, attempt.Cut)
	}
	p.done()
	return 0
}

// brokeOffByExit ends an attempt whose answer ended with a target that has exited.
func (j *job) brokeOffByExit(p placement, a *upstream.Answer, o attempt.Outcome) attempt.Outcome {
	j.recordEnding(a, endedByExit)
	j.brokeOff, j.reason = true, "answer broke off: ended "+string(endedByExit)
	return j.ended(p, o)
}

// writeHead forwards the status and the header of a response.
func (j *job) writeHead(a *upstream.Answer) {
	upstream.RemoveHopByHop(a.Header)
	h := j.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	if _, ok := a.Header["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	j.headOut, j.history.HeadForwarded = true, true
	j.w.WriteHeader(a.Status)
}
