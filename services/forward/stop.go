// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"time"

	"madderway/core/attempt"
	"madderway/core/worktime"
	"madderway/models/result"
	"madderway/models/routing"
)

const (
	// stoppingRetryAfter is long enough for the caller to be sent to another gateway.
	stoppingRetryAfter = 50 * time.Millisecond
	// Late in a stop a request is sent to a target if at least this share of the latest requests of its
	// route would have ended in time. It is higher for requests that cannot be sent again.
	endingShare     = 0.5
	endingShareOnce = 0.9
)

// StopBy makes the service refuse requests that would not be answered by a time, unless they have been
// sent to a target.
func (s *Service) StopBy(t time.Time) { s.answerBy.Store(&t) }

// GiveUp ends all requests. Their callers are told that they did not run, or that this is unknown.
func (s *Service) GiveUp() { s.giveUp() }

// GaveUp reports whether all requests were ended.
func (s *Service) GaveUp() bool { return s.working.Err() != nil }

// stoppedError returns the error for a request that was not sent to a target before all were ended.
func stoppedError() error {
	return result.New(result.Draining, "the gateway stops").WithRetryAfter(stoppingRetryAfter)
}

func (j *job) checkTimeLeft() error { return j.s.CheckTimeLeft(j.r.Route, j.r.Deadline) }

// CheckTimeLeft returns an error if the gateway stops before a request of a route would be answered. The request
// ends at the deadline, which may be zero.
func (s *Service) CheckTimeLeft(r *routing.Route, deadline time.Time) error {
	by := s.answerBy.Load()
	if by == nil || !deadline.IsZero() && deadline.Before(*by) {
		return nil
	}
	left := by.Sub(s.opts.Clock.Now())
	ended, all := s.endedWithin(r, left)
	share := endingShareOnce
	if r.MayRepeat() {
		share = endingShare
	}
	if left > 0 && float64(ended) >= share*float64(all) && (all > 0 || r.Objective <= left) {
		return nil
	}
	return result.New(result.Draining, "the gateway stops in %v, within which %d of the last %d requests of the route ended", left.Round(time.Millisecond), ended, all).
		WithRetryAfter(stoppingRetryAfter)
}

// endedWithin returns on how many of the latest requests of a route targets worked for at most d, and their number.
func (s *Service) endedWithin(r *routing.Route, d time.Duration) (ended, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if recent := s.workTimes[r.Name]; recent != nil {
		return recent.Within(d)
	}
	return 0, 0
}

// recordWorkTime notes how long the target of an attempt worked. An attempt that the deadline ended would have
// taken longer; others that failed tell nothing.
func (j *job) recordWorkTime(o attempt.Outcome) {
	if o != 0 && o != attempt.Expired || j.sentAt.IsZero() {
		return
	}
	j.s.mu.Lock()
	defer j.s.mu.Unlock()
	recent := j.s.workTimes[j.r.Route.Name]
	if recent == nil {
		recent = &worktime.Recent{}
		j.s.workTimes[j.r.Route.Name] = recent
	}
	recent.Add(j.s.opts.Clock.Now().Sub(j.sentAt))
}

// keepWorkTimes forgets the times of routes that are not configured. The caller holds s.mu.
func (s *Service) keepWorkTimes(index *routing.Index) {
	if index == nil {
		return
	}
	kept := map[string]*worktime.Recent{}
	for i := range index.Configuration.Routes {
		name := index.Configuration.Routes[i].Name
		if recent := s.workTimes[name]; recent != nil {
			kept[name] = recent
		}
	}
	s.workTimes = kept
}
