// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package notice tracks what targets announce in their responses: that they leave, or that they
// need a pause. A Service combines the sets of core/leaving and core/pushback for the whole
// process and is safe for concurrent use.
package notice

import (
	"errors"
	"iter"
	"sync"
	"sync/atomic"
	"time"

	"madderway/core/leaving"
	"madderway/core/pushback"
	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/modules/retryafter"
	"madderway/services/upstream"
)

// Reasons why a request must not be sent to a target.
var (
	ErrLeaving = errors.New("the target leaves")
	ErrPaused  = errors.New("the target wants rest")
)

// Options are the settings and dependencies of a Service.
type Options struct {
	Clock clock.Clock
	// MetricsPrefix is the prefix of the metric names.
	MetricsPrefix string
	// OnLeaving is called when a response announces that a target leaves. Its effects are in
	// place before the response is used.
	OnLeaving func()
}

// Service holds the announcements of all targets.
type Service struct {
	log  log.Logger
	opts Options

	// number of targets that leave, pause or start slowly; nothing is locked while it is 0
	entries atomic.Int64

	mu         sync.Mutex // guards leaving, pauses and lastExpiry
	leaving    *leaving.Set
	pauses     *pushback.Table
	lastExpiry time.Time

	counters   counters
	logLimiter *log.RateLimiter
}

// New returns a service without announcements.
func New(logger log.Logger, o Options) *Service {
	return &Service{
		log: logger, opts: o, leaving: leaving.New(), pauses: pushback.New(), counters: newCounters(o.MetricsPrefix), logLimiter: log.NewRateLimiter(logInterval, logBurst),
	}
}

const expireInterval = time.Second

// update calls step with the lock held, and expires old entries once in a while.
func (s *Service) update(step func(now time.Time)) {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	step(now)
	if now.Sub(s.lastExpiry) >= expireInterval {
		s.lastExpiry = now
		s.pauses.Expire(now)
		s.leaving.Expire(now)
	}
	s.entries.Store(int64(s.leaving.Len() + s.pauses.Len()))
}

// Answered implements upstream.Observer.
func (s *Service) Answered(t *routing.Target, v upstream.AnswerInfo) {
	if v.Leaving {
		s.addLeaving(t)
	}
	s.PauseTarget(t.ID, t.Service, v.RetryAfter)
}

// PauseTarget handles the pause that a target of a service asked for.
func (s *Service) PauseTarget(target, service string, r retryafter.Result) {
	if r.Delay > 0 {
		s.addPause(target, service, r.Delay)
	}
	if r.Invalid > 0 {
		s.countInvalid(target, service, r.Invalid)
	}
}

func (s *Service) addLeaving(t *routing.Target) {
	added := false
	s.update(func(now time.Time) { added = s.leaving.Add(now, t.ID) })
	if !added {
		return
	}
	s.counters.leaving.Inc()
	s.log.Info("Target is leaving.", "target", t.ID, "service", t.Service, "listed_leaving", t.Leaving)
	if s.opts.OnLeaving != nil {
		s.opts.OnLeaving()
	}
}

func (s *Service) addPause(target, service string, d time.Duration) {
	var before, remaining time.Duration
	now := s.opts.Clock.Now()
	s.update(func(now time.Time) {
		before = s.pauses.Remaining(now, target)
		remaining = s.pauses.Pause(now, target, d).Sub(now)
	})
	s.counters.pauses.Inc()
	if allowed, suppressed := s.logLimiter.Allow(now); allowed {
		s.log.Info("Target asked for a pause.", "target", target, "service", service, "pause", d, "remaining", remaining, "remaining_before", before, "suppressed", suppressed)
	}
}

func (s *Service) countInvalid(target, service string, values int) {
	s.counters.invalid.Add(values)
	if allowed, suppressed := s.logLimiter.Allow(s.opts.Clock.Now()); allowed {
		s.log.Warn("Pause of a target not understood.", "target", target, "service", service, "values", values, "suppressed", suppressed)
	}
}

// Permit permits one request to a target. The zero Permit needs no End.
type Permit struct {
	s      *Service
	target string
	ticket pushback.Ticket
}

// Start returns a permit if the target may get a request now. Call it right before the request
// is written, and end the permit.
func (s *Service) Start(target string) (Permit, error) {
	if s.entries.Load() == 0 {
		return Permit{}, nil
	}
	var err error
	var ticket pushback.Ticket
	s.update(func(now time.Time) {
		if _, leaves := s.leaving.Since(target); leaves {
			err = ErrLeaving
			return
		}
		ok := false
		if ticket, ok = s.pauses.TryStart(now, target); !ok {
			err = ErrPaused
		}
	})
	if err != nil {
		s.counters.withheld.Inc()
		return Permit{}, err
	}
	if ticket == (pushback.Ticket{}) {
		return Permit{}, nil
	}
	return Permit{s, target, ticket}, nil
}

// End reports that the response began or the request failed, and whether the target accepted
// the request.
func (p Permit) End(accepted bool) {
	if p.s != nil {
		p.s.update(func(time.Time) { p.s.pauses.Done(p.target, p.ticket, accepted) })
	}
}

// Blocked reports whether a target must not get a request now, and when to retry.
func (s *Service) Blocked(target string) (retryAfter time.Duration, blocked bool) {
	if s.entries.Load() == 0 {
		return 0, false
	}
	s.update(func(now time.Time) { retryAfter, blocked = s.pauses.Blocked(now, target) })
	return retryAfter, blocked
}

// PausedTargets are those of a list of targets that must not get requests now.
type PausedTargets struct {
	Targets    []string
	All        bool          // no target of the list is usable
	RetryAfter time.Duration // time until the first of them may be tried again
}

// PausedAmong returns the targets of a list that must not get requests now.
func (s *Service) PausedAmong(targets iter.Seq[string]) PausedTargets {
	if s.entries.Load() == 0 {
		return PausedTargets{}
	}
	return s.pausedAmong(targets)
}

func (s *Service) pausedAmong(targets iter.Seq[string]) PausedTargets {
	var p PausedTargets
	others := 0
	s.update(func(now time.Time) {
		if s.pauses.Len() == 0 {
			return
		}
		for target := range targets {
			retryAfter, blocked := s.pauses.Blocked(now, target)
			if !blocked {
				others++
				continue
			}
			if len(p.Targets) == 0 || retryAfter < p.RetryAfter {
				p.RetryAfter = retryAfter
			}
			p.Targets = append(p.Targets, target)
		}
	})
	p.All = others == 0 && len(p.Targets) > 0
	return p
}

// Leaves implements follow.LeavingTargets.
func (s *Service) Leaves(target string) bool {
	if s.entries.Load() == 0 {
		return false
	}
	leaves := false
	s.update(func(now time.Time) { leaves = s.leaving.MarkListed(now, target) })
	return leaves
}

// Leaving implements follow.LeavingTargets.
func (s *Service) Leaving() []leaving.Announcement {
	if s.entries.Load() == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving.All(s.opts.Clock.Now())
}

// MergeLeaving implements follow.LeavingTargets.
func (s *Service) MergeLeaving(announced []leaving.Announcement) (added []string) {
	if len(announced) == 0 {
		return nil
	}
	s.update(func(now time.Time) {
		for _, a := range announced {
			if s.leaving.Merge(now, a) {
				added = append(added, a.ID)
			}
		}
	})
	return added
}
