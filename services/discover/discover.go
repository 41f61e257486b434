// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package discover lets gateways find each other while their seeds are down. Registrars keep
// their addresses in a registry in the platform's store, and a gateway that knows no other one
// reads it. Gateways that do not find each other would all schedule the same targets.
package discover

import (
	"context"
	"time"

	"gopkg.in/tomb.v2"

	"madderway/modules/clock"
	"madderway/modules/log"
)

const (
	// Registrars is the number of gateways in the registry, enough for one of them to be back
	// early after the loss of all.
	Registrars = 8
	// maxEntries is the size of the registry from which entries of non-members are dropped.
	maxEntries = 3 * Registrars
	// firstReadDelay is the time that a starting gateway waits for its seeds, which answer
	// within milliseconds, before it reads the registry. emptyReadDelay applies while the
	// registry may be empty, since the whole fleet starts.
	firstReadDelay = 30 * time.Millisecond
	emptyReadDelay = 2 * time.Second
	// minBackoff and maxBackoff bound the time between reads of the registry while no other
	// gateway is found.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 5 * time.Second
	// checkInterval is the time between checks of whether this gateway must register.
	checkInterval = 2 * time.Second
	callTimeout   = time.Second
)

// Entry is a registered gateway.
type Entry struct {
	ID      string
	Address string // for connections of other gateways
}

// Registry stores the addresses of some gateways.
type Registry interface {
	Entries(ctx context.Context) ([]Entry, error)
	// Put writes one entry and deletes those with the IDs in drop.
	Put(ctx context.Context, e Entry, drop []string) error
}

// Peers describes the other gateways.
type Peers interface {
	// Alone reports whether no other gateway is known.
	Alone() bool
	// Registrar reports whether this gateway is one of the registrars.
	Registrar() bool
	// IsMember reports whether a gateway is a member.
	IsMember(id string) bool
	// Greet contacts the gateways at these addresses.
	Greet(addresses []string)
}

// Options configure the service.
type Options struct {
	Self     Entry
	Registry Registry
	Peers    Peers
	Clock    clock.Clock
	// Era returns the number of times the store was restored from an older copy, which may lack
	// this gateway's entry; optional.
	Era func() uint64
	// EmptyRegistry is set if the whole fleet starts for the first time.
	EmptyRegistry bool
}

// Service reads the registry while this gateway knows no other one, and registers this gateway
// if it is a registrar.
type Service struct {
	t          *tomb.Tomb
	log        log.Logger
	opts       Options
	registered bool
	era        uint64        // era in which registered was determined
	backoff    time.Duration // until the next read of the registry
}

// Start starts a service; it ends with the tomb.
func Start(t *tomb.Tomb, logger log.Logger, o Options) {
	s := newService(t, logger, o)
	t.Go(s.run)
}

func newService(t *tomb.Tomb, logger log.Logger, o Options) *Service {
	if o.Era == nil {
		o.Era = func() uint64 { return 0 }
	}
	return &Service{t: t, log: logger, opts: o, backoff: minBackoff}
}

func (s *Service) run() error {
	wait := s.firstDelay()
	for {
		select {
		case <-s.t.Dying():
			return nil
		case <-s.opts.Clock.After(wait):
			wait = s.check()
		}
	}
}

func (s *Service) firstDelay() time.Duration {
	if s.opts.EmptyRegistry {
		return emptyReadDelay
	}
	return firstReadDelay
}

// check performs the step that is due and returns the time until the next one.
func (s *Service) check() time.Duration {
	if s.opts.Peers.Alone() {
		s.greetRegistered()
		wait := s.backoff
		s.backoff = min(2*s.backoff, maxBackoff)
		return wait
	}
	s.backoff = minBackoff
	if era := s.opts.Era(); era != s.era {
		s.era, s.registered = era, false
	}
	if !s.registered && s.opts.Peers.Registrar() {
		s.register()
	}
	return checkInterval
}

// greetRegistered greets all registered gateways.
func (s *Service) greetRegistered() {
	entries, ok := s.entries()
	if !ok {
		return
	}
	var addresses []string
	for _, e := range entries {
		if e.ID != s.opts.Self.ID {
			addresses = append(addresses, e.Address)
		}
	}
	s.log.Info("No other gateway known, greeting the registered ones.", "entries", len(entries))
	s.opts.Peers.Greet(addresses)
}

// register writes this gateway's entry unless it exists. A failure is retried at the next
// check.
func (s *Service) register() {
	entries, ok := s.entries()
	if !ok {
		return
	}
	for _, e := range entries {
		if e == s.opts.Self {
			s.registered = true
			return
		}
	}
	ctx, cancel := context.WithTimeout(s.t.Context(context.Background()), callTimeout)
	defer cancel()
	drop := s.nonMembers(entries)
	if err := s.opts.Registry.Put(ctx, s.opts.Self, drop); err != nil {
		s.log.Warn("Could not register, will retry.", "error", err)
		return
	}
	s.registered = true
	s.log.Info("Registered.", "entries", len(entries)+1-len(drop), "dropped", len(drop))
}

// nonMembers returns the IDs of entries of non-members if the registry is too large.
func (s *Service) nonMembers(entries []Entry) []string {
	if len(entries) < maxEntries {
		return nil
	}
	var drop []string
	for _, e := range entries {
		if e.ID != s.opts.Self.ID && !s.opts.Peers.IsMember(e.ID) {
			drop = append(drop, e.ID)
		}
	}
	return drop
}

func (s *Service) entries() ([]Entry, bool) {
	ctx, cancel := context.WithTimeout(s.t.Context(context.Background()), callTimeout)
	defer cancel()
	entries, err := s.opts.Registry.Entries(ctx)
	if err != nil {
		s.log.Warn("Could not read the registry.", "error", err)
		return nil, false
	}
	return entries, true
}
