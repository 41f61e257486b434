// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"madderway/core/attempt"
	"madderway/models/result"
)

// sampleOneIn is the share of ordinary requests that are logged. It goes by the
// request's ID, alike at every gateway.
const sampleOneIn = 32

func sampled(id string) bool { return xxhash.Sum64String(id)%sampleOneIn == 0 }

// logResult writes what became of a request: always where it failed, was late or
// was repeated, else for a sample.
func (s *Service) logResult(j *job, err error) {
	if scheduled(j.r.Service, &j.r.Call) {
		s.outcomes.count(outcomeOf(j, err))
	}
	switch {
	case errors.Is(err, context.Canceled):
		if sampled(j.r.Call.ID) {
			s.log.Request("Caller has gone.", j.logValues()...)
		}
	case err != nil:
		code, after := "aborted", time.Duration(0)
		if e, ok := result.FromError(err); ok {
			code, after = e.Code.String(), e.RetryAfter
		}
		s.log.Request("Request failed.", append(j.logValues(), "code", code, "retry_after", after, "reason", j.reason, "detail", err)...)
	case j.r.Route.Stream && j.timing.late(j.r.Route):
		s.log.Request("Answer late.", append(j.logValues(), "objective", j.r.Route.Objective, "longest_pause", j.r.Route.Pause)...)
	case j.history.Sent > 1 || j.history.Unsent > 0 || sampled(j.r.Call.ID):
		s.log.Request("Request served.", j.logValues()...)
	}
}

// outcomeOf names how a request ended.
func outcomeOf(j *job, err error) string {
	if e, numbered := result.FromError(err); numbered {
		return e.Code.String()
	}
	switch {
	case errors.Is(err, context.Canceled):
		return outcomeGone
	case err != nil:
		return outcomeAborted
	case j.r.Route.Stream && j.timing.late(j.r.Route):
		return outcomeLate
	default:
		return outcomeInTime
	}
}

// logFailedAttempt writes what follows an attempt that came to nothing.
func (s *Service) logFailedAttempt(j *job, o attempt.Outcome, next attempt.Next, end targetDeath) {
	values := []any{
		"id", j.r.Call.ID, "number", j.number, "target", j.targetID, "outcome", o, "next", next,
		"sent", j.history.Sent, "unsent", j.history.Unsent, "may_have_run", j.history.MayHaveRun, "reason", j.reason,
	}
	if end.checked {
		values = append(values, "target_ended", end.died)
	}
	if end.died {
		values = append(values, "request", end.request)
	}
	s.log.Request("Attempt failed.", values...)
}

// logValues returns what a line about a request tells.
func (j *job) logValues() []any {
	tokens := 0
	if j.r.Call.Prompt != nil {
		tokens = j.r.Call.Prompt.Tokens
	}
	return []any{
		"id", j.r.Call.ID, "number", j.number, "account", j.r.account(), "route", j.r.Route.Name, "service", j.r.Service.Name,
		"scheduler", j.scheduler, "target", j.targetID, "source", j.sourceID, "sent", j.history.Sent, "unsent", j.history.Unsent,
		"carrier", j.r.HandedOverBy, "before_ask", j.askedAfter, "waited", j.waited, "first", j.timing.first, "pause", j.timing.pause, "after", j.s.opts.Clock.Now().Sub(j.r.Received), "tokens", tokens,
	}
}
