// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"madderway/core/attempt"
	"madderway/modules/clock"
	"madderway/services/notice"
	"madderway/services/upstream"
)

// maxWhole is the size up to which a plain answer is read whole before any of
// it is passed on, so that a broken one can still be repeated.
const maxWhole = 256 << 10

// failure is a target's own failure, read whole.
type failure struct {
	answer *upstream.Answer
	body   []byte
}

// exchange sends the request to the placed target and passes a success on. It
// returns 0 where the caller has the whole answer.
func (j *job) exchange(p place) (attempt.Outcome, *failure) {
	ctx, cancel := context.WithCancel(j.ctx)
	defer cancel()
	impatient := j.watch(p, cancel)
	defer impatient.Stop()
	j.broken, j.refusal, j.permit = false, nil, notice.Permit{}
	a, err := j.s.opts.Client.Send(ctx, p.target(), j.sendRequest(p.target()))
	j.permit.End(err == nil && !a.Info.NotRun)
	if errors.Is(err, errStalePlace) {
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
	if a.Info.NotRun {
		j.reason = "target did not run it"
		p.ended(attempt.NotRun, a.Info.Misdirected)
		_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxWhole))
		return attempt.NotRun, nil
	}
	j.history.MayHaveRun = true
	if a.Status >= http.StatusMultipleChoices {
		return j.failed(p, a)
	}
	if j.r.Route.Stream {
		return j.pump(p, a, impatient), nil
	}
	return j.whole(p, a), nil
}

// watch cancels the attempt where its first part takes too long, another target
// may try and the retry budget has a repeat for it. The repeat is taken before
// the attempt is cut: one that is cut for nothing would be lost.
func (j *job) watch(p place, cancel func()) clock.Timer {
	patience := p.patience()
	if patience == 0 || !j.r.Route.MayRepeat() || j.history.Sent+1 >= j.r.Route.MaxAttempts {
		return j.s.opts.Clock.AfterFunc(j.r.Deadline.Sub(j.s.opts.Clock.Now())+time.Second, cancel)
	}
	return j.s.opts.Clock.AfterFunc(patience, func() {
		if j.repeat() {
			j.reserved.Store(true)
			cancel()
		}
	})
}

// budget tells whether a further attempt is within the retry budget; one that
// was taken ahead is used up first.
func (j *job) budget() bool { return j.reserved.Swap(false) || j.repeat() }

func (j *job) noAnswer(p place, err error) attempt.Outcome {
	j.reason = err.Error()
	outcome := attempt.Unknown
	e, ok := upstream.AsErrExchange(err)
	switch {
	case ok && !e.Sent:
		j.history.Unsent++
		outcome = attempt.NotSent
	default:
		j.broken = true
		j.history.Sent++
		j.history.MayHaveRun = true
	}
	return j.ended(p, outcome)
}

// ended tells the place how the attempt came out, unless the caller has gone
// or the time is over.
func (j *job) ended(p place, o attempt.Outcome) attempt.Outcome {
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

func (j *job) failed(p place, a *upstream.Answer) (attempt.Outcome, *failure) {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxWhole))
	if err != nil {
		j.broken, j.reason = true, "failure broke off: "+err.Error()
		return j.ended(p, attempt.Unknown), nil
	}
	j.reason = http.StatusText(a.Status)
	p.ended(attempt.Failed, false)
	if a.Status < http.StatusInternalServerError {
		// The target refuses the request itself; another one would too.
		j.history.Sent = max(j.history.Sent, j.r.Route.MaxAttempts)
	}
	return attempt.Failed, &failure{a, body}
}

// deliver passes a target's failure on as it came.
func (j *job) deliver(f *failure) error {
	j.writeHead(f.answer)
	_, _ = j.w.Write(f.body)
	return nil
}

func (j *job) whole(p place, a *upstream.Answer) attempt.Outcome {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxWhole+1))
	if err != nil {
		j.broken, j.reason = true, "answer broke off: "+err.Error()
		return j.ended(p, attempt.Unknown)
	}
	p.began()
	j.writeHead(a)
	if _, err := j.w.Write(body); err != nil {
		p.canceled()
		return attempt.Cut
	}
	if len(body) <= maxWhole {
		p.done()
		return 0
	}
	return j.copyRest(p, a)
}

func (j *job) copyRest(p place, a *upstream.Answer) attempt.Outcome {
	if _, err := io.Copy(j.w, a.Body); err != nil {
		j.broken, j.reason = true, "answer broke off: "+err.Error()
		return j.ended(p, attempt.Cut)
	}
	p.done()
	return 0
}

// writeHead passes the head of an answer on.
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
