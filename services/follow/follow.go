// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"

	"madderway/core/watch"
	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/modules/log"
)

const (
	// minRecheck and lookMost bound how long it is waited before it is decided again
	// whether to ask the store: what peers tell only puts that off, but who asks all
	// the time changes with the members.
	minRecheck     = 20 * time.Millisecond
	maxRecheck     = 500 * time.Millisecond
	fromStore      = "store"
	fromTargetHold = "the end of a hold"
	// assumedAnswerAge is how old the store's answer may be when it comes. A call that
	// waits for changes tells of the end of its wait, not of its beginning.
	assumedAnswerAge = 200 * time.Millisecond
	// maxCallTime is how long a call may take that waits for changes, with room for a slow
	// store. One that took longer was answered while this process stood still, perhaps at
	// its beginning.
	maxCallTime = watch.LongPollTimeout + time.Second
)

// Options are the parts of a Service.
type Options struct {
	Source Source
	Peers  Peers
	Clock  clock.Clock
	// Fleet tells whether this gateway is one of those that ask the store all
	// the time, and how many gateways there are.
	Fleet func() (preferred bool, members int)
	// Start tells how this gateway starts; it decides how long peers may tell it what
	// the store holds before it asks.
	Start watch.Start
	// Leavers knows the targets that have said that they leave; nil where nobody hears them.
	Leavers Leavers
	// OnNewEra is called when the store has come back from an older copy: what this process has
	// written may be gone. nil where it has written nothing.
	OnNewEra func()
	// OnChange is called after each change, from one goroutine at a time.
	OnChange func()
}

// Service follows the configuration and the targets.
type Service struct {
	t    *tomb.Tomb
	log  log.Logger
	opts Options

	mu                 sync.Mutex // mu orders changes.
	table              *targetTable
	halls              *hallTable
	held               *heldTargets
	leavingDigest      uint64 // leaving sums up the listed targets that have said that they leave.
	releaseScheduled   bool   // releasing tells that the end of a held evacuation is waited for.
	publishScheduled   bool   // publishing tells that the end of a hold is waited for.
	watchConfiguration *watch.Watch
	watchTargets       *watch.Watch
	storeClock         watch.StoreClock
	era                uint64 // era is the newest of the store that was heard of.
	index              atomic.Pointer[routing.Index]
	targets            atomic.Pointer[routing.TargetSet]

	peerReports chan peerReport
	packCache   packCache
	fetches     atomic.Uint64
	counters    *metrics.Set
	badRowLog   *log.RateLimiter // bad bounds the lines about rows that cannot be read.
	calls       atomic.Uint64
}

// New returns a service; Start starts it.
func New(t *tomb.Tomb, logger log.Logger, o Options) *Service {
	if o.Leavers == nil {
		o.Leavers = noLeavers{}
	}
	s := &Service{
		t: t, log: logger, opts: o, table: newTargetTable(), halls: newHallTable(), held: newHeldTargets(), peerReports: make(chan peerReport, peerQueueSize), counters: metrics.NewSet(), badRowLog: log.NewRateLimiter(badRowLogInterval, badRowLogBurst),
		watchConfiguration: watch.New(rand.Float64()), watchTargets: watch.New(rand.Float64()),
	}
	s.targets.Store((&routing.TargetSet{}).BuildIndex())
	wait, now := o.Start.Wait(rand.Float64()), o.Clock.Now()
	s.watchConfiguration.DelayFirstPoll(now, wait)
	s.watchTargets.DelayFirstPoll(now, wait)
	return s
}

// Start starts the goroutines; they end with the tomb.
func (s *Service) Start() {
	s.t.Go(s.followConfiguration)
	s.t.Go(s.followTargets)
	s.t.Go(s.followPeers)
}

// Index returns the configuration in force, or nil where none is known.
func (s *Service) Index() *routing.Index { return s.index.Load() }

// Targets returns the targets as they are known.
func (s *Service) Targets() *routing.TargetSet { return s.targets.Load() }

// CallCounts returns how many calls went to the source, and how many to peers.
func (s *Service) CallCounts() (source, peers uint64) { return s.calls.Load(), s.fetches.Load() }

func (s *Service) followConfiguration() error {
	s.follow("configuration", s.watchConfiguration, func(ctx context.Context, all bool, since routing.Revision) (answer, error) {
		if all {
			news, err := s.opts.Source.Operator(ctx)
			return answer{news.Stamp, func() {
				s.changeHalls(fromStore, func(now time.Time) []HallChange { return s.halls.replace(now, news.Halls, news.Revision) })
				s.adopt(news.Configuration, fromStore)
			}}, err
		}
		news, err := s.opts.Source.WatchOperator(ctx, since, watch.LongPollTimeout)
		return answer{news.Stamp, func() {
			s.changeHalls(fromStore, func(time.Time) []HallChange { return s.halls.apply(news.Halls) })
			s.adopt(news.Configuration, fromStore)
		}}, err
	})
	return nil
}

func (s *Service) followTargets() error {
	s.follow("targets", s.watchTargets, func(ctx context.Context, all bool, since routing.Revision) (answer, error) {
		if all {
			news, err := s.opts.Source.Targets(ctx)
			return answer{news.Stamp, func() {
				s.applyTargets(func(now time.Time) bool {
					s.enterEra(now, news.Revision, fromStore)
					return s.table.replaceFromStore(s.table.toLocalTargets(now, news.Targets), news.Revision)
				})
			}}, err
		}
		news, err := s.opts.Source.WatchTargets(ctx, since, watch.LongPollTimeout)
		return answer{news.Stamp, func() {
			s.applyTargets(func(now time.Time) bool { return s.table.apply(s.table.toLocalChanges(now, news.Changes)) })
		}}, err
	})
	return nil
}

// answer is one of the store, and what it changes here.
type answer struct {
	Stamp
	apply func()
}

// follow asks the store whenever that is due; step reads all, or waits for what
// comes after a revision. The revision of an empty store is 0.
func (s *Service) follow(what string, w *watch.Watch, step func(ctx context.Context, all bool, since routing.Revision) (answer, error)) {
	ctx := s.t.Context(context.Background())
	all, since, pause, lost := true, routing.Revision(0), time.Duration(0), false
	for {
		why, alive := s.awaitDue(w)
		if !alive {
			return
		}
		began := s.opts.Clock.Now()
		s.countCall(what, why)
		news, err := step(ctx, all, since)
		if err == nil {
			err = s.checkEra(news.Revision, since, all)
		}
		switch {
		case err == nil:
			news.apply()
			s.callSucceeded(w, began, news.AsOf)
			all, since, pause = false, news.Revision, 0
			if lost {
				lost = false
				s.log.Info("Store regained.", "what", what, "revision", news.Revision)
			}
			continue
		case IsErrHistoryGone(err) || errors.Is(err, errNewEra):
			s.log.Info("History gone, reading all.", "what", what, "since", since, "reason", err)
			all = true
			s.markGap(w)
			continue
		case !s.t.Alive():
			return
		}
		if !lost {
			lost = true
			s.log.Warn("Store lost.", "what", what, "reason", err)
		}
		first, most := watch.BackoffRange(s.opts.Fleet())
		pause = min(max(2*pause, first), most)
		if !s.sleep(pause/2 + rand.N(pause)) {
			return
		}
	}
}

func (s *Service) countCall(what string, why watch.Reason) {
	s.calls.Add(1)
	s.counters.GetOrCreateCounter(fmt.Sprintf("madderway_gateway_store_reads_total{table=%q,reason=%q}", what, why)).Inc()
}

// WriteMetrics writes the calls of the store by table and reason.
func (s *Service) WriteMetrics(w io.Writer) { s.counters.WritePrometheus(w) }

// awaitDue waits until the store is to be asked and returns why, and reports false
// where the service ends.
func (s *Service) awaitDue(w *watch.Watch) (why watch.Reason, alive bool) {
	for s.t.Alive() {
		preferred, members := s.opts.Fleet()
		now := s.opts.Clock.Now()
		s.mu.Lock()
		wait := w.UntilDue(now, preferred, members)
		why := w.PollReason(preferred)
		if wait == 0 {
			w.PollStarted(now)
		}
		s.mu.Unlock()
		if wait == 0 {
			return why, true
		}
		if !s.sleep(min(max(wait, minRecheck), maxRecheck)) {
			return why, false
		}
	}
	return "", false
}

func (s *Service) sleep(d time.Duration) bool {
	select {
	case <-s.t.Dying():
		return false
	case <-s.opts.Clock.After(d):
		return true
	}
}

// callSucceeded takes that the store has callSucceeded a call that began then. Its clock tells when, also
// where the answer lay in a buffer while this process stood still.
func (s *Service) callSucceeded(w *watch.Watch, began time.Time, asOf watch.StoreTime) {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeStoreClock(now, watch.Direct(asOf))
	at, known := s.storeClock.ToLocal(asOf)
	if !known {
		at = answeredAt(began, now)
	}
	w.PollSucceeded(at)
}

// observeStoreClock takes a reading of the store's clock; mu is held.
func (s *Service) observeStoreClock(now time.Time, reading watch.Reading) {
	if earlier := s.storeClock.Observe(now, reading); earlier > 0 {
		s.watchConfiguration.ShiftBack(earlier)
		s.watchTargets.ShiftBack(earlier)
	}
}

func (s *Service) markGap(w *watch.Watch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.MarkGap()
}

// adopt puts a configuration in force unless it is older than the present one.
func (s *Service) adopt(c *routing.Configuration, from string) {
	if c == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if x := s.index.Load(); x != nil && c.Version <= x.Configuration.Version {
		return
	}
	s.index.Store(routing.NewIndex(c))
	s.log.Info("Configuration in force.", "version", c.Version, "from", from, "routes", len(c.Routes), "accounts", len(c.Accounts))
	s.opts.OnChange()
}

func (s *Service) applyTargets(apply func(now time.Time) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if apply(s.opts.Clock.Now()) {
		s.publish(fromStore)
	}
}

// publish makes the known targets visible; mu is held.
func (s *Service) publish(from string) {
	for _, life := range s.table.takeRestarts() {
		s.log.Info("Target started again.", "target", life.Name, "born", life.Born, "after", life.Previous, "from", from)
	}
	listed, leaving := s.table.targetSet()
	now := s.opts.Clock.Now()
	set, wait := s.held.hold(now, s.watchTargets.Unsettled(now), s.targets.Load(), listed)
	evacuated := s.markEvacuated(set)
	told, digest := s.markLeaving(set)
	s.leavingDigest = digest
	s.targets.Store(set)
	s.log.Info("Targets changed.", "revision", set.Revision, "from", from, "targets", len(listed.Targets), "leaving", leaving, "leaving_told", told, "held", len(set.Targets)-len(listed.Targets), "evacuated", evacuated)
	if wait > 0 {
		s.schedulePublish(wait)
	}
	s.opts.OnChange()
}

// schedulePublish gives held targets up when their time is over; mu is held.
func (s *Service) schedulePublish(wait time.Duration) {
	if s.publishScheduled {
		return
	}
	s.publishScheduled = true
	s.t.Go(func() error {
		if s.sleep(wait) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.publishScheduled = false
			s.publish(fromTargetHold)
		}
		return nil
	})
}

// answeredAt returns a time at which what the store has answered was all there was.
func answeredAt(began, now time.Time) time.Time {
	at := now.Add(-assumedAnswerAge)
	if at.Before(began) || now.Sub(began) > maxCallTime {
		return began
	}
	return at
}

// FreshSince tells whether the configuration and the targets that are known here are those
// of a later time.
func (s *Service) FreshSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchConfiguration.FreshSince(t) && s.watchTargets.FreshSince(t)
}
