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

// noTargetRetryAfter is the retry time if no target accepts work; a new target is listed within
// seconds of its start.
const noTargetRetryAfter = time.Second

// errWithheld reports that a request was not sent as its target leaves, is paused or is no
// longer listed.
var errWithheld = errors.New("the target takes nothing now")

// startSending takes the permit to send to the target of the attempt. It is called right before
// the first byte is written, since the target may have announced meanwhile that it leaves or
// needs a pause, and its scheduler may not know that.
func (j *job) startSending() error {
	listed := j.s.opts.Targets.Targets().Find(j.target.ID)
	if listed == nil || !listed.AcceptsWork() || !j.binding.allows(listed) {
		return errWithheld
	}
	permit, err := j.s.opts.Notices.Start(j.target.ID)
	if err != nil {
		return errors.Join(errWithheld, err)
	}
	j.permit = permit
	j.noteSent(listed)
	return nil
}

// pausedTargets returns the targets of a service that asked this gateway for a pause. They are
// sent with each ask, as schedulers do not know them.
func (s *Service) pausedTargets(service string) notice.PausedTargets {
	return s.opts.Notices.PausedAmong(func(yield func(string) bool) {
		for _, t := range s.opts.Targets.Targets().ByService(service) {
			if t.AcceptsWork() && !yield(t.ID) {
				return
			}
		}
	})
}

// allPausedError returns the error for a request whose targets are all paused.
func allPausedError(service string, r notice.PausedTargets) error {
	return result.New(result.NoTarget, "all %d targets of %s want rest", len(r.Targets), service).WithRetryAfter(max(r.RetryAfter, shortRetryAfter))
}

// denyList returns the targets that a scheduler must not choose.
func (j *job) denyList(r notice.PausedTargets) []string {
	if len(r.Targets) == 0 {
		return j.deny
	}
	return slices.Concat(j.deny, r.Targets)
}

// usableTarget returns the target of a placement, or nil if it must not get the request.
func (j *job) usableTarget(id string) *routing.Target {
	t := j.s.opts.Targets.Targets().Find(id)
	if t == nil || !t.AcceptsWork() || !j.binding.allows(t) {
		return nil
	}
	if _, paused := j.s.opts.Notices.Blocked(id); paused {
		return nil
	}
	return t
}

// denyUnusable denies a target and all others that accept no work, as the scheduler may not know
// about them yet and would choose them one after the other.
func (j *job) denyUnusable(id string) {
	j.deny = append(j.deny, id)
	for _, t := range j.s.opts.Targets.Targets().ByService(j.r.Service.Name) {
		if !t.AcceptsWork() && !slices.Contains(j.deny, t.ID) {
			j.deny = append(j.deny, t.ID)
		}
	}
}
