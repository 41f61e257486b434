// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"
	"time"

	"madderway/models/conf"
	"madderway/models/result"
	"madderway/services/answer"
	"madderway/services/engine"
	"madderway/services/platform"
)

// Resume is a request for the rest of a response.
type Resume struct {
	RequestID string
	Account   *conf.ClientAccount
	Token     string // from the beginning of the response; empty if it was lost
	Offset    int    // ID of the last event that the caller has
}

// Resume sends the rest of a response: by the token from the engine's stream, or else from the
// object store. Only the account of the original request gets it.
func (s *Service) Resume(ctx context.Context, r Resume, sink Sink) error {
	if err := s.Admit(); err != nil {
		return err
	}
	if r.Token != "" {
		token, err := s.opts.Signer.Verify(r.Token, r.Account.Name, r.RequestID)
		if err != nil {
			return result.Wrap(result.BadResumeToken, err)
		}
		if done, err := s.resumeStream(ctx, r, token, sink); done {
			return err
		}
	}
	return s.resumeKept(ctx, r, sink)
}

// resumeStream continues an engine's stream. done is false if the engine does not have it and
// nothing was sent yet.
func (s *Service) resumeStream(ctx context.Context, r Resume, token answer.Token, sink Sink) (done bool, err error) {
	address := token.Address
	if t, ok := s.opts.Config.Snapshot().Index.Target(token.Target); ok {
		address = t.Address
	}
	last := r.Offset
	for try := range resumeTries {
		resp, err := s.opts.Engine.ResumeStream(ctx, address, token.Target, token.StreamID, last)
		if err != nil {
			if try == 0 {
				return false, nil
			}
			continue
		}
		if last == r.Offset && try == 0 {
			s.counters.resumed.Inc()
			s.opts.Trace.Add(r.RequestID, r.Account.Name, "resume", "caller back, stream of %s from offset %d", token.Target, last)
			if err := sink.Begin(r.Token, token.Attempt); err != nil {
				return true, nil
			}
		}
		held := s.Hold(r.RequestID)
		reader := engine.NewEventReader(resp.Body, last, held.reserveEvent)
		last, err = copyEvents(reader, last, sink)
		held.Release()
		_ = resp.Body.Close()
		if err == nil || !isEngineError(err) {
			return true, nil
		}
	}
	return true, result.New(result.StreamBroken, "stream of %s ended at offset %d", token.Target, last).WithRetryAfter(time.Second)
}

func isEngineError(err error) bool {
	_, caller := err.(sinkError)
	return !caller
}

// sinkError marks an error of the sink, as opposed to one of the engine.
type sinkError struct{ error }

func copyEvents(reader *engine.EventReader, last int, sink Sink) (int, error) {
	for {
		ev, err := reader.Next()
		if err != nil {
			return last, err
		}
		if err := sink.Event(ev); err != nil {
			return last, sinkError{err}
		}
		last = ev.ID
		if ev.Done() {
			return last, nil
		}
	}
}

func (s *Service) resumeKept(ctx context.Context, r Resume, sink Sink) error {
	kept, err := s.opts.Answers.Fetch(ctx, r.Account.Name, r.RequestID)
	if platform.IsErrObjectNotExist(err) {
		absent := result.New(result.NotFound, "no answer %s is kept for this account; it may not be complete yet", r.RequestID).WithRetryAfter(time.Second)
		absent.Ran = result.RanUnknown
		return absent
	}
	if err != nil {
		return result.Wrap(result.AnswerUnavailable, err).WithRetryAfter(time.Second)
	}
	s.opts.Trace.Add(r.RequestID, r.Account.Name, "resume", "kept answer from offset %d", r.Offset)
	if err := sink.Begin(r.Token, 0); err != nil {
		return nil
	}
	for i := min(r.Offset, len(kept.Events)); i < len(kept.Events); i++ {
		if sink.Event(engine.Event{ID: i + 1, Data: kept.Events[i]}) != nil {
			return nil
		}
	}
	return nil
}
