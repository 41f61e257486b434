// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package relay hands requests of callers over to other gateways of the data
// hall, and serves those that others hand over. One connection to a gateway
// carries all of them. The gateway that hands over passes the bytes of request
// and answer on without looking at them, and without a goroutine for each answer:
// it has no processor time to spare.
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
)

const (
	// dialTimeout is how long a gateway of the same hall may take to answer: the request that
	// is to be handed over waits meanwhile. Who hands over is late itself.
	dialTimeout = time.Second
	// idleTimeout is how long a connection stays open unused: floods come in waves of seconds.
	idleTimeout = 10 * time.Second
	// probeInterval is how often the other gateway must say something while it has requests of
	// this one. Silence at silentProbes probes in a row ends the connection: it can go silent
	// while the heartbeats, which have one of their own, still come.
	probeInterval   = time.Second
	maxMissedProbes = 3
	// maxAttempts is how many gateways are tried for one request.
	maxAttempts = 2
)

// ErrNoPeer tells that there is no gateway to hand a request over to.
var ErrNoPeer = errors.New("no gateway of the data hall has time")

// Peer is another gateway of the data hall that keeps up with its callers.
type Peer struct {
	ID          string
	Incarnation uint64
	Address     string
	Strength    float64 // Strength is in cores.
}

// Options are the parts of a Service.
type Options struct {
	Auth  *peernet.Auth
	Meter *peernet.Meter
	Clock clock.Clock
}

// Service hands requests over.
type Service struct {
	t    *tomb.Tomb
	log  log.Logger
	opts Options

	mu      sync.Mutex
	chooser *relay.Chooser
	peers   map[string]*peer
}

// peer is a gateway and the connection to it.
type peer struct {
	Peer
	mu     sync.Mutex // mu is held while the connection is opened.
	closed bool
	tunnel atomic.Pointer[tunnel] // tunnel is nil where none was opened.
}

// New returns a service that knows nobody; it closes its connections with the tomb.
func New(t *tomb.Tomb, logger log.Logger, o Options) *Service {
	s := &Service{t: t, log: logger, opts: o, chooser: relay.New(), peers: map[string]*peer{}}
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

// SetPeers replaces the gateways that may take requests over. What is under way to one
// that has only become busy goes on; Gone ends it.
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

// Disconnect tells that a gateway is dead, or has begun a new life: what it had taken over is
// lost. It does not wait.
func (s *Service) Disconnect(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peers[id]; p != nil {
		go p.close()
		delete(s.peers, id)
	}
}

// Available tells whether there is a gateway to hand requests over to.
func (s *Service) Available() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chooser.Available(s.opts.Clock.Now())
}

// Waiting returns for how long the first of the requests waits that are to be handed over and
// not written yet.
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

// Send hands a request over. The first HeadSize bytes of the buffer are free, the request
// follows. The answer goes to the caller; when it is over, waiting reads of the caller are
// ended by a deadline. Left tells whether the caller has left; it is asked right before the
// request is written, which may be long after Send is called.
func (s *Service) Send(ctx context.Context, buffer []byte, caller net.Conn, left func() bool) (*Handover, error) {
	err := error(ErrNoPeer)
	for range maxAttempts {
		p := s.choose()
		if p == nil {
			return nil, err
		}
		var t *tunnel
		if t, err = s.open(ctx, p); err == nil {
			h := &Handover{s: s, Peer: p.ID, caller: caller, tunnel: t, done: make(chan struct{})}
			if err = t.send(h, buffer, left); err == nil {
				return h, nil
			}
		}
		if errors.Is(err, ErrCallerDisconnected) {
			s.finished(p.ID)
			return nil, err
		}
		if errors.Is(err, ErrCongested) {
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

// choose counts a request for a gateway; it returns nil where there is none.
func (s *Service) choose() *peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ok := s.chooser.Choose(s.opts.Clock.Now(), rand.Float64)
	p := s.peers[id]
	if !ok || p == nil {
		return nil
	}
	s.chooser.Began(id)
	return p
}

// open returns the connection to a gateway and dials where there is none.
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
	p.tunnel.Store(t)
	s.log.Info("Hands requests over.", "peer", p.ID, "address", p.Address)
	go t.readLoop()
	go t.probeLoop(s.opts.Clock)
	return t, nil
}

func (s *Service) failed(p *peer, err error) {
	s.log.Warn("Gateway not reached, nothing handed over.", "peer", p.ID, "address", p.Address, "reason", err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooser.Ended(p.ID)
	// No answer in time is as likely this process's own lateness, and a silent member is
	// found dead soon.
	if !os.IsTimeout(err) && !errors.Is(err, context.DeadlineExceeded) {
		s.chooser.Failed(s.opts.Clock.Now(), p.ID)
	}
}

func (s *Service) finished(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooser.Ended(id)
}

// close closes the connection to a gateway for good.
func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if t := p.tunnel.Load(); t != nil {
		t.close()
	}
}
