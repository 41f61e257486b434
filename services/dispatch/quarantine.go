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
	j.try = s.opts.Quarantine.Try(core.Identity{
		Account: j.account.Name, Method: j.request.Method, Host: j.pool.Name, URI: j.uri, Body: body,
	})
}

// checkQuarantine returns why the request must not be sent to a target, or nil.
func (s *Service) checkQuarantine(j *job) error {
	err := j.try.MayBeSent()
	if err != nil {
		s.counters.refused(result.EndsTargets)
		s.opts.Trace.Record(j.requestID, j.account.Name, "refused", "%v", err)
	}
	return err
}

// checkTargetDeath finds out whether the target of an attempt that broke off has ended under it, and
// remembers the request if so. One that was to leave accuses nobody.
func (s *Service) checkTargetDeath(ctx context.Context, j *job, t *conf.Target) {
	if t.Leaving {
		return
	}
	past, sentAt := j.try, j.sentAt
	ask := func(ctx context.Context) (ended, known bool) { return s.exitDetector.Exited(ctx, t.Name, t.Address) }
	ended, _ := quarantine.HasEnded(ctx, ask, func() { past.Accuse(t.Name, sentAt) })
	if ended {
		s.opts.Trace.Record(j.requestID, j.account.Name, "target ended", "%s, under request %s", t.Name, j.try.Request())
		j.try.Accuse(t.Name, sentAt)
	}
}
