// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"madderway/models/conf"
	"madderway/models/result"
	"madderway/services/engine"
	"madderway/services/notice"
)

// maxPausedGrants is the number of grants of a request that may be given back since the target
// asked for a pause after the request was queued.
const maxPausedGrants = 4

// pausedTargets returns the targets of the job's pool that asked this router for a pause.
func (s *Service) pausedTargets(j *job) notice.PausedTargets {
	return s.opts.Notices.PausedAmong(func(yield func(string) bool) {
		for _, t := range j.snapshot.Index.TargetsOf(j.pool.Name) {
			if !t.Leaving && !yield(t.Name) {
				return
			}
		}
	})
}

// allPausedError returns the error for a call whose targets are all paused.
func (s *Service) allPausedError(j *job, r notice.PausedTargets) error {
	s.counters.refused(result.NoTarget)
	s.opts.Trace.Add(j.requestID, j.account.Name, "refused", "all %d targets want rest, the first one for %s", len(r.Targets), r.RetryAfter.Round(time.Millisecond))
	return result.New(result.NoTarget, "all %d targets of pool %s want rest", len(r.Targets), j.pool.Name).WithRetryAfter(max(r.RetryAfter, time.Second))
}

// startSending takes the permit to send to a granted target. It returns false if the target is
// paused or leaving.
func (s *Service) startSending(j *job, t *conf.Target) bool {
	permit, err := s.opts.Notices.Start(t.Name)
	if err != nil {
		s.opts.Trace.Add(j.requestID, j.account.Name, "withheld", "%s: %v", t.Name, err)
		j.deny = append(j.deny, t.Name)
		return false
	}
	j.permit = permit
	return true
}

// denyList returns the targets that must not be granted.
func (j *job) denyList(r notice.PausedTargets) []string {
	if len(r.Targets) == 0 {
		return j.deny
	}
	return slices.Concat(j.deny, r.Targets)
}

// accepted reports whether a target accepted a call, as far as the error tells.
func accepted(err error) bool {
	a, failed := engine.AsErrAttempt(err)
	return !failed || a.MayHaveRun
}
