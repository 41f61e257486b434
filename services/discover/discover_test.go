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

// fleet is a registry and the peers of one gateway.
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

// Guards against a gateway that stays alone while its seeds are down, and against constant reads
// of the registry.
func TestLoneGatewayGreetsRegistered(t *testing.T) {
	f := &fleet{alone: true, entries: map[string]string{"g1": "127.0.0.1:1", "g2": "127.0.0.1:2"}}
	s := newTestService(f)
	last := minBackoff / 2
	for range 8 {
		wait := s.check()
		if wait < last || wait > maxBackoff {
			t.Errorf("next check after %v, previous one after %v, want growing waits", wait, last)
		}
		last = wait
	}
	if last != maxBackoff || f.puts != 0 {
		t.Errorf("last wait %v and %d writes, want maxBackoff and none", last, f.puts)
	}
	if len(f.greeted) != 8 || f.greeted[0] != "127.0.0.1:2" {
		t.Errorf("greeted %v, want the other gateway at each check", f.greeted)
	}
}

// Guards against reads of an empty registry while the seeds start.
func TestEmptyRegistryReadIsDelayed(t *testing.T) {
	s := newTestService(&fleet{alone: true})
	if got := s.firstDelay(); got != firstReadDelay {
		t.Errorf("first check after %v, want firstReadDelay", got)
	}
	s.opts.EmptyRegistry = true
	if got := s.firstDelay(); got != emptyReadDelay {
		t.Errorf("first check after %v while the registry is empty, want emptyReadDelay", got)
	}
}

// Guards against needless calls of the store: a registrar writes its entry only if it is
// missing, and other gateways with peers read nothing.
func TestRegistersOnce(t *testing.T) {
	f := &fleet{}
	s := newTestService(f)
	s.check()
	if f.reads != 0 {
		t.Error("gateway that is not a registrar reads the registry")
	}
	f.registrar, f.down = true, true
	s.check()
	f.down = false
	for range 3 {
		s.check()
	}
	if f.entries["g1"] != self.Address || f.puts != 1 || f.reads != 2 {
		t.Errorf("got %+v, want one entry, one write and two reads", f)
	}
	restarted := newTestService(f)
	restarted.check()
	restarted.check()
	if f.puts != 1 || f.reads != 3 {
		t.Errorf("got %+v after a restart, want one write and three reads", f)
	}
}

// Guards against a registry that grows without bound.
func TestNonMemberEntriesAreDropped(t *testing.T) {
	f := &fleet{registrar: true, entries: map[string]string{}, members: []string{"old-3"}}
	for i := range maxEntries {
		f.entries[fmt.Sprint("old-", i)] = "127.0.0.1:9"
	}
	newTestService(f).check()
	if len(f.entries) != 2 || f.entries["old-3"] == "" || f.entries["g1"] == "" {
		t.Errorf("entries %v, want only old-3 and g1", f.entries)
	}
}

// Guards against an entry that stays missing after the store was restored from an older copy.
func TestEntryIsRewrittenInNewEra(t *testing.T) {
	f := &fleet{registrar: true}
	s := newTestService(f)
	era := uint64(1)
	s.opts.Era = func() uint64 { return era }
	s.check()
	s.check()
	if f.puts != 1 {
		t.Fatalf("%d writes before the restore, want 1", f.puts)
	}
	era, f.entries = 2, map[string]string{}
	s.check()
	if f.puts != 2 || f.entries["g1"] == "" {
		t.Errorf("%d writes, entries %v, want 2 writes and the entry of g1", f.puts, f.entries)
	}
	era = 3
	s.check()
	if f.puts != 2 {
		t.Errorf("%d writes though the entry exists, want 2", f.puts)
	}
}
