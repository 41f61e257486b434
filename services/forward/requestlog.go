// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"madderway/core/attempt"
	"madderway/models/result"
	"madderway/models/routing"
)

// sampleOneIn is the sampling rate of the request log. All gateways sample the same request IDs.
const sampleOneIn = 32

func sampled(id string) bool { return xxhash.Sum64String(id)%sampleOneIn == 0 }

// logResult logs failed, late and retried requests, and a sample of the others.
func (s *Service) logResult(j *job, err error) {
	if scheduled(j.r.Service, &j.r.Call) {
		s.outcomes.count(outcomeOf(j, err))
	}
	switch {
	case errors.Is(err, context.Canceled):
		if sampled(j.r.Call.ID) {
			s.log.Request("Request canceled by the caller.", j.logValues()...)
		}
	case err != nil:
		code, retryAfter := "aborted", time.Duration(0)
		if e, ok := result.FromError(err); ok {
			code, retryAfter = e.Code.String(), e.RetryAfter
		}
		s.log.Request("Request failed.", append(j.logValues(), "code", code, "retry_after", retryAfter, "reason", j.reason, "error", err)...)
	case j.r.Route.Stream && j.timing.late(j.r.Route):
		s.log.Request("Response late.", append(j.logValues(), "objective", j.r.Route.Objective, "max_pause", j.r.Route.Pause)...)
	case j.plainLate():
		s.log.Request("Response late.", append(j.logValues(), "objective", j.r.Route.Objective)...)
	case j.history.Sent > 1 || j.ending != endedWhole || j.history.Unsent > 0 || j.r.Call.Resuming || sampled(j.r.Call.ID):
		s.log.Request("Request served.", j.logValues()...)
	}
}

// plainLate reports whether the response of a plain target is to be logged as late.
func (j *job) plainLate() bool {
	if !j.s.plainByRecent.Load() || scheduled(j.r.Service, &j.r.Call) || j.r.Route.Stream {
		return false
	}
	elapsed := j.s.opts.Clock.Now().Sub(j.r.Received)
	return j.r.Route.Objective > 0 && elapsed > j.r.Route.Objective
}

// outcomeOf returns the name of a request's outcome for the counts of a second.
func outcomeOf(j *job, err error) string {
	if e, numbered := result.FromError(err); numbered {
		return e.Code.String()
	}
	switch {
	case errors.Is(err, context.Canceled):
		return outcomeCanceled
	case err != nil:
		return outcomeAborted
	case j.r.Route.Stream && j.timing.late(j.r.Route):
		return outcomeLate
	default:
		return outcomeInTime
	}
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// partNames returns the first shared parts of a prompt for the log.
func partNames(p *routing.Prompt) []string {
	var names []string
	for _, part := range p.SharedParts() {
		if len(names) == maxLoggedParts {
			break
		}
		names = append(names, fmt.Sprintf("%016x", part.ID))
	}
	return names
}

// logFailedAttempt logs a failed attempt and the action after it.
func (s *Service) logFailedAttempt(j *job, o attempt.Outcome, next attempt.Next, death targetDeath) {
	values := []any{
		"id", j.r.Call.ID, "number", j.number, "target", j.targetID, "outcome", o, "next", next,
		"sent", j.history.Sent, "unsent", j.history.Unsent, "may_have_run", j.history.MayHaveRun, "reason", j.reason,
	}
	if j.r.Route.Stream {
		values = append(values, "software", j.target.Software, "last_event", j.lastEvent)
	}
	if j.ending != "" {
		values = append(values, "framing", j.framing, "end", j.ending)
	}
	if death.checked {
		values = append(values, "target_died", death.died)
	}
	if death.died {
		values = append(values, "request", death.request, "received", !j.receivedAt.IsZero())
	}
	if death.died && !j.answered {
		values = append(values, "prompt_parts", partNames(j.r.Call.Prompt))
	}
	s.log.Request("Attempt failed.", values...)
}

// logValues returns the values of a log line about the request.
func (j *job) logValues() []any {
	tokens := 0
	if j.r.Call.Prompt != nil {
		tokens = j.r.Call.Prompt.Tokens
	}
	values := []any{
		"id", j.r.Call.ID, "number", j.number, "account", j.r.account(), "route", j.r.Route.Name, "service", j.r.Service.Name,
		"scheduler", j.scheduler, "target", j.targetID, "source", j.sourceID, "sent", j.history.Sent, "unsent", j.history.Unsent,
		"handed_over_by", j.r.HandedOverBy, "before_ask", j.beforeAsk, "waited", j.waited, "first_part", j.timing.first, "longest_pause", j.timing.longestPause, "elapsed", j.s.opts.Clock.Now().Sub(j.r.Received), "tokens", tokens,
	}
	if j.crosses() {
		values = append(values, "crosses", true)
	}
	if j.r.Route.Stream && j.target != nil {
		values = append(values, "software", j.target.Software)
	}
	if j.ending != "" {
		values = append(values, "framing", j.framing, "end", j.ending)
	}
	if j.r.Call.Resuming {
		values = append(values, "resumes", j.r.Call.Resumes, "from_event", j.r.Call.LastEvent, "bound_to", j.binding.software, "bound_by", j.binding.basis)
	}
	if e := j.binding.evidence; j.binding.bound {
		values = append(values, "list_revision", e.ListRevision, "list_age", e.ListAge, "record_held", e.Held, "asked", e.Asked, "replied", e.Replied)
	}
	return values
}
