// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"

	"github.com/cespare/xxhash/v2"

	core "madderway/core/quarantine"
	"madderway/models/conf"
	"madderway/models/result"
	"madderway/services/quarantine"
)

// startQuarantineAttempt starts the attempt of the request in the quarantine; it must be ended.
func (s *Service) startQuarantineAttempt(j *job, body []byte) {
	j.quarantineAttempt = s.opts.Quarantine.NewAttempt(core.Identity{
		Account: j.account.Name, Method: j.request.Method, Host: j.pool.Name, URI: j.uri, Body: body,
	}, j)
}

// PromptParts implements quarantine.Prompt by the only part that requests are known to share: the
// beginning of the prompt.
func (j *job) PromptParts() []core.Part {
	if j.prefix == "" {
		return nil
	}
	return []core.Part{core.PartOf(j.pool.Name, xxhash.Sum64String(j.prefix))}
}

// checkQuarantine returns an error if the request is quarantined.
func (s *Service) checkQuarantine(j *job) error {
	err := j.quarantineAttempt.Check()
	if err != nil {
		s.counters.refused(result.Convert(err).Code)
		s.opts.Trace.Add(j.requestID, j.account.Name, "refused", "%v", err)
	}
	return err
}

// checkTargetDeath checks whether the target of a broken attempt died, and records the request if
// so. answered reports whether the target had begun to answer. A leaving target may exit on purpose.
func (s *Service) checkTargetDeath(ctx context.Context, j *job, t *conf.Target, answered bool) {
	if t.Leaving {
		return
	}
	a, sentAt := j.quarantineAttempt, j.sentAt
	ask := func(ctx context.Context) (exited, known bool) { return s.exitDetector.Exited(ctx, t.Name, t.Address) }
	died, _ := quarantine.HasExited(ctx, ask, func() { a.TargetDied(t.Name, sentAt, answered) })
	if died {
		s.opts.Trace.Add(j.requestID, j.account.Name, "target ended", "%s, under request %s", t.Name, j.quarantineAttempt.Request())
		j.quarantineAttempt.TargetDied(t.Name, sentAt, answered)
	}
}
