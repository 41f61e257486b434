// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"errors"
	"slices"
	"time"

	"madderway/models/result"
	"madderway/models/routing"
	"madderway/services/notice"
)

// noTargetRetryAfter is when a caller may come back whom no target may serve: a new target is listed
// here within a second or two of its start.
const noTargetRetryAfter = time.Second

// errWithheld tells that a request was not sent since its target leaves, wants rest or is no
// longer listed.
var errWithheld = errors.New("the target takes nothing now")

// startSending takes the permit to send to the target of the attempt. It is asked beside the
// first byte, where all ways to a target meet: the place may be older than the target's word,
// or come from a scheduler that has not heard it.
func (j *job) startSending() error {
	if now := j.s.opts.Targets.Targets().Find(j.targetRef.ID); now == nil || !now.AcceptsWork() {
		return errWithheld
	}
	permit, err := j.s.opts.Notices.Start(j.targetRef.ID)
	if err != nil {
		return errors.Join(errWithheld, err)
	}
	j.permit = permit
	return nil
}

// pausedTargets returns which targets of a service want nothing from this gateway now. Schedulers are
// told with each ask: only this gateway knows what it was asked for, and they may change.
func (s *Service) pausedTargets(service string) notice.PausedTargets {
	return s.opts.Notices.PausedAmong(func(yield func(string) bool) {
		for _, t := range s.opts.Targets.Targets().ByService(service) {
			if t.AcceptsWork() && !yield(t.ID) {
				return
			}
		}
	})
}

// allPausedError returns the error of a request that only targets at rest could serve: to wait would
// be in vain, and the caller is told when the first of them may be tried.
func allPausedError(service string, r notice.PausedTargets) error {
	return result.New(result.NoTarget, "all %d targets of %s want rest", len(r.Targets), service).WithRetryAfter(max(r.RetryAfter, shortRetryAfter))
}

// denyList returns the targets that a scheduler is not to choose.
func (j *job) denyList(r notice.PausedTargets) []string {
	if len(r.Targets) == 0 {
		return j.deny
	}
	return slices.Concat(j.deny, r.Targets)
}

// usableTarget returns the target of a place where it may get the request, or nil.
func (j *job) usableTarget(id string) *routing.Target {
	t := j.s.opts.Targets.Targets().Find(id)
	if t == nil || !t.AcceptsWork() {
		return nil
	}
	if _, rests := j.s.opts.Notices.Blocked(id); rests {
		return nil
	}
	return t
}

// denyUnusable denies the target of a place that may not get the request, and all others that
// take no work, as its scheduler may not have heard of them either: with several targets that
// leave, one after the other would come back until the request is given up.
func (j *job) denyUnusable(id string) {
	j.deny = append(j.deny, id)
	for _, t := range j.s.opts.Targets.Targets().ByService(j.r.Service.Name) {
		if !t.AcceptsWork() && !slices.Contains(j.deny, t.ID) {
			j.deny = append(j.deny, t.ID)
		}
	}
}
