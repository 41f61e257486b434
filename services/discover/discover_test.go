// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package discover

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"

	"gopkg.in/tomb.v2"

	"madderway/modules/clock"
	"madderway/modules/log"
)

// fleet is a register and the peers that a gateway knows.
type fleet struct {
	entries   map[string]string
	reads     int
	puts      int
	down      bool
	alone     bool
	registrar bool
	members   []string
	greeted   []string
}

func (f *fleet) Entries(context.Context) ([]Entry, error) {
	f.reads++
	if f.down {
		return nil, errors.New("the store is down")
	}
	var out []Entry
	for id, address := range f.entries {
		out = append(out, Entry{id, address})
	}
	return out, nil
}

func (f *fleet) Put(_ context.Context, e Entry, drop []string) error {
	f.puts++
	if f.down {
		return errors.New("the store is down")
	}
	f.entries[e.ID] = e.Address
	for _, id := range drop {
		delete(f.entries, id)
	}
	return nil
}

func (f *fleet) Alone() bool              { return f.alone }
func (f *fleet) Registrar() bool          { return f.registrar }
func (f *fleet) IsMember(id string) bool  { return slices.Contains(f.members, id) }
func (f *fleet) Greet(addresses []string) { f.greeted = append(f.greeted, addresses...) }

var self = Entry{ID: "g1", Address: "127.0.0.1:1"}

func newTestService(f *fleet) *Service {
	if f.entries == nil {
		f.entries = map[string]string{}
	}
	return newService(&tomb.Tomb{}, log.New("test"), Options{Self: self, Registry: f, Peers: f, Clock: clock.NewFake()})
}

// A gateway that comes back before all its seeds finds the others through the
// register, and reads it ever less often while nobody answers.
func TestLoneGatewayGreetsRegistered(t *testing.T) {
	f := &fleet{alone: true, entries: map[string]string{"g1": "127.0.0.1:1", "g2": "127.0.0.1:2"}}
	s := newTestService(f)
	last := minBackoff / 2
	for range 8 {
		wait := s.check()
		if wait < last || wait > maxBackoff {
			t.Errorf("looks again after %v, before that after %v", wait, last)
		}
		last = wait
	}
	if last != maxBackoff || f.puts != 0 {
		t.Errorf("looks again after %v at last, %d writes", last, f.puts)
	}
	if len(f.greeted) != 8 || f.greeted[0] != "127.0.0.1:2" {
		t.Errorf("called %v, want the other gateway at each look", f.greeted)
	}
}

// Where all start for the first time the register is empty, and is not read while
// the seeds come up.
func TestEmptyRegistryReadIsDelayed(t *testing.T) {
	s := newTestService(&fleet{alone: true})
	if got := s.firstDelay(); got != firstReadDelay {
		t.Errorf("looks after %v", got)
	}
	s.opts.EmptyRegistry = true
	if got := s.firstDelay(); got != emptyReadDelay {
		t.Errorf("looks after %v where nobody can be registered", got)
	}
}

// A gateway with peers reads nothing, unless it is one of those that register:
// then it writes its entry once, and not at all where it is there.
func TestRegistersOnce(t *testing.T) {
	f := &fleet{}
	s := newTestService(f)
	s.check()
	if f.reads != 0 {
		t.Error("a gateway that does not register reads the register")
	}
	f.registrar, f.down = true, true
	s.check()
	f.down = false
	for range 3 {
		s.check()
	}
	if f.entries["g1"] != self.Address || f.puts != 1 || f.reads != 2 {
		t.Errorf("%+v", f)
	}
	again := newTestService(f)
	again.check()
	again.check()
	if f.puts != 1 || f.reads != 3 {
		t.Errorf("written again after a restart: %+v", f)
	}
}

// The register does not grow for ever: entries of gateways that nobody knows go
// once there are many.
func TestNonMemberEntriesAreDropped(t *testing.T) {
	f := &fleet{registrar: true, entries: map[string]string{}, members: []string{"old-3"}}
	for i := range maxEntries {
		f.entries[fmt.Sprint("old-", i)] = "127.0.0.1:9"
	}
	newTestService(f).check()
	if len(f.entries) != 2 || f.entries["old-3"] == "" || f.entries["g1"] == "" {
		t.Errorf("%v", f.entries)
	}
}

// A store that comes back from an older copy may lack the entry: it is written again, and left
// alone where it is there.
func TestEntryIsRewrittenInNewEra(t *testing.T) {
	f := &fleet{registrar: true}
	s := newTestService(f)
	era := uint64(1)
	s.opts.Era = func() uint64 { return era }
	s.check()
	s.check()
	if f.puts != 1 {
		t.Fatalf("written %d times", f.puts)
	}
	era, f.entries = 2, map[string]string{}
	s.check()
	if f.puts != 2 || f.entries["g1"] == "" {
		t.Errorf("written %d times, the register holds %v", f.puts, f.entries)
	}
	era = 3
	s.check()
	if f.puts != 2 {
		t.Errorf("written %d times though it was there", f.puts)
	}
}
