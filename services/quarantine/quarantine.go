// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package quarantine keeps a gateway's table of poison requests, those under which targets die.
//
// It feeds core/quarantine with the deaths and successes seen here and with the records of other
// gateways, and shares, archives and logs the changes. Attempt checks a request before it is sent.
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

// Options are the dependencies and settings of a Service.
type Options struct {
	Clock clock.Clock
	// MetricsPrefix is the prefix of the metrics' names.
	MetricsPrefix string
	// Share and SharePart tell other gateways of a record. They must not block.
	Share     func(r quarantine.Record)
	SharePart func(n quarantine.PartNews)
}

// Service holds the table. It is safe for concurrent use.
type Service struct {
	log  log.Logger
	opts Options
	// known is the number of records. Requests that meet an empty table check only this.
	known atomic.Int32

	mu    sync.Mutex // guards table
	table *quarantine.Table

	changes chan change // for the archive
	parts   *Parts

	set     *metrics.Set
	deaths  *metrics.Counter
	refused *metrics.Counter
}

// New returns a service with an empty table.
func New(logger log.Logger, o Options) *Service {
	set := metrics.NewSet()
	s := &Service{
		log: logger, opts: o, table: quarantine.New(), changes: make(chan change, archiveQueueSize), set: set,
		deaths:  set.NewCounter(o.MetricsPrefix + "_requests_accused_total"),
		refused: set.NewCounter(o.MetricsPrefix + "_quarantine_refused_total"),
	}
	s.parts = newParts(logger, o, set, s.enqueue)
	return s
}

// Parts returns the table of parts of prompts.
func (s *Service) Parts() *Parts { return s.parts }

// Knows reports whether the table may have a record of the request.
func (s *Service) Knows(id quarantine.Identity) bool {
	if s.known.Load() == 0 {
		return false
	}
	outline := id.Outline()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Knows(outline)
}

// Standing returns the standing of a request and, if it is quarantined, the remaining time.
func (s *Service) Standing(f quarantine.Fingerprint) (quarantine.Standing, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Standing(s.opts.Clock.Now(), f)
}

// StartTrial reports whether a request on trial may run here now; if so, EndTrial must follow.
// Otherwise the duration tells when to retry.
func (s *Service) StartTrial(f quarantine.Fingerprint) (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.StartTrial(f), s.table.TrialRetryAfter()
}

// EndTrial ends the run that StartTrial permitted.
func (s *Service) EndTrial(f quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.EndTrial(f)
}

// TargetDied records the death of a target to which the request was sent at the given time.
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

// Succeeded records that a target has completed the request.
func (s *Service) Succeeded(f quarantine.Fingerprint) {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	before, _ := s.table.Standing(now, f)
	r, changed := s.table.Succeeded(now, f)
	s.updateKnown()
	s.mu.Unlock()
	if changed {
		s.logChange(r, before, quarantine.Unsuspected, 0, "")
		s.opts.Share(r)
		if len(r.Deaths) >= quarantine.QuarantineThreshold {
			s.enqueue(change{deletes: []quarantine.Fingerprint{f}})
		}
	}
}

// Merge merges records of another gateway and returns the changed ones that all gateways must
// have. ownsRecord reports whether this gateway is the one that archives a record.
func (s *Service) Merge(from string, records []quarantine.Record, ownsRecord func(f quarantine.Fingerprint) bool) []quarantine.Record {
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
		if after == quarantine.Quarantined && before != after && ownsRecord(r.Request) {
			s.enqueue(change{put: &r})
		}
		if r.IsShared() {
			news = append(news, r)
		}
	}
	return news
}

// Shared returns the records that all gateways must have.
func (s *Service) Shared() []quarantine.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Shared(s.opts.Clock.Now())
}

// Digest returns the digest of the shared records of requests and parts, 0 if there are none, and
// the time since it last changed.
func (s *Service) Digest() (digest uint64, age time.Duration) {
	digest, age = s.parts.digest()
	if s.known.Load() == 0 {
		return digest, age
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.opts.Clock.Now().Sub(s.table.ChangedAt())
	if digest == 0 {
		age = changed
	}
	return digest ^ s.table.Digest(), min(age, changed)
}

// Expire deletes expired records. ownsRecord reports whether this gateway is the one that also
// deletes a record from the archive.
func (s *Service) Expire(ownsRecord func(f quarantine.Fingerprint) bool) {
	if s.known.Load() == 0 {
		return
	}
	s.mu.Lock()
	expired := s.table.Expire(s.opts.Clock.Now())
	s.updateKnown()
	s.mu.Unlock()
	var drop []quarantine.Fingerprint
	for _, r := range expired {
		if len(r.Deaths) >= quarantine.QuarantineThreshold && ownsRecord(r.Request) {
			drop = append(drop, r.Request)
		}
	}
	s.enqueue(change{deletes: drop})
}

// updateKnown sets known. The caller must hold mu.
func (s *Service) updateKnown() { s.known.Store(int32(s.table.Len())) }

// logChange logs a change of a request's standing. The first death is left out: the log line of
// the failed attempt reports it.
func (s *Service) logChange(r quarantine.Record, before, after quarantine.Standing, hold time.Duration, from string) {
	if before == after || before <= quarantine.Suspect && after <= quarantine.Suspect {
		return
	}
	targets := make([]string, len(r.Deaths))
	for i, d := range r.Deaths {
		targets[i] = d.Target
	}
	s.log.Info("Standing of a request changed.", "request", r.Request, "account", r.Account, "standing", after, "before", before,
		"dead_targets", targets, "quarantined_for", hold.Round(time.Second), "from", from)
}

// Standings returns the number of requests of each standing.
func (s *Service) Standings() map[quarantine.Standing]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Standings(s.opts.Clock.Now())
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (s *Service) WriteMetrics(w io.Writer) {
	s.set.WritePrometheus(w)
	s.parts.writeMetrics(w)
	standings := s.Standings()
	for _, standing := range []quarantine.Standing{quarantine.Suspect, quarantine.OnTrial, quarantine.Quarantined} {
		fmt.Fprintf(w, "%s_remembered_requests{standing=%q} %d\n", s.opts.MetricsPrefix, standing, standings[standing])
	}
}
