// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package discover lets gateways find each other where their seeds are down. A few
// of them keep their addresses in a register, and a gateway that knows no other one
// reads it: after the loss of all machines the seeds may be the last to come back,
// and gateways that do not know each other all schedule the same targets.
package discover

import (
	"context"
	"time"

	"gopkg.in/tomb.v2"

	"madderway/modules/clock"
	"madderway/modules/log"
)

const (
	// Registrars is how many gateways keep their address in the register: enough
	// that one of them is back early after the loss of all.
	Registrars = 8
	// maxEntries is the size of the register from which entries of gateways that
	// nobody knows any more are dropped.
	maxEntries = 3 * Registrars
	// firstReadDelay is how long a gateway that has just started waits for its seeds;
	// they answer within some milliseconds where they are up. emptyAfter is the same
	// where nobody can be registered yet: all start within some hundred milliseconds.
	firstReadDelay = 30 * time.Millisecond
	emptyReadDelay = 2 * time.Second
	// minBackoff and againMax bound how often the register is read while nobody is
	// found; each read is a call of the store.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 5 * time.Second
	// checkInterval is how often it is looked whether this gateway should register.
	checkInterval = 2 * time.Second
	callTimeout   = time.Second
)

// Entry is one gateway of the register.
type Entry struct {
	ID      string
	Address string // Address is where other gateways reach it.
}

// Registry keeps the addresses of some gateways.
type Registry interface {
	Entries(ctx context.Context) ([]Entry, error)
	// Put writes one entry and takes others out.
	Put(ctx context.Context, e Entry, drop []string) error
}

// Peers is what is known of the other gateways.
type Peers interface {
	// Alone tells whether no other gateway is known.
	Alone() bool
	// Registrar tells whether this gateway is one of those that register.
	Registrar() bool
	// IsMember tells whether a gateway is a member.
	IsMember(id string) bool
	// Greet greets gateways at these addresses.
	Greet(addresses []string)
}

// Options are the parts of a Service.
type Options struct {
	Self     Entry
	Registry Registry
	Peers    Peers
	Clock    clock.Clock
	// Era returns how often the store has come back from an older copy, without what was
	// registered since that was made.
	Era func() uint64
	// EmptyRegistry tells that nobody can be registered yet: the whole fleet starts for the
	// first time.
	EmptyRegistry bool
}

// Service reads the register while this gateway is alone, and registers it where
// it is one of the few that do.
type Service struct {
	t          *tomb.Tomb
	log        log.Logger
	opts       Options
	registered bool
	era        uint64        // era is that in which this gateway looked whether it is registered.
	backoff    time.Duration // again is the time until the register is read once more.
}

// Start starts the service; it ends with the tomb.
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

// check does what is to be done now and returns when to check again.
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

// greetRegistered greets the gateways of the register.
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
	s.log.Info("No other gateway known, calling those of the register.", "entries", len(entries))
	s.opts.Peers.Greet(addresses)
}

// register writes this gateway's entry unless it is there. Where it fails, it is
// tried again at the next look.
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
		s.log.Warn("Not registered, will try again.", "error", err)
		return
	}
	s.registered = true
	s.log.Info("Registered.", "entries", len(entries)+1-len(drop), "dropped", len(drop))
}

// nonMembers returns the entries that no longer belong to members, once the register
// has grown large.
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
		s.log.Warn("The register cannot be read.", "error", err)
		return nil, false
	}
	return entries, true
}
