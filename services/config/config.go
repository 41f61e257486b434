// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package config keeps a router's configuration up to date. It follows the head row of the
// platform's table and the versions of peers, fetches documents in chunks named by their hash,
// and handles submissions by operators. Readers get immutable snapshots.
package config

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"madderway/core/head"
	"madderway/models/conf"
	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/modules/ring"
	"madderway/services/platform"
)

// PeerAnswer is a peer's answer to Notify: its current version and whether it admits requests.
type PeerAnswer struct {
	Version   uint64
	Admitting bool
}

// MemberInfo describes another router.
type MemberInfo struct {
	ID   string
	Dead bool
}

// Peers communicates with the other routers.
type Peers interface {
	// FetchChunk fetches a chunk from a peer.
	FetchChunk(ctx context.Context, peer, hash string) ([]byte, error)
	// Notify announces a version to a peer and waits until the peer has activated it.
	Notify(ctx context.Context, peer string, v head.Version, wait time.Duration) (PeerAnswer, error)
	// Members returns all other routers.
	Members() []MemberInfo
}

// Options configure a Service.
type Options struct {
	Clock     clock.Clock
	Table     platform.Table
	Objects   platform.Objects
	Peers     Peers
	Isolation time.Duration // a router that reaches neither store nor peers for this long stops admitting
	PollHead  time.Duration
	Timeout   time.Duration   // of a read of the head row and of the fetch of a document
	OnAdopt   func(*Snapshot) // called with each activated version, with the lock held
}

// Service follows and changes the configuration of one router.
type Service struct {
	t              *tomb.Tomb
	log            log.Logger
	opts           Options
	source         *source
	events         *ring.Ring[head.FollowEvent]
	snapshot       atomic.Pointer[Snapshot]
	currentVersion atomic.Pointer[head.Version]

	mu        sync.Mutex
	follower  *head.Follower
	adopted   chan struct{} // closed and replaced at each activation
	deadSince map[string]time.Time
}

// New starts a service; it ends with the tomb.
func New(t *tomb.Tomb, logger log.Logger, o Options) *Service {
	s := &Service{
		t: t, log: logger, opts: o,
		source:    &source{newChunkCache(), o.Objects, o.Peers},
		events:    ring.New[head.FollowEvent]("configuration", 1024),
		follower:  head.NewFollower(o.Clock.Now(), o.Isolation),
		adopted:   make(chan struct{}),
		deadSince: map[string]time.Time{},
	}
	s.currentVersion.Store(&head.Version{})
	t.Go(s.pollHead)
	t.Go(s.follow)
	return s
}

// Snapshot returns the current configuration, nil before the first.
func (s *Service) Snapshot() *Snapshot { return s.snapshot.Load() }

// InForce returns the current version. It takes no lock, because the control loop calls it for
// each heartbeat.
func (s *Service) InForce() head.Version { return *s.currentVersion.Load() }

// Wanted returns the highest known version.
func (s *Service) Wanted() head.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower.Wanted()
}

// Admits reports whether requests may be admitted.
func (s *Service) Admits() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower.Admits(s.opts.Clock.Now())
}

// PeerVersion records the current version of a peer. It never blocks.
func (s *Service) PeerVersion(peer string, v head.Version) {
	s.events.TryPut(head.PeerVersionSeen{Peer: peer, Version: v})
}

// Ring returns the state of the event queue.
func (s *Service) Ring() ring.State { return s.events.State() }

func (s *Service) pollHead() error {
	for {
		s.readHead()
		select {
		case <-s.t.Dying():
			return nil
		case <-s.opts.Clock.After(s.opts.PollHead):
		}
	}
}

func (s *Service) readHead() {
	ctx, cancel := context.WithTimeout(s.t.Context(context.Background()), s.opts.Timeout)
	defer cancel()
	row, err := s.opts.Table.Get(ctx, headKey)
	if err != nil {
		s.log.Debug("Could not read the head row.", "error", err)
		s.events.TryPut(head.FollowTick{})
		return
	}
	if row.Version == 0 {
		s.events.TryPut(head.HeadSeen{})
		return
	}
	var h head.Row
	if err := json.Unmarshal(row.Value, &h); err != nil {
		s.log.Error(err, "Could not decode the head row.")
		return
	}
	s.events.TryPut(head.HeadSeen{Version: head.Version{Number: h.Version, Hash: h.Hash}, Exists: true})
}

func (s *Service) follow() error {
	for {
		select {
		case <-s.t.Dying():
			return nil
		case ev := <-s.events.Out():
			s.step(ev)
		}
	}
}

func (s *Service) step(ev head.FollowEvent) {
	s.mu.Lock()
	now := s.opts.Clock.Now()
	s.trackDead(now)
	actions := s.follower.Step(now, ev)
	s.mu.Unlock()
	for _, a := range actions {
		if f, ok := a.(head.Fetch); ok {
			s.t.Go(func() error {
				s.load(f)
				return nil
			})
		}
	}
}

func (s *Service) load(f head.Fetch) {
	ctx, cancel := context.WithTimeout(s.t.Context(context.Background()), s.opts.Timeout)
	defer cancel()
	d, m, err := s.source.document(ctx, f.Version.Hash, f.Peers)
	if err != nil {
		s.log.Warn("Could not fetch a configuration.", "version", f.Version.Number, "error", err)
		s.events.TryPut(head.LoadFailed{Version: f.Version})
		return
	}
	snapshot, err := newSnapshot(f.Version.Number, f.Version.Hash, d)
	if err != nil {
		s.log.Error(err, "Accepted configuration is invalid on this router.", "version", f.Version.Number)
		s.events.TryPut(head.LoadFailed{Version: f.Version})
		return
	}
	s.adopt(f.Version, snapshot, m)
}

func (s *Service) adopt(v head.Version, snapshot *Snapshot, m conf.Manifest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.follower.Step(s.opts.Clock.Now(), head.Loaded{Version: v}) {
		if _, ok := a.(head.Adopt); !ok {
			continue
		}
		s.snapshot.Store(snapshot)
		s.currentVersion.Store(&v)
		s.source.cache.retain(v.Hash, m)
		s.opts.OnAdopt(snapshot)
		close(s.adopted)
		s.adopted = make(chan struct{})
		s.log.Info("Configuration activated.", "version", v.Number, "hash", v.Hash[:12])
	}
}

// trackDead records since when members are dead; the caller holds mu.
func (s *Service) trackDead(now time.Time) {
	dead := map[string]bool{}
	for _, m := range s.opts.Peers.Members() {
		if !m.Dead {
			continue
		}
		dead[m.ID] = true
		if _, ok := s.deadSince[m.ID]; !ok {
			s.deadSince[m.ID] = now
		}
	}
	for id := range s.deadSince {
		if !dead[id] {
			delete(s.deadSince, id)
		}
	}
}

// Await waits until the current version is at least the given one or the context ends, and
// returns the current version.
func (s *Service) Await(ctx context.Context, version uint64) uint64 {
	for {
		s.mu.Lock()
		current, adopted := s.follower.Version().Number, s.adopted
		s.mu.Unlock()
		if current >= version {
			return current
		}
		select {
		case <-ctx.Done():
			return current
		case <-s.t.Dying():
			return current
		case <-adopted:
		}
	}
}

// HandleNotify records a version that a peer announced as accepted.
func (s *Service) HandleNotify(peer string, v head.Version) {
	s.events.Put(s.t.Dying(), head.PeerVersionSeen{Peer: peer, Version: v})
}

// Chunk returns a chunk from the cache.
func (s *Service) Chunk(hash string) ([]byte, bool) { return s.source.cache.get(hash) }
