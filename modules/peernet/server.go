// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package peernet

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"madderway/modules/log"
	"madderway/modules/netopt"
	"madderway/modules/wire"
)

const (
	maxConnections = 2048
	callTimeout    = 30 * time.Second
)

// Handler takes what peers send.
type Handler interface {
	// HandleFrame takes a frame. It may block, which slows that peer down.
	HandleFrame(peer string, f *wire.Frame)
	// HandleCall answers a call.
	HandleCall(peer string, c *wire.Call) *wire.Reply
}

// RelayHandler takes connections on which a peer carries requests of its callers.
type RelayHandler interface {
	// HandleCarried serves a connection until it is closed.
	HandleCarried(peer string, c net.Conn)
}

// Server accepts connections of peers.
type Server struct {
	t        *tomb.Tomb
	log      log.Logger
	auth     *Auth
	meter    *Meter
	handler  Handler
	carrier  RelayHandler // carrier is nil where none are taken.
	listener net.Listener
	slots    chan struct{}

	mu      sync.Mutex
	conns   map[net.Conn]string // value: peer ID, "" before the handshake
	blocked map[string]bool
	Refused uint64 // Refused counts failed handshakes; read it under State.
}

// NewServer starts to accept on the listener; it ends with the tomb.
func NewServer(t *tomb.Tomb, logger log.Logger, auth *Auth, meter *Meter, l net.Listener, h Handler) *Server {
	return NewRelayServer(t, logger, auth, meter, l, h, nil)
}

// NewRelayServer is NewServer that also takes what peers carry.
func NewRelayServer(t *tomb.Tomb, logger log.Logger, auth *Auth, meter *Meter, l net.Listener, h Handler, c RelayHandler) *Server {
	s := &Server{
		t: t, log: logger, auth: auth, meter: meter, handler: h, carrier: c, listener: l,
		slots: make(chan struct{}, maxConnections), conns: map[net.Conn]string{}, blocked: map[string]bool{},
	}
	t.Go(s.accept)
	t.Go(s.closeAtEnd)
	return s
}

// RefusedCount returns how many handshakes failed.
func (s *Server) RefusedCount() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Refused
}

// connections returns how many connections are open.
func (s *Server) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Block refuses and cuts the connections of a peer, or admits them again;
// tests use it to partition routers.
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

func (s *Server) accept() error {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if !s.t.Alive() || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		select {
		case s.slots <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		s.track(conn, "")
		s.t.Go(func() error {
			defer func() { <-s.slots }()
			defer s.forget(conn)
			s.serve(conn)
			return nil
		})
	}
}

func (s *Server) closeAtEnd() error {
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

func (s *Server) forget(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	_ = conn.Close()
}

func (s *Server) refuse(conn net.Conn, err error) {
	s.mu.Lock()
	s.Refused++
	s.mu.Unlock()
	s.log.Warn("Refused a peer.", "from", conn.RemoteAddr(), "reason", err)
}

func (s *Server) serve(raw net.Conn) {
	conn, err := s.auth.wrap(meteredConn{raw, s.meter}, false)
	if err != nil {
		s.refuse(raw, err)
		return
	}
	peer, carries, err := s.auth.accept(conn)
	if err != nil {
		s.refuse(raw, err)
		return
	}
	s.track(raw, peer)
	if carries {
		if s.carrier != nil {
			s.carrier.HandleCarried(peer, conn)
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
		s.readFrames(peer, r)
	case streamCall:
		_ = stream.SetDeadline(netopt.DeadlineIn(callTimeout))
		call := &wire.Call{}
		if readMessage(r, call) == nil {
			_ = writeMessage(stream, s.handler.HandleCall(peer, call))
		}
	default:
		s.log.Warn("Dropped a stream of unknown kind.", "peer", peer, "kind", kind)
	}
}

func (s *Server) readFrames(peer string, r *bufio.Reader) {
	for {
		f := &wire.Frame{}
		if err := readMessage(r, f); err != nil {
			return
		}
		s.handler.HandleFrame(peer, f)
	}
}
