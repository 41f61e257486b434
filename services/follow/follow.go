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
	// minRecheck and maxRecheck bound the wait until a gateway checks again whether to poll the
	// store. Updates from peers only postpone the poll, but the set of watchers changes with the
	// members.
	minRecheck = 20 * time.Millisecond
	maxRecheck = 500 * time.Millisecond
	// Origins of a change in log lines.
	fromStore      = "store"
	fromTargetHold = "the end of a hold"
	// assumedAnswerAge is the age of an answer of the store on arrival if the store's clock is
	// unknown. A long poll reports the state at the end of its wait.
	assumedAnswerAge = 200 * time.Millisecond
	// maxCallTime is the longest duration of a long poll, with room for a slow store. After a
	// longer one this process was suspended, and the answer may be as old as the call.
	maxCallTime = watch.LongPollTimeout + time.Second
)

// Options configure a Service.
type Options struct {
	Source Source
	Peers  Peers
	Clock  clock.Clock
	// Fleet returns whether this gateway is one of the watchers, which poll all the time, and
	// the number of gateways.
	Fleet func() (watcher bool, members int)
	// Seed is set if other gateways join through this one; its first poll does not wait for peers
	// to send a copy.
	Seed bool
	// LeavingTargets is the set of targets that announced that they leave; optional.
	LeavingTargets LeavingTargets
	// OnNewEra is called after the store was restored from an older copy and may lack what this
	// process has written; optional.
	OnNewEra func()
	// OnGap is called with a reason if targets may have been listed and removed unnoticed before a
	// revision, with the lock held; optional.
	OnGap func(reason string, before routing.Revision)
	// OnChange is called after each change of the configuration or the targets, with the lock
	// held: it must not call methods that lock, such as Versions.
	OnChange func()
}

// Service follows the configuration, the evacuations and the targets.
type Service struct {
	t    *tomb.Tomb
	log  log.Logger
	opts Options

	mu                 sync.Mutex // held during changes
	table              *targetTable
	halls              *hallTable
	held               *heldTargets
	leavingDigest      uint64    // of the listed targets that leave
	newerTargetsAt     time.Time // when a peer last announced a newer list
	releaseScheduled   bool      // a goroutine waits for the end of an evacuation's hold
	publishScheduled   bool      // a goroutine waits for the end of a target's hold
	watchConfiguration *watch.Watch
	watchTargets       *watch.Watch
	storeClock         watch.StoreClock
	era                uint64 // newest known era of the store
	index              atomic.Pointer[routing.Index]
	targets            atomic.Pointer[routing.TargetSet]

	peerReports chan peerReport
	packCache   packCache

	confirmations confirmations
	lastConfirm   time.Time // used by the goroutine that confirms
	fetches       atomic.Uint64
	counters      *metrics.Set
	badRowLog     *log.RateLimiter
	calls         atomic.Uint64
}

// New returns a service; call Start to run it.
func New(t *tomb.Tomb, logger log.Logger, o Options) *Service {
	if o.LeavingTargets == nil {
		o.LeavingTargets = noLeavers{}
	}
	s := &Service{
		t: t, log: logger, opts: o, table: newTargetTable(), halls: newHallTable(), held: newHeldTargets(), peerReports: make(chan peerReport, peerQueueSize), counters: metrics.NewSet(), badRowLog: log.NewRateLimiter(badRowLogInterval, badRowLogBurst),
		watchConfiguration: watch.New(rand.Float64()), watchTargets: watch.New(rand.Float64()),
	}
	s.confirmations.pause = s.pauseConfirmations
	s.targets.Store(routing.NewTargetSet(0))
	wait, now := watch.StartWait(o.Seed, rand.Float64()), o.Clock.Now()
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

// Index returns the current configuration, nil before the first.
func (s *Service) Index() *routing.Index { return s.index.Load() }

// Targets returns the current targets. The set must not be modified.
func (s *Service) Targets() *routing.TargetSet { return s.targets.Load() }

// CallCounts returns the number of calls to the source and to peers.
func (s *Service) CallCounts() (source, peers uint64) { return s.calls.Load(), s.fetches.Load() }

func (s *Service) followConfiguration() error {
	s.follow("configuration", s.watchConfiguration, func(ctx context.Context, all bool, since routing.Revision) (answer, error) {
		if all {
			update, err := s.opts.Source.Operator(ctx)
			return answer{update.Stamp, func() {
				s.changeHalls(fromStore, func(now time.Time) []HallChange { return s.halls.replace(now, update.Halls, update.Revision) })
				s.adopt(update.Configuration, fromStore)
			}}, err
		}
		update, err := s.opts.Source.WatchOperator(ctx, since, watch.LongPollTimeout)
		return answer{update.Stamp, func() {
			s.changeHalls(fromStore, func(time.Time) []HallChange { return s.halls.apply(update.Halls) })
			s.adopt(update.Configuration, fromStore)
		}}, err
	})
	return nil
}

func (s *Service) followTargets() error {
	s.follow("targets", s.watchTargets, func(ctx context.Context, all bool, since routing.Revision) (answer, error) {
		if all {
			asked := s.opts.Clock.Now()
			update, err := s.opts.Source.Targets(ctx)
			return answer{update.Stamp, func() { s.replaceTargets(update, asked) }}, err
		}
		update, err := s.opts.Source.WatchTargets(ctx, since, watch.LongPollTimeout)
		return answer{update.Stamp, func() { s.applyTargetChanges(update) }}, err
	})
	return nil
}

// replaceTargets takes a whole list of the store, which was asked at a time.
func (s *Service) replaceTargets(update TargetUpdate, asked time.Time) {
	s.applyTargets(update.Revision, func(now time.Time) bool {
		s.log.Info("List of targets read.", "revision", update.Revision, "known_revision", s.table.revision, "targets", len(update.Targets), "call_took", now.Sub(asked), "ignored_as_older", s.table.isOlder(update.Revision))
		s.enterEra(now, update.Revision, fromStore)
		return s.table.replaceFromStore(s.table.toLocalTargets(now, update.Targets), update.Revision)
	})
}

// applyTargetChanges takes changes of the list from the store.
func (s *Service) applyTargetChanges(update TargetUpdate) {
	s.applyTargets(update.Revision, func(now time.Time) bool {
		return s.table.apply(s.table.toLocalChanges(now, update.Changes))
	})
}

// answer is an answer of the store and the function that applies it.
type answer struct {
	Stamp
	apply func()
}

// follow polls the store whenever a poll is due. step reads everything if all is set, and
// otherwise waits for changes after a revision. The revision of an empty store is 0.
func (s *Service) follow(table string, w *watch.Watch, step func(ctx context.Context, all bool, since routing.Revision) (answer, error)) {
	ctx := s.t.Context(context.Background())
	all, since, backoff, failing := true, routing.Revision(0), time.Duration(0), false
	for {
		reason, alive := s.awaitDue(w)
		if !alive {
			return
		}
		began := s.opts.Clock.Now()
		s.countCall(table, reason)
		ans, err := step(ctx, all, since)
		if err == nil {
			err = s.checkEra(ans.Revision, since, all)
		}
		switch {
		case err == nil:
			ans.apply()
			s.callSucceeded(w, began, ans.AsOf)
			all, since, backoff = false, ans.Revision, 0
			if failing {
				failing = false
				s.log.Info("Store calls succeed again.", "table", table, "revision", ans.Revision)
			}
			continue
		case IsErrHistoryGone(err) || errors.Is(err, errNewEra):
			s.log.Info("Store history is gone, reading everything.", "table", table, "since", since, "reason", err)
			all = true
			s.markGap(w)
			continue
		case !s.t.Alive():
			return
		}
		if !failing {
			failing = true
			s.log.Warn("Store call failed.", "table", table, "error", err)
		}
		first, longest := watch.BackoffRange(s.opts.Fleet())
		backoff = min(max(2*backoff, first), longest)
		if !s.sleep(backoff/2 + rand.N(backoff)) {
			return
		}
	}
}

func (s *Service) countCall(table string, reason watch.Reason) {
	s.calls.Add(1)
	s.counters.GetOrCreateCounter(fmt.Sprintf("madderway_gateway_store_reads_total{table=%q,reason=%q}", table, reason)).Inc()
}

// WriteMetrics writes the service's counters in Prometheus format.
func (s *Service) WriteMetrics(w io.Writer) { s.counters.WritePrometheus(w) }

// awaitDue waits until a poll is due and returns its reason, or false if the service ends.
func (s *Service) awaitDue(w *watch.Watch) (reason watch.Reason, alive bool) {
	for s.t.Alive() {
		watcher, members := s.opts.Fleet()
		now := s.opts.Clock.Now()
		s.mu.Lock()
		wait := w.UntilDue(now, watcher, members)
		reason := w.PollReason(watcher)
		if wait == 0 {
			w.PollStarted(now)
		}
		s.mu.Unlock()
		if wait == 0 {
			return reason, true
		}
		if !s.sleep(min(max(wait, minRecheck), maxRecheck)) {
			return reason, false
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

// callSucceeded records a successful call that began at the given time. The store's clock, if
// known, dates the answer even if it lay in a buffer while this process was suspended.
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

// observeStoreClock records a reading of the store's clock; the caller holds mu.
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

// adopt activates a configuration unless it is older than the current one.
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
	s.log.Info("Configuration activated.", "version", c.Version, "from", from, "routes", len(c.Routes), "accounts", len(c.Accounts))
	s.opts.OnChange()
}

// applyTargets applies an answer of the store, after which the list is complete as of a revision.
func (s *Service) applyTargets(revision routing.Revision, apply func(now time.Time) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := apply(s.opts.Clock.Now())
	s.table.complete = max(s.table.complete, revision)
	s.reportGap()
	if changed {
		s.publish(fromStore)
	}
}

// publish updates the target set that Targets returns; the caller holds mu.
func (s *Service) publish(from string) {
	for _, r := range s.table.takeRestarts() {
		s.log.Info("Target restarted.", "target", r.Name, "born", r.Born, "previous", r.Previous, "from", from)
	}
	listed, leaving := s.table.targetSet()
	now, before := s.opts.Clock.Now(), s.targets.Load()
	set, wait := s.held.hold(now, s.watchTargets.UnsettledUntil(now), before, listed)
	heldCount := set.Len() - listed.Len()
	set, evacuated := s.markEvacuated(set, before)
	set, announced, digest := s.markLeaving(set, before)
	s.leavingDigest = digest
	s.targets.Store(set)
	s.log.Info("Targets changed.", "revision", set.Revision, "from", from, "targets", listed.Len(), "leaving", leaving, "leaving_announced", announced, "held", heldCount, "evacuated", evacuated)
	if wait > 0 {
		s.schedulePublish(wait)
	}
	s.opts.OnChange()
}

// schedulePublish starts a goroutine that drops held targets when they are due; the caller
// holds mu.
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

// answeredAt estimates the time at which an answer of the store was complete, from the start and
// the end of the call.
func answeredAt(began, now time.Time) time.Time {
	at := now.Add(-assumedAnswerAge)
	if at.Before(began) || now.Sub(began) > maxCallTime {
		return began
	}
	return at
}

// TargetsFreshAt returns the latest time at which the local targets were complete, zero if never.
// behind reports that a peer has announced a newer list since then.
func (s *Service) TargetsFreshAt() (at time.Time, behind bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at = s.watchTargets.FreshAt()
	return at, at.Before(s.newerTargetsAt)
}

// FreshSince reports whether the local configuration and targets were both complete at some time
// after t.
func (s *Service) FreshSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchConfiguration.FreshSince(t) && s.watchTargets.FreshSince(t)
}
