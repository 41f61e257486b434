// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package origin tells at which software version a stream began, so that it continues at that
// version only.
//
// Each gateway records to which targets it sends the attempts that begin streams. While a service
// has, or had lately, targets of several versions, the records go to a few other gateways, which
// are asked when a caller comes back. With one version nothing is sent and nobody is asked.
package origin

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	coreorigin "madderway/core/origin"
	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/modules/log"
)

const (
	// learnTime is the age from which a process knows what versions matter without having heard
	// it from others. Callers whose streams broke off earlier have come back or given up by then.
	learnTime = 10 * time.Second
	// Life of records and memory of versions: timeoutFactor times the longest timeout of a stream,
	// since a caller may come back several times, and the time to come back.
	timeoutFactor = 2
	returnTime    = 10 * time.Second
	maxLife       = 2 * time.Minute
	// expireInterval is the least time between two removals of old records.
	expireInterval = time.Second
)

// Options are the dependencies and settings of a Service.
type Options struct {
	Clock clock.Clock
	// MetricsPrefix is the prefix of the metrics' names.
	MetricsPrefix string
	// Sender identifies this incarnation of the gateway in records.
	Sender uint32
	// FirstStart is set if the fleet has never run before, so that no stream has begun.
	FirstStart bool
	// InContact reports whether the list of targets is as new as that of the rest of the fleet.
	InContact func() bool
	// Share sends records to the gateways that are to hold them, Ask asks those that may hold the
	// record of a stream and returns their IDs.
	Share func(records []coreorigin.Record)
	Ask   func(k coreorigin.Key) []string
	// Confirm reads the changes of targets from the store.
	Confirm func(ctx context.Context) error
}

// Service holds the records of streams and the versions of the listed targets. It is safe for
// concurrent use.
type Service struct {
	log     log.Logger
	opts    Options
	started time.Time

	mu       sync.Mutex // guards the fields below; not held while calling Options' functions
	versions *coreorigin.Versions
	targets  *routing.TargetSet
	table    *coreorigin.Table
	lookups  map[coreorigin.Key][]*lookup
	complete bool // versions includes what other gateways remember
	life     time.Duration
	// of which life was taken
	configuration *routing.Configuration
	lastExpiry    time.Time
	dropped       uint64 // as of the last log line

	counters counters
}

// New returns a service that knows no targets.
func New(logger log.Logger, o Options) *Service {
	s := &Service{
		log: logger, opts: o, started: o.Clock.Now(), versions: coreorigin.NewVersions(), targets: routing.NewTargetSet(0), table: coreorigin.NewTable(),
		lookups: map[coreorigin.Key][]*lookup{}, complete: o.FirstStart, life: maxLife,
	}
	s.counters = newCounters(o.MetricsPrefix, s.records)
	return s
}

// SetConfiguration takes the timeouts of a configuration.
func (s *Service) SetConfiguration(c *routing.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.configuration == c {
		return
	}
	s.configuration, s.life = c, lifeOf(c)
}

// lifeOf returns how long a stream may continue after it has begun.
func lifeOf(c *routing.Configuration) time.Duration {
	life := returnTime
	for i := range c.Routes {
		r := &c.Routes[i]
		switch {
		case !r.Stream || !r.Resumable:
		case r.Timeout <= 0:
			return maxLife
		default:
			life = max(life, timeoutFactor*r.Timeout+returnTime)
		}
	}
	return min(life, maxLife)
}

// SetTargets takes a new list of targets. If a service begins to have several versions, the records
// of its streams are shared.
func (s *Service) SetTargets(targets *routing.TargetSet) {
	var records []coreorigin.Record
	s.mu.Lock()
	now := s.opts.Clock.Now()
	changed := s.versions.Apply(now, targets.Changes(s.targets))
	s.targets = targets
	for _, service := range changed {
		s.log.Info("Software versions changed.", "service", service, "revision", targets.Revision, "targets", s.versions.Listed(service))
		records = append(records, s.unshared(now, service)...)
	}
	s.mu.Unlock()
	s.share(records)
}

// unshared returns the records that others are to have since the service has several versions; the
// caller holds mu and shares them.
func (s *Service) unshared(now time.Time, service string) []coreorigin.Record {
	if !s.versions.Mixed(now, service, s.life) {
		return nil
	}
	return s.table.Unshared(service)
}

func (s *Service) share(records []coreorigin.Record) {
	if len(records) == 0 {
		return
	}
	s.counters.shared.Add(len(records))
	s.opts.Share(records)
}

// Sent records that an attempt that begins a stream is sent to a target of a service. The number of
// the try rises with the targets of the attempt.
func (s *Service) Sent(k coreorigin.Key, service string, t *routing.Target, try int) {
	now := s.opts.Clock.Now()
	r := coreorigin.Record{Key: k, Target: t.ID, Software: t.Software, Sender: s.opts.Sender, Try: uint32(try), SentAt: now.UnixMilli(), At: now}
	s.mu.Lock()
	shared := s.table.PutLocal(r, service, s.versions.Mixed(now, service, s.life) || !s.knowsVersions(now))
	s.expire(now)
	s.mu.Unlock()
	if shared {
		s.share([]coreorigin.Record{r})
	}
}

// knowsVersions reports whether all versions are known whose streams may continue; the caller holds
// mu.
func (s *Service) knowsVersions(now time.Time) bool {
	if !s.complete && now.Sub(s.started) >= learnTime {
		s.setComplete(now, "the age of the process")
	}
	return s.complete
}

// setComplete records why all versions are known; the caller holds mu.
func (s *Service) setComplete(now time.Time, from string) {
	s.complete = true
	s.log.Info("All software versions are known.", "from", from, "process_age", now.Sub(s.started))
}

// expire drops old records; the caller holds mu.
func (s *Service) expire(now time.Time) {
	if now.Sub(s.lastExpiry) < expireInterval {
		return
	}
	s.lastExpiry = now
	s.table.Expire(now.Add(-s.life))
	if n := s.table.Dropped(); n > s.dropped {
		s.log.Warn("Records of streams dropped, the table is full.", "dropped", n-s.dropped, "records", s.table.Len())
		s.counters.dropped.Add(int(n - s.dropped))
		s.dropped = n
	}
}

// Receive takes records of another gateway.
func (s *Service) Receive(records []coreorigin.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		s.table.Put(r)
	}
	s.expire(s.opts.Clock.Now())
}

// Memory returns what other gateways must know of versions that are no longer listed, and whether
// that is all.
func (s *Service) Memory() (unlisted []coreorigin.Unlisted, complete bool) {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions.Unlisted(now, s.life), s.knowsVersions(now)
}

// Learn takes the memory of another gateway.
func (s *Service) Learn(peer string, unlisted []coreorigin.Unlisted, complete bool) {
	var records []coreorigin.Record
	s.mu.Lock()
	now := s.opts.Clock.Now()
	for _, u := range unlisted {
		if s.versions.Learn(now, u) {
			s.log.Info("Learned of a software version.", "service", u.Service, "software", u.Software, "unlisted_for", u.Age, "from", peer)
			records = append(records, s.unshared(now, u.Service)...)
		}
	}
	if complete && !s.complete {
		s.setComplete(now, peer)
	}
	s.mu.Unlock()
	s.share(records)
}

func (s *Service) records() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.table.Len())
}

// counters are the metrics of a Service.
type counters struct {
	set                     *metrics.Set
	shared, asked, dropped  *metrics.Counter
	found, unknown, unasked *metrics.Counter // streams that callers continue
}

func newCounters(prefix string, records func() float64) counters {
	set := metrics.NewSet()
	set.NewGauge(prefix+"_stream_origins", records)
	resolved := func(how string) *metrics.Counter {
		return set.NewCounter(prefix + `_stream_origins_resolved_total{how="` + how + `"}`)
	}
	return counters{
		set: set, shared: set.NewCounter(prefix + "_stream_origins_shared_total"), asked: set.NewCounter(prefix + "_stream_origins_asked_total"),
		dropped: set.NewCounter(prefix + "_stream_origins_dropped_total"),
		found:   resolved("record"), unknown: resolved("unknown"), unasked: resolved("single_version"),
	}
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (s *Service) WriteMetrics(w io.Writer) { s.counters.set.WritePrometheus(w) }
