// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	core "madderway/core/claim"
	"madderway/models/result"
	"madderway/modules/clock"
	"madderway/modules/ident"
	"madderway/services/claim"
)

const (
	// maxInlineBody is the size in bytes of the largest response kept in the row of the claim.
	maxInlineBody = 16 << 10
	attemptIDTag  = "att"
)

// once serves a call that must not be repeated. It is sent only under a claim.
func (s *Service) once(ctx context.Context, j *job, c Plain) (PlainAnswer, error) {
	row := core.Row{
		Attempt: ident.New(attemptIDTag), Digest: digestOf(c), Router: s.opts.RouterID,
		Incarnation: s.opts.Incarnation, RequestID: j.requestID, Expires: s.opts.Clock.Now().Add(s.opts.ClaimRetention),
	}
	wait, cancel := clock.WithDeadline(ctx, s.opts.Clock, j.deadline)
	defer cancel()
	outcome := s.opts.Claims.Acquire(wait, claim.Key(j.account.Name, c.IdempotencyKey), row)
	if outcome.Grant == nil {
		s.opts.Trace.Add(j.requestID, j.account.Name, "claim", "not held: verdict %d, attempt %s of request %s", outcome.Verdict, outcome.Row.Attempt, outcome.Row.RequestID)
		return s.replay(ctx, outcome)
	}
	s.opts.Trace.Add(j.requestID, j.account.Name, "claim", "held by attempt %s", row.Attempt)
	a, err := s.plainAttempts(ctx, j, c, true)
	if err != nil && result.Convert(err).Execution() == result.RanNo {
		outcome.Grant.Release()
		return a, err
	}
	s.record(row, c, a, err, outcome.Grant)
	return a, err
}

func digestOf(c Plain) string {
	h := sha256.New()
	fmt.Fprintf(h, "%s\x00%s\x00%s\x00%s\x00", c.Pool, c.Method, c.Path, c.Query)
	h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// record writes the outcome into the row of the claim. A large response is written to the object
// store first.
func (s *Service) record(row core.Row, c Plain, a PlainAnswer, err error, held *claim.Grant) {
	if err != nil {
		row.State = core.StateUnknown
		held.Record(row)
		return
	}
	row.State, row.Status, row.ContentType = core.StateDone, a.Status, a.ContentType
	if len(a.Body) <= maxInlineBody {
		row.Body = a.Body
		held.Record(row)
		return
	}
	c.Held.retain()
	s.t.Go(func() error {
		defer c.Held.Release()
		ctx, cancel := context.WithTimeout(s.t.Context(context.Background()), 30*time.Second)
		defer cancel()
		name, err := s.opts.Answers.PutBody(ctx, row.Attempt, a.Body)
		if err != nil {
			s.log.Warn("Could not store a large response.", "request", row.RequestID, "error", err)
		}
		row.Object = name
		held.Record(row)
		return nil
	})
}

// replay answers a call whose claim belongs to another attempt.
func (s *Service) replay(ctx context.Context, o claim.Outcome) (PlainAnswer, error) {
	switch o.Verdict {
	case core.VerdictRecorded:
		return s.recorded(ctx, o.Row)
	case core.VerdictKeyReused:
		return PlainAnswer{}, result.New(result.KeyReused, "the key belongs to request %s", o.Row.RequestID)
	case core.VerdictInProgress:
		return PlainAnswer{}, result.New(result.ClaimInProgress, "request %s at router %s has not ended", o.Row.RequestID, o.Row.Router).WithRetryAfter(time.Second)
	case core.VerdictUnknown:
		return PlainAnswer{}, result.New(result.OutcomeUnknown, "request %s may have run and will not be repeated", o.Row.RequestID)
	default:
		return PlainAnswer{}, result.New(result.ClaimUnavailable, "the table did not confirm the claim in time").WithRetryAfter(time.Second)
	}
}

func (s *Service) recorded(ctx context.Context, row core.Row) (PlainAnswer, error) {
	s.counters.replayed.Inc()
	a := PlainAnswer{Status: row.Status, ContentType: row.ContentType, Body: row.Body, Replayed: true}
	if row.Object == "" {
		return a, nil
	}
	body, err := s.opts.Answers.GetBody(ctx, row.Object)
	if err != nil {
		return PlainAnswer{}, result.Wrap(result.AnswerUnavailable, err).WithRetryAfter(time.Second)
	}
	a.Body = body
	return a, nil
}
