// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package relay hands requests over to other gateways of the data hall and serves requests that they
// hand over. One connection per gateway carries all of them. An overloaded gateway has no processor
// time to spare: it forwards the bytes of requests and responses without parsing them and without a
// goroutine per response.
package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"madderway/core/relay"
	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/modules/peernet"
	"madderway/services/heldbytes"
)

const (
	// Short, since a request of an overloaded gateway waits while the connection is opened.
	dialTimeout = time.Second
	// Longer than the usual pause between load peaks, so that the next peak finds the connection open.
	idleTimeout = 10 * time.Second
	// The connection is closed if the other gateway sends nothing for maxMissedProbes probes in a row
	// while it serves requests of this one. Heartbeats use another connection and may still arrive.
	probeInterval   = time.Second
	maxMissedProbes = 3
	// Gateways tried per request.
	maxAttempts = 2
	// From this wait of a request to be written on, its gateway counts as one that has stopped reading.
	stalledAfter = 150 * time.Millisecond
)

// ErrNoPeer is returned if no gateway can take a request over.
var ErrNoPeer = errors.New("no gateway of the data hall has time")

// Peer is a gateway of the data hall that can take requests over.
type Peer struct {
	ID          string
	Incarnation uint64
	Address     string
	Strength    float64 // in processor cores
}

// Options configures a Service.
type Options struct {
	Auth  *peernet.Auth
	Meter *peernet.Meter
	Clock clock.Clock
	// Version returns the version of the configuration in force here, 0 if there is none. Requests are
	// handed over to gateways with the same one only.
	Version func() uint64
	// OnNewerVersion is called when a gateway announces a newer configuration than before; optional.
	OnNewerVersion func(peer string, version uint64)
	// MaxBuffered bounds the bytes of all responses that are buffered for callers that read slowly.
	MaxBuffered int64
}

// Service hands requests over to other gateways.
type Service struct {
	t    *tomb.Tomb
	log  log.Logger
	opts Options

	buffers *heldbytes.Quota // for callers that read slowly

	mu      sync.Mutex
	chooser *relay.Chooser
	peers   map[string]*peer
}

// peer is a gateway and the connection to it.
type peer struct {
	Peer
	mu     sync.Mutex // serializes opening and closing of the connection
	closed bool
	tunnel atomic.Pointer[tunnel] // nil until first opened
}

// New returns a service without peers. It closes its connections when the tomb dies.
func New(t *tomb.Tomb, logger log.Logger, o Options) *Service {
	s := &Service{t: t, log: logger, opts: o, buffers: heldbytes.New(o.MaxBuffered), chooser: relay.New(), peers: map[string]*peer{}}
	t.Go(func() error {
		<-t.Dying()
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, p := range s.peers {
			go p.close()
		}
		return nil
	})
	return s
}

// SetPeers replaces the gateways that may take requests over. Requests in flight at a gateway that
// is no longer listed continue; Disconnect ends them. If the incarnation or address of a gateway
// has changed, its old connection is closed and the requests on it fail.
func (s *Service) SetPeers(peers []Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	choice := make([]relay.Peer, 0, len(peers))
	for _, p := range peers {
		choice = append(choice, relay.Peer{ID: p.ID, Strength: p.Strength})
		known := s.peers[p.ID]
		if known != nil && known.Incarnation == p.Incarnation && known.Address == p.Address {
			continue
		}
		if known != nil {
			go known.close()
		}
		s.peers[p.ID] = &peer{Peer: p}
	}
	s.chooser.SetPeers(choice)
}

// Disconnect drops a gateway that has died or restarted and fails its requests in flight. It does
// not block.
func (s *Service) Disconnect(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peers[id]; p != nil {
		go p.close()
		delete(s.peers, id)
	}
}

// Available reports whether a gateway can take requests over.
func (s *Service) Available() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.opts.Version()
	return s.chooser.Available(s.opts.Clock.Now(), func(id string) bool { return s.peers[id].hasOtherVersion(own) })
}

// Waiting returns the age of the oldest request that waits to be written to a gateway.
func (s *Service) Waiting(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	longest := time.Duration(0)
	for _, p := range s.peers {
		if t := p.tunnel.Load(); t != nil {
			longest = max(longest, t.oldestWait(now))
		}
	}
	return longest
}

// Send hands a request over. The first HeaderSize bytes of the buffer are reserved for the header;
// the request follows. The response is written to the caller. When it has ended, the caller's read
// deadline is set to the past, which interrupts a pending read. A request may wait to be written;
// check is called right before the write. It may change the request's bytes in place, and an error of
// it, ErrCallerDisconnected or ErrNoTime, drops the request.
func (s *Service) Send(ctx context.Context, buffer []byte, caller net.Conn, check func() error) (*Handover, error) {
	err := error(ErrNoPeer)
	for range maxAttempts {
		p := s.choose()
		if p == nil {
			return nil, err
		}
		var t *tunnel
		if t, err = s.open(ctx, p); err == nil {
			h := &Handover{s: s, Peer: p.ID, caller: caller, tunnel: t, done: make(chan struct{})}
			if err = t.send(h, buffer, func() error { return s.checkSend(t, check) }); err == nil {
				return h, nil
			}
		}
		if errors.Is(err, ErrCallerDisconnected) || errors.Is(err, ErrNoTime) {
			s.finished(p.ID)
			return nil, err
		}
		if errors.Is(err, ErrCongested) || errors.Is(err, ErrOtherConfiguration) {
			s.finished(p.ID)
			continue
		}
		s.failed(p, err)
		if IsErrMaybeSent(err) {
			return nil, err
		}
	}
	return nil, err
}

// choose selects a gateway and counts a request in flight; it returns nil if none is available. It avoids
// gateways that have stopped reading or have another configuration.
func (s *Service) choose() *peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, own := s.opts.Clock.Now(), s.opts.Version()
	id, ok := s.chooser.Choose(now, rand.Float64, func(id string) bool {
		return s.peers[id].stalled(now) || s.peers[id].hasOtherVersion(own)
	})
	p := s.peers[id]
	if !ok || p == nil {
		return nil
	}
	s.chooser.Began(id)
	return p
}

// stalled reports whether a request has waited for long to be written to the gateway. p may be nil.
func (p *peer) stalled(now time.Time) bool {
	if p == nil {
		return false
	}
	t := p.tunnel.Load()
	return t != nil && t.oldestWait(now) > stalledAfter
}

// open returns the connection to a gateway, dialing if necessary.
func (s *Service) open(ctx context.Context, p *peer) (*tunnel, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.tunnel.Load(); t != nil && !t.isClosed() {
		return t, nil
	}
	if p.closed || !s.t.Alive() {
		return nil, ErrNoPeer
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := peernet.DialRelay(ctx, peernet.RelayOptions{
		Auth: s.opts.Auth, Meter: s.opts.Meter, Address: p.Address, DialTimeout: dialTimeout,
	})
	if err != nil {
		return nil, err
	}
	t := newTunnel(conn, s.opts.Clock)
	t.configuration.observed = func(version uint64) { s.observeVersion(p.ID, version) }
	go t.readLoop()
	if err := t.awaitVersion(ctx); err != nil {
		t.close()
		return nil, err
	}
	p.tunnel.Store(t)
	s.log.Info("Opened a connection to hand requests over.", "peer", p.ID, "address", p.Address)
	go t.probeLoop(s.opts.Clock)
	return t, nil
}

func (s *Service) failed(p *peer, err error) {
	s.log.Warn("Could not hand over a request.", "peer", p.ID, "address", p.Address, "error", err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooser.Ended(p.ID)
	// A timeout does not count against the gateway: the overload of this process is as likely the
	// cause, and the membership protocol soon finds a dead gateway.
	if !os.IsTimeout(err) && !errors.Is(err, context.DeadlineExceeded) {
		s.chooser.Failed(s.opts.Clock.Now(), p.ID)
	}
}

func (s *Service) finished(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooser.Ended(id)
}

// close closes the connection for good.
func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if t := p.tunnel.Load(); t != nil {
		t.close()
	}
}
