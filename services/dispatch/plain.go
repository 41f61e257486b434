// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"madderway/core/admit"
	"madderway/core/policy"
	"madderway/models/conf"
	"madderway/models/result"
	"madderway/services/engine"
)

const maxPlainResponse = 16 << 20

// Plain is a call of a plain service.
type Plain struct {
	RequestID      string
	Account        *conf.ClientAccount
	Pool           string
	Method         string
	Path           string // sent to the target, with a leading slash
	Query          string
	Header         http.Header
	Body           []byte
	Class          string
	IdempotencyKey string
	Held           *Held // of the answer
}

// PlainAnswer is the response of a plain service.
type PlainAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	Replayed    bool // recorded by an earlier call
}

// Plain serves a call of a plain service. The returned error is an ErrResult.
func (s *Service) Plain(ctx context.Context, c Plain) (PlainAnswer, error) {
	j, err := s.plainJob(c)
	if err != nil {
		return PlainAnswer{}, err
	}
	ctx, cancel := s.untilGiveUp(ctx)
	defer cancel()
	s.prepare(j)
	s.countFirstAttempt(j)
	s.startQuarantineAttempt(j, c.Body)
	defer j.quarantineAttempt.End()
	var a PlainAnswer
	if c.IdempotencyKey != "" && !s.repeatable(j, 1, outcomeUnknown, 0) {
		a, err = s.once(ctx, j, c)
	} else {
		a, err = s.plainAttempts(ctx, j, c, false)
	}
	s.counters.done(outcomeLabel(err))
	s.opts.Trace.Add(c.RequestID, c.Account.Name, "outcome", "%s", outcomeText(err))
	return a, err
}

func (s *Service) plainJob(c Plain) (*job, error) {
	if err := s.Admit(); err != nil {
		return nil, err
	}
	snapshot := s.opts.Config.Snapshot()
	pool, ok := snapshot.Index.Pool(c.Pool)
	if !ok || pool.Kind != conf.KindService {
		return nil, result.New(result.UnknownPool, "service %q", c.Pool)
	}
	j := &job{
		requestID: c.RequestID, account: c.Account, pool: pool, snapshot: snapshot, uri: c.Path + "?" + c.Query,
		request: policy.Request{
			Account: c.Account.Name, Pool: pool.Name, Method: c.Method, Path: c.Path, Class: c.Class,
			Bytes: len(c.Body), Keyed: c.IdempotencyKey != "",
		},
	}
	j.order = policy.DefaultOrder(j.request)
	j.cost = s.estimate(j, 10*pool.MilliWeight)
	return j, nil
}

// plainAttempts makes attempts until one gets a response. If once is true, it makes no further
// attempt after one that may have run.
func (s *Service) plainAttempts(ctx context.Context, j *job, c Plain, once bool) (PlainAnswer, error) {
	ran := result.RanNo
	for number := 1; ; number++ {
		a, outcome, status, err := s.tryPlain(ctx, j, c, once)
		if err != nil {
			err = withHistory(err, ran)
			ran = result.Convert(err).Execution()
		} else {
			ran = result.RanYes
		}
		if err == nil && status < http.StatusInternalServerError {
			j.quarantineAttempt.Succeeded()
			return a, nil
		}
		if err == nil {
			outcome = outcomeFailed
		}
		if once && outcome != outcomeNotRun || outcome == "" {
			return a, err
		}
		if !s.mayRetry(j, number, outcome, status) {
			if err != nil {
				err = j.finalError(err)
			}
			return a, err
		}
	}
}

// tryPlain makes one attempt. An empty outcome means that a retry is useless.
func (s *Service) tryPlain(ctx context.Context, j *job, c Plain, once bool) (a PlainAnswer, outcome string, status int, err error) {
	id, target, err := s.submit(ctx, j)
	if err != nil {
		if !result.IsErrResult(err) {
			err = result.Wrap(result.QueueTimeout, err)
		}
		return a, "", 0, err
	}
	started := s.opts.Clock.Now()
	fin := admit.Finished{ID: id}
	defer func() {
		fin.Cost = float64(s.opts.Clock.Now().Sub(started).Milliseconds()) * j.pool.MilliWeight
		if outcome == outcomeNotRun {
			fin.Cost = 0
		} else {
			s.learn(j, fin.Cost)
		}
		s.opts.Loop.Finish(fin)
	}()
	a, err = s.sendPlain(ctx, j, c, target, once)
	if err == nil {
		s.opts.Trace.Add(j.requestID, j.account.Name, "attempt", "%s answered %d", target.Name, a.Status)
		return a, "", a.Status, nil
	}
	s.opts.Trace.Add(j.requestID, j.account.Name, "attempt", "%s: %v", target.Name, err)
	at, _ := engine.AsErrAttempt(err)
	j.deny = append(j.deny, target.Name)
	if !at.MayHaveRun {
		fin.Failed = true
		return a, outcomeNotRun, at.Status, result.Wrap(result.TargetRefused, err).WithRetryAfter(time.Second)
	}
	fin.Failed = ctx.Err() == nil
	s.checkTargetDeath(ctx, j, target, false)
	return a, outcomeUnknown, 0, result.Wrap(result.OutcomeUnknown, err)
}

func (s *Service) sendPlain(ctx context.Context, j *job, c Plain, target *conf.Target, once bool) (PlainAnswer, error) {
	// A call that must not be repeated continues without its caller, so that its outcome can be
	// recorded.
	base := ctx
	if once {
		base = s.working
	}
	sendCtx, cancel := context.WithTimeout(base, time.Duration(j.pool.TimeoutMS)*time.Millisecond)
	defer cancel()
	u := "http://" + target.Address + c.Path
	if c.Query != "" {
		u += "?" + c.Query
	}
	req, err := http.NewRequestWithContext(sendCtx, c.Method, u, bytes.NewReader(c.Body))
	if err != nil {
		j.permit.End(false)
		return PlainAnswer{}, engine.ErrAttempt{Target: target.Name, Cause: err}
	}
	req.Header = c.Header.Clone()
	req.Header.Set(engine.HeaderRequest, j.requestID)
	req.Header.Set(engine.HeaderAccount, j.account.Name)
	resp, err := s.opts.Engine.Do(req, target.Name, once)
	j.permit.End(accepted(err))
	if err != nil {
		return PlainAnswer{}, err
	}
	defer resp.Body.Close()
	body, more, err := c.Held.read(resp.Body, maxPlainResponse+1)
	switch {
	case len(body) > maxPlainResponse:
		err = errors.New("the answer is too large")
	case more:
		err = errAnswersTooLarge
	}
	if err != nil {
		return PlainAnswer{}, engine.ErrAttempt{Target: target.Name, MayHaveRun: true, Cause: err}
	}
	return PlainAnswer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}
