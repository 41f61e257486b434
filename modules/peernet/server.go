// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package peernet

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"madderway/modules/log"
	"madderway/modules/netopt"
	"madderway/modules/wire"
)

const (
	maxConnections = 2048
	callTimeout    = 30 * time.Second

	acceptBackoff    = 10 * time.Millisecond
	maxAcceptBackoff = time.Second
)

// Handler handles the messages of peers.
type Handler interface {
	// HandleFrame handles a frame. It may block, which applies backpressure to the peer.
	HandleFrame(peer string, f *wire.Frame)
	// HandleCall handles a call and returns the reply.
	HandleCall(peer string, c *wire.Call) *wire.Reply
}

// RelayHandler handles connections on which peers relay requests of their callers.
type RelayHandler interface {
	// HandleRelay serves a connection and returns when it is closed.
	HandleRelay(peer string, c net.Conn)
}

// Server accepts and serves connections of peers.
type Server struct {
	t         *tomb.Tomb
	log       log.Logger
	auth      *Auth
	meter     *Meter
	handler   Handler
	relay     RelayHandler // nil to close such connections
	listener  net.Listener
	slots     chan struct{}
	receiving receiving

	mu           sync.Mutex
	conns        map[net.Conn]string // value: peer ID, "" before the handshake
	blocked      map[string]bool
	refusedCount uint64 // failed handshakes

	turnedAway    atomic.Uint64
	turnedAwayLog *log.RateLimiter
}

// NewServer starts a server on the listener; it ends with the tomb.
func NewServer(t *tomb.Tomb, logger log.Logger, auth *Auth, meter *Meter, l net.Listener, h Handler) *Server {
	return NewRelayServer(t, logger, auth, meter, l, h, nil)
}

// NewRelayServer is NewServer with a handler for relayed requests.
func NewRelayServer(t *tomb.Tomb, logger log.Logger, auth *Auth, meter *Meter, l net.Listener, h Handler, relay RelayHandler) *Server {
	s := &Server{
		t: t, log: logger, auth: auth, meter: meter, handler: h, relay: relay, listener: l,
		slots: make(chan struct{}, maxConnections), receiving: receiving{peers: map[string]int{}}, conns: map[net.Conn]string{}, blocked: map[string]bool{},
		turnedAwayLog: log.NewRateLimiter(turnedAwayLogInterval, 1),
	}
	t.Go(s.accept)
	t.Go(s.closeOnDying)
	return s
}

// RefusedCount returns the number of failed handshakes.
func (s *Server) RefusedCount() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusedCount
}

// TurnedAway returns the number of connections that were closed as too many were open.
func (s *Server) TurnedAway() uint64 { return s.turnedAway.Load() }

const turnedAwayLogInterval = time.Second

func (s *Server) countTurnedAway() {
	total := s.turnedAway.Add(1)
	if ok, suppressed := s.turnedAwayLog.Allow(now()); ok {
		s.log.Warn("Connection of a peer turned away: too many are open.", "open", maxConnections, "turned_away_total", total, "suppressed", suppressed)
	}
}

func (s *Server) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Block closes and rejects the connections of a peer, or accepts them again; tests
// use it to partition routers.
func (s *Server) Block(peer string, blocked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blocked[peer] = blocked
	for conn, id := range s.conns {
		if blocked && id == peer {
			_ = conn.Close()
		}
	}
}

// accept accepts connections until the process ends. It retries failed accepts, such as those for lack
// of file descriptors, with a backoff.
func (s *Server) accept() error {
	backoff := acceptBackoff
	for {
		conn, err := s.listener.Accept()
		if !s.t.Alive() || errors.Is(err, net.ErrClosed) {
			if err == nil {
				_ = conn.Close()
			}
			return nil
		}
		if err != nil {
			s.log.Warn("Failed to accept a connection of a peer, will retry.", "error", err, "retry_in", backoff)
			select {
			case <-s.t.Dying():
				return nil
			case <-time.After(backoff):
			}
			backoff = min(2*backoff, maxAcceptBackoff)
			continue
		}
		backoff = acceptBackoff
		select {
		case s.slots <- struct{}{}:
		default:
			_ = conn.Close()
			s.countTurnedAway()
			continue
		}
		s.track(conn, "")
		s.t.Go(func() error {
			defer func() { <-s.slots }()
			defer s.untrack(conn)
			s.serve(conn)
			return nil
		})
	}
}

func (s *Server) closeOnDying() error {
	<-s.t.Dying()
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	return nil
}

func (s *Server) track(conn net.Conn, peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = peer
	if !s.t.Alive() || s.blocked[peer] {
		_ = conn.Close()
	}
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	_ = conn.Close()
}

func (s *Server) refuse(conn net.Conn, err error) {
	s.mu.Lock()
	s.refusedCount++
	s.mu.Unlock()
	s.log.Warn("Peer handshake failed.", "remote_addr", conn.RemoteAddr(), "error", err)
}

func (s *Server) serve(raw net.Conn) {
	conn, err := s.auth.wrap(meteredConn{raw, s.meter}, false)
	if err != nil {
		s.refuse(raw, err)
		return
	}
	peer, relayed, err := s.auth.serverHandshake(conn)
	if err != nil {
		s.refuse(raw, err)
		return
	}
	s.track(raw, peer)
	if relayed {
		if s.relay != nil {
			s.relay.HandleRelay(peer, conn)
		}
		return
	}
	session, err := serverSession(conn)
	if err != nil {
		return
	}
	defer session.Close()
	spawn := func(f func()) {
		s.t.Go(func() error {
			f()
			return nil
		})
	}
	serveSession(session, spawn, func(stream net.Conn) { s.serveStream(peer, stream) })
}

func (s *Server) serveStream(peer string, stream net.Conn) {
	r := bufio.NewReader(stream)
	kind, err := r.ReadByte()
	if err != nil {
		return
	}
	switch kind {
	case streamFrames:
		if err := s.readFrames(peer, r); errors.Is(err, errTooManyReceiving) {
			resetStream(stream)
		}
	case streamCall:
		_ = stream.SetDeadline(netopt.DeadlineIn(callTimeout))
		call := &wire.Call{}
		switch err := s.readMessage(peer, r, call); {
		case err == nil:
			_ = writeMessage(stream, s.handler.HandleCall(peer, call))
		case errors.Is(err, errTooManyReceiving):
			resetStream(stream)
		}
	default:
		s.log.Warn("Dropped stream of unknown kind.", "peer", peer, "kind", kind)
	}
}

func (s *Server) readFrames(peer string, r *bufio.Reader) error {
	for {
		f := &wire.Frame{}
		if err := s.readMessage(peer, r, f); err != nil {
			return err
		}
		s.handler.HandleFrame(peer, f)
	}
}
