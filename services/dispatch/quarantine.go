// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"

	core "madderway/core/quarantine"
	"madderway/models/conf"
	"madderway/models/result"
	"madderway/services/quarantine"
)

// beginTry begins a try of a request; the job's try must be ended.
func (s *Service) beginTry(j *job, body []byte) {
	j.past = s.opts.Requests.NewAttempt(core.Identity{
		Account: j.account.Name, Method: j.request.Method, Host: j.pool.Name, URI: j.uri, Body: body,
	})
}

// mayBeSent returns why the request must not be sent to a target, or nil.
func (s *Service) mayBeSent(j *job) error {
	err := j.past.Check()
	if err != nil {
		s.counters.refused(result.EndsTargets)
		s.opts.Book.Note(j.requestID, j.account.Name, "refused", "%v", err)
	}
	return err
}

// lookAtEnd finds out whether the target of an attempt that broke off has ended under it, and
// remembers the request if so. One that was to leave accuses nobody.
func (s *Service) lookAtEnd(ctx context.Context, j *job, t *conf.Target) {
	if t.Leaving {
		return
	}
	past, sentAt := j.past, j.sentAt
	ask := func(ctx context.Context) (ended, known bool) { return s.endings.Exited(ctx, t.Name, t.Address) }
	ended, _ := quarantine.HasExited(ctx, ask, func() { past.TargetDied(t.Name, sentAt) })
	if ended {
		s.opts.Book.Note(j.requestID, j.account.Name, "target ended", "%s, under request %s", t.Name, j.past.Request())
		j.past.TargetDied(t.Name, sentAt)
	}
}
