// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package quarantine keeps the table of requests under which targets ended, for the
// requests of this gateway and for what other gateways tell, and writes what it decides.
package quarantine

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"madderway/core/quarantine"
	"madderway/modules/clock"
	"madderway/modules/log"
)

// Options are the parts of a Service.
type Options struct {
	Clock clock.Clock
	// MetricPrefix is what the names of the figures begin with.
	MetricPrefix string
	// Share tells other gateways of a record; it must not wait for them.
	Share func(r quarantine.Record)
}

// Service holds the table.
type Service struct {
	log  log.Logger
	opts Options
	// known is how many requests are remembered: where there are none, a request costs
	// one load of it.
	known atomic.Int32

	mu    sync.Mutex // mu guards what follows.
	table *quarantine.Table

	changes chan change // changes wait for the archive.

	set     *metrics.Set
	deaths  *metrics.Counter
	refused *metrics.Counter
}

// New returns a service that remembers nothing.
func New(logger log.Logger, o Options) *Service {
	set := metrics.NewSet()
	return &Service{
		log: logger, opts: o, table: quarantine.New(), changes: make(chan change, archiveQueueSize), set: set,
		deaths:  set.NewCounter(o.MetricPrefix + "_requests_accused_total"),
		refused: set.NewCounter(o.MetricPrefix + "_quarantine_refused_total"),
	}
}

// Knows tells whether a request may be one of those remembered.
func (s *Service) Knows(id quarantine.Identity) bool {
	if s.known.Load() == 0 {
		return false
	}
	outline := id.Outline()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Knows(outline)
}

// Standing returns the standing of a request and, where it is quarantined, for how long.
func (s *Service) Standing(f quarantine.Fingerprint) (quarantine.Standing, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Standing(s.opts.Clock.Now(), f)
}

// StartTrial tells whether a request on trial may run here now, and if not, when its caller
// may come back. Where it may, EndTrial must follow.
func (s *Service) StartTrial(f quarantine.Fingerprint) (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.StartTrial(f), s.table.TrialRetryAfter()
}

// EndTrial tells that the run is over.
func (s *Service) EndTrial(f quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.EndTrial(f)
}

// TargetDied takes that a target has ended under a request that was sent to it then.
func (s *Service) TargetDied(id quarantine.Identity, target string, sent time.Time) {
	now := s.opts.Clock.Now()
	f := id.Fingerprint()
	s.mu.Lock()
	before, _ := s.table.Standing(now, f)
	r, accused := s.table.TargetDied(now, id, target, sent)
	after, hold := s.table.Standing(now, f)
	s.updateKnown()
	s.mu.Unlock()
	if !accused {
		return
	}
	s.deaths.Inc()
	s.logChange(r, before, after, hold, "")
	s.opts.Share(r)
	if after == quarantine.Quarantined && before != after {
		s.enqueue(change{put: &r})
	}
}

// Succeeded takes that a request has gone through at a target.
func (s *Service) Succeeded(f quarantine.Fingerprint) {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	before, _ := s.table.Standing(now, f)
	r, news := s.table.Succeeded(now, f)
	s.updateKnown()
	s.mu.Unlock()
	if news {
		s.logChange(r, before, quarantine.Unsuspected, 0, "")
		s.opts.Share(r)
		if len(r.Deaths) >= quarantine.QuarantineThreshold {
			s.enqueue(change{deletes: []quarantine.Fingerprint{f}})
		}
	}
}

// Merge takes records of another gateway. It returns those that told anything new and that
// all gateways are to know. First tells whether this gateway is the first to keep a record.
func (s *Service) Merge(from string, records []quarantine.Record, first func(f quarantine.Fingerprint) bool) []quarantine.Record {
	now := s.opts.Clock.Now()
	var news []quarantine.Record
	for _, other := range records {
		s.mu.Lock()
		before, _ := s.table.Standing(now, other.Request)
		r, changed := s.table.Merge(now, other)
		after, hold := s.table.Standing(now, other.Request)
		s.updateKnown()
		s.mu.Unlock()
		if !changed {
			continue
		}
		s.logChange(r, before, after, hold, from)
		if after == quarantine.Quarantined && before != after && first(r.Request) {
			s.enqueue(change{put: &r})
		}
		if r.IsShared() {
			news = append(news, r)
		}
	}
	return news
}

// Shared returns the records that all gateways are to know.
func (s *Service) Shared() []quarantine.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Shared(s.opts.Clock.Now())
}

// Digest returns the digest of the shared records, 0 where there are none, and how long it
// has not changed.
func (s *Service) Digest() (digest uint64, age time.Duration) {
	if s.known.Load() == 0 {
		return 0, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Digest(), s.opts.Clock.Now().Sub(s.table.ChangedAt())
}

// Expire forgets what is over. First tells whether this gateway is the first to keep a
// record, which then goes from the archive, too.
func (s *Service) Expire(first func(f quarantine.Fingerprint) bool) {
	if s.known.Load() == 0 {
		return
	}
	s.mu.Lock()
	over := s.table.Expire(s.opts.Clock.Now())
	s.updateKnown()
	s.mu.Unlock()
	var drop []quarantine.Fingerprint
	for _, r := range over {
		if len(r.Deaths) >= quarantine.QuarantineThreshold && first(r.Request) {
			drop = append(drop, r.Request)
		}
	}
	s.enqueue(change{deletes: drop})
}

// updateKnown keeps known right; mu is held.
func (s *Service) updateKnown() { s.known.Store(int32(s.table.Len())) }

// logChange tells of a request whose standing has changed. The first end under a request is
// told by the line of the failed attempt.
func (s *Service) logChange(r quarantine.Record, before, after quarantine.Standing, hold time.Duration, from string) {
	if before == after || before <= quarantine.Suspect && after <= quarantine.Suspect {
		return
	}
	targets := make([]string, len(r.Deaths))
	for i, d := range r.Deaths {
		targets[i] = d.Target
	}
	s.log.Info("Standing of a request changed.", "request", r.Request, "account", r.Account, "standing", after, "before", before,
		"targets_ended", targets, "refused_for", hold.Round(time.Second), "from", from)
}

// Standings counts the requests of each standing.
func (s *Service) Standings() map[quarantine.Standing]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Standings(s.opts.Clock.Now())
}

// WriteMetrics writes the figures in text form.
func (s *Service) WriteMetrics(w io.Writer) {
	s.set.WritePrometheus(w)
	standings := s.Standings()
	for _, standing := range []quarantine.Standing{quarantine.Suspect, quarantine.OnTrial, quarantine.Quarantined} {
		fmt.Fprintf(w, "%s_remembered_requests{standing=%q} %d\n", s.opts.MetricPrefix, standing, standings[standing])
	}
}
