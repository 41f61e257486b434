// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package relay

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"

	"gopkg.in/tomb.v2"

	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/modules/peernet"
)

// versionedService returns a service whose gateway has a configuration, and the versions that other
// gateways announce.
func versionedService(t *testing.T, version uint64) (s *Service, own *atomic.Uint64, announced chan uint64) {
	t.Helper()
	own, announced = &atomic.Uint64{}, make(chan uint64, 16)
	own.Store(version)
	var owner tomb.Tomb
	s = New(&owner, log.New("relay"), Options{
		Auth: peernet.NewSharedKey("near", key), Meter: &peernet.Meter{}, Clock: clock.System{}, Version: own.Load, MaxBuffered: 8 * maxBuffered,
		OnNewerVersion: func(_ string, v uint64) { announced <- v },
	})
	t.Cleanup(func() {
		owner.Kill(nil)
		_ = owner.Wait()
	})
	return s, own, announced
}

// Guards against callers who are served by an older configuration than that of their gateway: it
// handed their requests over to a gateway that did not know the new one.
func TestRequestsAreHandedOverOnlyWithinOneConfiguration(t *testing.T) {
	s, own, announced := versionedService(t, 7)
	f := newRemoteGateway(t, "far")
	f.version.Store(6)
	s.SetPeers([]Peer{f.Peer})
	check := func(state string, want error) {
		t.Helper()
		h, caller, err := sendRequest(t, s, "/a")
		if !errors.Is(err, want) {
			t.Fatalf("%s: got error %v, want %v", state, err, want)
		}
		if err == nil {
			checkResponse(t, h, caller, "/a")
		}
	}
	check("the other gateway has an older configuration", ErrOtherConfiguration)
	if s.Available() {
		t.Error("a gateway with an older configuration counts as available")
	}
	f.version.Store(7)
	f.server.AnnounceVersion()
	for v := uint64(0); v != 7; v = <-announced {
	}
	if !s.Available() {
		t.Error("a gateway with the same configuration does not count as available")
	}
	check("both have the same configuration", nil)
	own.Store(8)
	check("this gateway has a newer configuration", ErrOtherConfiguration)
	own.Store(7)
	f.version.Store(8)
	f.server.AnnounceVersion()
	for v := uint64(0); v != 8; v = <-announced {
	}
	check("the other gateway has a newer configuration", ErrOtherConfiguration)
}

// A gateway with the same configuration is preferred to others, whatever their load.
func TestGatewayWithSameConfigurationIsChosen(t *testing.T) {
	s, _, _ := versionedService(t, 7)
	older, same := newRemoteGateway(t, "older"), newRemoteGateway(t, "same")
	older.version.Store(6)
	same.version.Store(7)
	s.SetPeers([]Peer{older.Peer})
	if _, _, err := sendRequest(t, s, "/a"); !errors.Is(err, ErrOtherConfiguration) {
		t.Fatalf("only an older configuration: got error %v, want ErrOtherConfiguration", err)
	}
	s.SetPeers([]Peer{older.Peer, same.Peer})
	for range 20 {
		h, caller, err := sendRequest(t, s, "/a")
		if err != nil || h.Peer != "same" {
			t.Fatalf("got %+v, error %v, want a hand-over to the gateway with the same configuration", h, err)
		}
		checkResponse(t, h, caller, "/a")
	}
}

// Gateways of an older release answer probes without a version and end connections with frames of an
// unknown kind.
func TestAnnouncementsAreProbesToOlderReleases(t *testing.T) {
	near, far := net.Pipe()
	s := NewServer(log.New("relay"), nil, maxRequestSize, func() uint64 { return 1<<40 + 3 })
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.HandleRelay("peer", far)
	}()
	configuration := announcedVersion{first: make(chan struct{})}
	var d decoder
	one := make([]byte, 1) // announcements arrive in parts
	for !configuration.is(1<<40 + 3) {
		if _, err := near.Read(one); err != nil {
			t.Fatal(err)
		}
		err := d.feed(one, func(f frame, piece []byte, last bool) {
			if f.kind != kindProbe || f.number != 0 {
				t.Errorf("got a frame of kind %d for request %d, want a probe", f.kind, f.number)
			}
			configuration.observe(piece, last)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	configuration.observe(nil, true) // the probe of an older release
	if !configuration.is(1<<40 + 3) {
		t.Error("a probe without a version took the announcement back")
	}
	_ = near.Close()
	<-ended
}

// Guards against a probe that is kept whole, however long it is, and taken for a version.
func TestLongProbeIsNotKept(t *testing.T) {
	a := announcedVersion{first: make(chan struct{})}
	for range 100 {
		a.observe(make([]byte, versionSize), false)
	}
	if len(a.partial) > versionSize+1 {
		t.Errorf("%d bytes are kept, want %d at most", len(a.partial), versionSize+1)
	}
	a.observe([]byte{1}, true)
	if !a.is(0) {
		t.Errorf("got version %d, want none", a.version)
	}
}
