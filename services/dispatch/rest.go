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

// maxWithheld bounds how often a granted target is given back since it wants rest. Each grant
// names those that were known; another one has asked for it meanwhile.
const maxWithheld = 4

// restsOf returns which targets of the job's pool want nothing from this router now.
func (s *Service) restsOf(j *job) notice.Rests {
	return s.opts.Notices.RestsAmong(func(yield func(string) bool) {
		for _, t := range j.snapshot.Index.TargetsOf(j.pool.Name) {
			if !t.Leaving && !yield(t.Name) {
				return
			}
		}
	})
}

// allRest returns the error of a call that only targets at rest could serve, with the time at
// which the first of them may be tried.
func (s *Service) allRest(j *job, r notice.Rests) error {
	s.counters.refused(result.NoTarget)
	s.opts.Book.Note(j.requestID, j.account.Name, "refused", "all %d targets want rest, the first one for %s", len(r.Targets), r.First.Round(time.Millisecond))
	return result.New(result.NoTarget, "all %d targets of pool %s want rest", len(r.Targets), j.pool.Name).WithRetryAfter(max(r.First, time.Second))
}

// startSending takes the permit to send to a target that was granted, and reports false where
// that wants rest.
func (s *Service) startSending(j *job, t *conf.Target) bool {
	permit, err := s.opts.Notices.Start(t.Name)
	if err != nil {
		s.opts.Book.Note(j.requestID, j.account.Name, "withheld", "%s: %v", t.Name, err)
		j.deny = append(j.deny, t.Name)
		return false
	}
	j.permit = permit
	return true
}

// denied returns the targets that may not be granted.
func (j *job) denied(r notice.Rests) []string {
	if len(r.Targets) == 0 {
		return j.deny
	}
	return slices.Concat(j.deny, r.Targets)
}

// taken tells whether a target took a call, as far as its answer tells.
func taken(err error) bool {
	a, failed := engine.AsErrAttempt(err)
	return !failed || a.MayHaveRun
}
