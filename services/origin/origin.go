// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package origin tells at which software version a stream began, so that it continues at that
// version only.
//
// Each gateway records to which targets it sends the attempts that begin streams. While a service
// has, or had lately, targets of several versions, the records go to a few other gateways, which
// are asked when a caller comes back. With one version the store confirms that there is no other, and
// the records go in batches to two backups only, which share them if the gateway is silent when a
// second version is listed.
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

// expireInterval is the least time between two removals of old records.
const expireInterval = time.Second

// Options are the dependencies and settings of a Service.
type Options struct {
	Clock clock.Clock
	// MetricsPrefix is the prefix of the metrics' names.
	MetricsPrefix string
	// Sender identifies this incarnation of the gateway in records.
	Sender uint32
	// FirstStart is set if the fleet has never run before, so that no stream has begun.
	FirstStart bool
	// InContact reports whether the list of targets is as new as that of the rest of the fleet, and
	// CutOff whether updates of it may have been missed.
	InContact, CutOff func() bool
	// ListFreshAt returns when the list of targets was last known to be complete.
	ListFreshAt func() time.Time
	// Backup sends records to the gateways that are to share them if this one falls silent.
	Backup func(messages []Backup)
	// Share sends records to the gateways that are to hold them, of which one writes them to the store
	// if store is set. ShareEarly sends that one the record of an attempt without an event.
	Share      func(records []coreorigin.Record, store bool)
	ShareEarly func(r coreorigin.Record)
	// Ask asks the gateways that may hold the record of a stream and returns their IDs; wide includes
	// those that serve streams or back them up while their service has one version.
	Ask func(k coreorigin.Key, wide bool) []string
	// Confirm updates the list of targets by a read of the store that begins after the call, or fails
	// within a bounded time.
	Confirm func(ctx context.Context) error
}

// Service holds the records of streams and the versions of the listed targets. It is safe for
// concurrent use.
type Service struct {
	log     log.Logger
	opts    Options
	started time.Time

	mu       sync.Mutex // guards the fields below; not held while calling Options' functions
	gapAt    time.Time  // start of the process, or the last time up to which versions may have been missed
	versions *coreorigin.Versions
	targets  *routing.TargetSet
	table    *coreorigin.Table
	lookups  map[coreorigin.Key][]*lookup
	life     lifetime
	// of which life was taken
	configuration *routing.Configuration
	archiving     archiving
	backups       backups
	storing       storing
	covered       bool // as of the last log line
	lastExpiry    time.Time
	dropped       uint64 // as of the last log line

	counters counters
}

// New returns a service that knows no targets.
func New(logger log.Logger, o Options) *Service {
	s := &Service{
		log: logger, opts: o, started: o.Clock.Now(), targets: routing.NewTargetSet(0), table: coreorigin.NewTable(),
		lookups: map[coreorigin.Key][]*lookup{}, life: lifetime{current: maxLife}, archiving: archiving{wake: make(chan struct{}, 1)}, backups: newBackups(), storing: storing{loaded: o.FirstStart, keeps: true},
		covered: o.FirstStart,
	}
	s.gapAt = s.started
	s.versions = coreorigin.NewVersions(s.started)
	if o.FirstStart {
		s.versions = coreorigin.NewVersions(time.Time{})
	}
	s.counters = newCounters(o.MetricsPrefix, s)
	return s
}

// SetConfiguration takes the timeouts of a configuration.
func (s *Service) SetConfiguration(c *routing.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.configuration == c {
		return
	}
	if s.configuration == nil {
		s.life = lifetime{}
	}
	s.configuration = c
	s.life.set(s.opts.Clock.Now(), lifeOf(c))
}

// SetTargets takes a new list of targets. If a service begins to have several versions, the records
// of its streams are shared.
func (s *Service) SetTargets(targets *routing.TargetSet) {
	var records []coreorigin.Record
	s.mu.Lock()
	now := s.opts.Clock.Now()
	changed := s.versions.Apply(now, targets.Changes(s.targets))
	if s.targets.Revision == 0 && !s.opts.FirstStart {
		s.versions.Uncover(now)
	}
	s.targets = targets
	if len(changed) > 0 {
		s.versionsChanged(now)
	}
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
	if !s.versions.Mixed(now, service, s.life.at(now)) {
		return nil
	}
	s.versionsDiffer(now, service)
	return s.table.Unshared(service)
}

// share sends the records of streams that have begun.
func (s *Service) share(records []coreorigin.Record) {
	if len(records) == 0 {
		return
	}
	s.counters.shared.Add(len(records))
	s.opts.Share(records, true)
}

// Attempt is an attempt of a caller that may begin a stream.
type Attempt struct {
	Key     coreorigin.Key
	Service string
	Target  *routing.Target // as listed when the attempt was sent to it
	Try     int             // rises with the targets that are tried
	SentAt  time.Time
}

func (s *Service) recordOf(a Attempt, now time.Time) coreorigin.Record {
	return coreorigin.Record{Key: a.Key, Target: a.Target.ID, Software: a.Target.Software, Sender: s.opts.Sender, Try: uint32(a.Try), SentAt: a.SentAt.UnixMilli(), At: now}
}

// Sent has the record of an attempt written to the store while versions differ, since a record made at
// the first event could come too late for the batch before a loss of all gateways. It reports whether it
// did so. No gateway goes by it: the target may send no event.
func (s *Service) Sent(a Attempt) bool {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	differ := s.mayDiffer(now, a.Service)
	s.mu.Unlock()
	if differ {
		s.opts.ShareEarly(s.recordOf(a, now))
	}
	return differ
}

// Began records that an attempt begins its stream. It is called before the caller gets the first event.
// stored is set if Sent has had the record of the target written to the store; those of several tries may
// have been lost on their way to it.
func (s *Service) Began(a Attempt, stored bool) {
	now := s.opts.Clock.Now()
	r := s.recordOf(a, now)
	s.mu.Lock()
	shared := s.table.PutLocal(r, a.Service, s.mayDiffer(now, a.Service))
	if !shared {
		s.addBackup(r, a.Service)
	}
	s.expire(now)
	s.mu.Unlock()
	if shared {
		s.counters.shared.Inc()
		s.opts.Share([]coreorigin.Record{r}, !stored || a.Try > 1)
	}
}

// mayDiffer reports whether streams of a service may have begun at several versions; the caller holds
// mu.
func (s *Service) mayDiffer(now time.Time, service string) bool {
	return s.versions.Mixed(now, service, s.life.at(now)) || !s.covers(now, service)
}

// covers reports whether all versions of a service are known whose streams may continue; the caller
// holds mu.
func (s *Service) covers(now time.Time, service string) bool {
	return s.versions.Coverage().Covers(now, service, s.life.at(now))
}

// coversAll reports whether that is so for all listed services; the caller holds mu.
func (s *Service) coversAll(now time.Time) bool {
	if s.targets.Revision == 0 {
		return false
	}
	c, life := s.versions.Coverage(), s.life.at(now)
	for service := range c.Later {
		if !c.Covers(now, service, life) {
			return false
		}
	}
	return c.Covers(now, "", life)
}

// noteCoverage logs when all versions become known, and when they are no longer; the caller holds mu.
func (s *Service) noteCoverage(now time.Time, from string) {
	covered := s.coversAll(now)
	if covered == s.covered || s.targets.Revision == 0 {
		return
	}
	s.covered = covered
	if covered {
		s.log.Info("All software versions are known.", "from", from, "process_age", now.Sub(s.started), "life", s.life.at(now))
	} else {
		s.log.Info("Software versions may be missing.", "from", from, "targets_revision", s.targets.Revision)
	}
}

// expire drops old records; the caller holds mu.
func (s *Service) expire(now time.Time) {
	if now.Sub(s.lastExpiry) < expireInterval {
		return
	}
	s.lastExpiry = now
	s.table.Expire(now.Add(-s.life.at(now)))
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

// Memory holds the versions at which streams may have begun, for other gateways.
type Memory struct {
	// Unlisted are the versions that are no longer listed.
	Unlisted []coreorigin.Unlisted
	// Coverage tells since when those and the listed ones are all.
	Coverage coreorigin.CoverageAge
	// Complete reports that no stream may continue that began earlier.
	Complete bool
	// Archived is the digest of the listed versions, if they are in the archive.
	Archived uint64
}

// Memory returns what other gateways are to know.
func (s *Service) Memory() Memory {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	m := Memory{Unlisted: s.versions.Unlisted(now), Complete: s.coversAll(now), Archived: s.archiving.digest}
	if s.targets.Revision > 0 {
		m.Coverage = s.versions.Coverage().Age(now, maxLife)
	}
	return m
}

// Learn takes the memory of another gateway, which has a list of targets of a revision.
func (s *Service) Learn(peer string, m Memory, revision routing.Revision) {
	var records []coreorigin.Record
	s.mu.Lock()
	now := s.opts.Clock.Now()
	for _, u := range m.Unlisted {
		if s.versions.Learn(now, u) {
			s.log.Info("Learned of a software version.", "service", u.Service, "software", u.Software, "unlisted_for", u.Age, "from", peer)
			records = append(records, s.unshared(now, u.Service)...)
		}
	}
	// A peer with an older list may have listed a version that this gateway never has.
	if s.targets.Revision > 0 && revision >= s.archiving.changedAt {
		s.versions.Cover(m.Coverage.At(now))
		s.noteCoverage(now, peer)
		s.noteArchived(m.Archived)
	}
	s.mu.Unlock()
	s.share(records)
}

// gauge returns a function that reads a figure under the lock.
func (s *Service) gauge(read func() float64) func() float64 {
	return func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return read()
	}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// counters are the metrics of a Service.
type counters struct {
	set                                          *metrics.Set
	shared, asked, dropped                       *metrics.Counter
	backedUp, notBackedUp                        *metrics.Counter
	stored, notStored, storeFailures             *metrics.Counter // records, and calls that failed
	found, unknown, unasked, unconfirmed         *metrics.Counter // streams that callers continue
	archiveReads, archiveWrites, archiveFailures *metrics.Counter
}

func newCounters(prefix string, s *Service) counters {
	set := metrics.NewSet()
	set.NewGauge(prefix+"_stream_origins", s.gauge(func() float64 { return float64(s.table.Len()) }))
	set.NewGauge(prefix+"_software_versions_known", s.gauge(func() float64 { return boolToFloat(s.coversAll(s.opts.Clock.Now())) }))
	set.NewGauge(prefix+"_software_versions_archived", s.gauge(func() float64 { return boolToFloat(!s.archiving.pending()) }))
	archived := func(call, outcome string) *metrics.Counter {
		return set.NewCounter(prefix + `_software_versions_archive_calls_total{call="` + call + `",outcome="` + outcome + `"}`)
	}
	resolved := func(how string) *metrics.Counter {
		return set.NewCounter(prefix + `_stream_origins_resolved_total{how="` + how + `"}`)
	}
	return counters{
		set: set, shared: set.NewCounter(prefix + "_stream_origins_shared_total"), asked: set.NewCounter(prefix + "_stream_origins_asked_total"),
		dropped:  set.NewCounter(prefix + "_stream_origins_dropped_total"),
		backedUp: set.NewCounter(prefix + "_stream_origins_backed_up_total"), notBackedUp: set.NewCounter(prefix + "_stream_origins_not_backed_up_total"),
		stored: set.NewCounter(prefix + "_stream_origins_stored_total"), notStored: set.NewCounter(prefix + "_stream_origins_not_stored_total"),
		storeFailures: set.NewCounter(prefix + "_stream_origins_store_failures_total"),
		found:         resolved("record"), unknown: resolved("unknown"), unasked: resolved("single_version"),
		unconfirmed:  set.NewCounter(prefix + "_stream_origins_unconfirmed_total"),
		archiveReads: archived("read", "ok"), archiveWrites: archived("write", "ok"), archiveFailures: archived("any", "failed"),
	}
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (s *Service) WriteMetrics(w io.Writer) { s.counters.set.WritePrometheus(w) }
