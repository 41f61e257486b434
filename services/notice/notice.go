// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package notice hears what targets say of themselves in their answers: that they leave, and
// that they want rest. It holds for the whole process what core/leaving and core/pushback decide.
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

// The reasons why nothing is sent to a target.
var (
	ErrLeaves = errors.New("the target leaves")
	ErrRests  = errors.New("the target wants rest")
)

// Options are the parts of a Service.
type Options struct {
	Clock clock.Clock
	// Figures is what the names of the figures begin with.
	Figures string
	// OnLeaving is called when this process learns from an answer that a target leaves. What
	// it makes of that holds before the answer is used.
	OnLeaving func()
}

// Service holds what targets have said.
type Service struct {
	log  log.Logger
	opts Options

	// known counts what is known: while it is 0, as it mostly is, nothing is locked.
	known atomic.Int64

	mu      sync.Mutex // mu guards the machines below.
	leaving *leaving.Set
	rests   *pushback.Table
	expired time.Time

	counters counters
	lines    *log.RateLimiter
}

// New returns a service that has heard nothing.
func New(logger log.Logger, o Options) *Service {
	return &Service{
		log: logger, opts: o, leaving: leaving.New(), rests: pushback.New(), counters: newCounters(o.Figures), lines: log.NewRateLimiter(linesEvery, linesAtOnce),
	}
}

// expireEvery is how often what is over is looked for.
const expireEvery = time.Second

// locked runs a step of the machines.
func (s *Service) locked(step func(now time.Time)) {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	step(now)
	if now.Sub(s.expired) >= expireEvery {
		s.expired = now
		s.rests.Expire(now)
		s.leaving.Expire(now)
	}
	s.known.Store(int64(s.leaving.Len() + s.rests.Len()))
}

// Answered implements upstream.Observer.
func (s *Service) Answered(t *routing.Target, v upstream.AnswerInfo) {
	if v.Leaving {
		s.leaves(t)
	}
	s.WantsRest(t.ID, t.Service, v.RetryAfter)
}

// WantsRest takes what a target of a service says of the rest that it wants.
func (s *Service) WantsRest(target, service string, r retryafter.Result) {
	if r.Delay > 0 {
		s.rest(target, service, r.Delay)
	}
	if r.Invalid > 0 {
		s.unread(target, service, r.Invalid)
	}
}

func (s *Service) leaves(t *routing.Target) {
	news := false
	s.locked(func(now time.Time) { news = s.leaving.Add(now, t.ID) })
	if !news {
		return
	}
	s.counters.leaving.Inc()
	s.log.Info("Target says that it leaves.", "target", t.ID, "service", t.Service, "listed_leaving", t.Leaving)
	if s.opts.OnLeaving != nil {
		s.opts.OnLeaving()
	}
}

func (s *Service) rest(target, service string, d time.Duration) {
	var before, left time.Duration
	now := s.opts.Clock.Now()
	s.locked(func(now time.Time) {
		before = s.rests.Remaining(now, target)
		left = s.rests.Pause(now, target, d).Sub(now)
	})
	s.counters.rests.Inc()
	if tell, hidden := s.lines.Allow(now); tell {
		s.log.Info("Target wants rest.", "target", target, "service", service, "for", d, "left", left, "left_before", before, "not told of", hidden)
	}
}

func (s *Service) unread(target, service string, values int) {
	s.counters.unread.Add(values)
	if tell, hidden := s.lines.Allow(s.opts.Clock.Now()); tell {
		s.log.Warn("Time to rest not understood.", "target", target, "service", service, "values", values, "not told of", hidden)
	}
}

// Permit allows to send one request to a target. The zero Permit counts nothing.
type Permit struct {
	s      *Service
	target string
}

// Start asks right before a request is written whether its target may get it. The permit must be
// ended.
func (s *Service) Start(target string) (Permit, error) {
	if s.known.Load() == 0 {
		return Permit{}, nil
	}
	var err error
	counted := false
	s.locked(func(now time.Time) {
		if _, leaves := s.leaving.Since(target); leaves {
			err = ErrLeaves
			return
		}
		ok := false
		if counted, ok = s.rests.TryStart(now, target); !ok {
			err = ErrRests
		}
	})
	if err != nil {
		s.counters.withheld.Inc()
		return Permit{}, err
	}
	if !counted {
		return Permit{}, nil
	}
	return Permit{s, target}, nil
}

// End tells that the answer has begun, and whether the target took the request, or that none
// will come.
func (p Permit) End(taken bool) {
	if p.s != nil {
		p.s.locked(func(time.Time) { p.s.rests.Done(p.target, taken) })
	}
}

// Closed tells whether a target wants nothing from this process now, and for how long.
func (s *Service) Closed(target string) (left time.Duration, closed bool) {
	if s.known.Load() == 0 {
		return 0, false
	}
	s.locked(func(now time.Time) { left, closed = s.rests.Blocked(now, target) })
	return left, closed
}

// Rests are those of some targets that want nothing from this process now.
type Rests struct {
	Targets []string
	All     bool          // All tells that there is no other one.
	First   time.Duration // First is when the first of them may be tried again.
}

// RestsAmong returns which of some targets want nothing now.
func (s *Service) RestsAmong(targets iter.Seq[string]) Rests {
	if s.known.Load() == 0 {
		return Rests{}
	}
	return s.restsAmong(targets)
}

func (s *Service) restsAmong(targets iter.Seq[string]) Rests {
	var r Rests
	others := 0
	s.locked(func(now time.Time) {
		if s.rests.Len() == 0 {
			return
		}
		for target := range targets {
			left, closed := s.rests.Blocked(now, target)
			if !closed {
				others++
				continue
			}
			if len(r.Targets) == 0 || left < r.First {
				r.First = left
			}
			r.Targets = append(r.Targets, target)
		}
	})
	r.All = others == 0 && len(r.Targets) > 0
	return r
}

// Leaves implements follow.Leavers.
func (s *Service) Leaves(target string) bool {
	if s.known.Load() == 0 {
		return false
	}
	leaves := false
	s.locked(func(now time.Time) { leaves = s.leaving.MarkListed(now, target) })
	return leaves
}

// Leaving implements follow.Leavers.
func (s *Service) Leaving() []leaving.Announcement {
	if s.known.Load() == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving.All(s.opts.Clock.Now())
}

// MergeLeaving implements follow.Leavers.
func (s *Service) MergeLeaving(told []leaving.Announcement) (news []string) {
	if len(told) == 0 {
		return nil
	}
	s.locked(func(now time.Time) {
		for _, l := range told {
			if s.leaving.Merge(now, l) {
				news = append(news, l.ID)
			}
		}
	})
	return news
}
