// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import (
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"madderway/models/routing"
	"madderway/modules/log"
	"madderway/modules/netopt"
)

const (
	// headerSlack is what the server takes beyond the limit, so that the handler
	// can answer a header that is too long.
	headerSlack = 16 << 10
	// idleFactor lets a caller use a connection to the end of its idle time.
	idleFactor = 1.25

	acceptBackoff    = 5 * time.Millisecond
	maxAcceptBackoff = 200 * time.Millisecond
	turnAwayTimeout  = 50 * time.Millisecond
	// Each answer ends its connection while less than one in reservedFraction of the connections is
	// left. Callers keep idle connections and open new ones to come back after a refusal:
	// under a flood 1,600 idle ones beside 240 requests had new ones turned away by the
	// hundred a second.
	reservedFraction = 4
	// turnAwayResponse is the answer to a connection beyond the limit.
	turnAwayResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.500\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	defaultHeaderBytes   = 64 << 10
)

// Server serves callers on one listener with the limits of the configuration in
// force. A change of limits holds for connections that come after it.
type Server struct {
	log        log.Logger
	handler    http.Handler
	listener   net.Listener
	traffic    *netopt.Traffic
	maxOpen    int64 // most is how many connections are open at once.
	open       atomic.Int64
	turnedAway atomic.Uint64  // turned counts the connections that were turned away.
	handedOver atomic.Int64   // relaying counts the requests that other gateways serve.
	early      EarlyAdmission // early judges requests before they are parsed; nil for none.
	relay      Relay          // relay is nil where nothing is handed over.

	mu      sync.Mutex
	limits  routing.Limits
	current *chanListener
	servers []*http.Server
	closed  bool
}

// NewServer returns a server with default limits and at most so many open
// connections, whose bytes are counted; Serve runs it.
func NewServer(logger log.Logger, l net.Listener, h http.Handler, most int, traffic *netopt.Traffic) *Server {
	s := &Server{log: logger, listener: l, maxOpen: int64(most), traffic: traffic}
	s.handler = s.closeWhenCrowded(h)
	s.startServer(routing.Limits{})
	return s
}

// SetEarlyAdmission lets requests be judged before they are parsed. It is called before Serve.
func (s *Server) SetEarlyAdmission(e EarlyAdmission) { s.early = e }

// admitsEarly tells whether requests are to be judged early now.
func (s *Server) admitsEarly() bool { return s.early != nil && s.early.AdmitsEarly() }

// SetLimits puts the limits of a configuration in force.
func (s *Server) SetLimits(l routing.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	same := l.MaxHeaderBytes == s.limits.MaxHeaderBytes && l.HeaderTimeout == s.limits.HeaderTimeout && l.IdleTimeout == s.limits.IdleTimeout
	if same || s.closed {
		return
	}
	s.limits = l
	s.startServer(l)
}

// headerTimeout returns how long the head of a request may take to arrive.
func headerTimeout(l routing.Limits) time.Duration {
	if l.HeaderTimeout > 0 {
		return l.HeaderTimeout
	}
	return defaultHeaderTimeout
}

// idleTimeout returns how long a connection may be idle between requests.
func idleTimeout(l routing.Limits) time.Duration {
	if l.IdleTimeout > 0 {
		return time.Duration(idleFactor * float64(l.IdleTimeout))
	}
	return defaultIdleTimeout
}

// startServer makes a new server take the connections from now on.
func (s *Server) startServer(l routing.Limits) {
	server := &http.Server{
		Handler: s.handler, MaxHeaderBytes: defaultHeaderBytes, ReadHeaderTimeout: headerTimeout(l), IdleTimeout: idleTimeout(l),
		ConnContext: withConn, ConnState: onConnState, ErrorLog: stdlog.New(io.Discard, "", 0),
	}
	if l.MaxHeaderBytes > 0 {
		server.MaxHeaderBytes = l.MaxHeaderBytes + headerSlack
	}
	next := &chanListener{address: s.listener.Addr(), conns: make(chan net.Conn), done: make(chan struct{})}
	if s.current != nil {
		_ = s.current.Close()
	}
	s.current = next
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(next) }()
}

// onConnState tells a connection that the next request may come.
func onConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*callerConn); ok && state == http.StateIdle {
		c.onIdle()
	}
}

// closeWhenCrowded lets answers end their connections while many are open.
func (s *Server) closeWhenCrowded(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isCrowded() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// isCrowded tells whether little room is left for new connections.
func (s *Server) isCrowded() bool { return s.open.Load() > s.maxOpen-s.maxOpen/reservedFraction }

// Serve accepts connections until the server is closed. An error of accepting,
// such as the want of descriptors, passes; it is no reason to end.
func (s *Server) Serve() error {
	pause := acceptBackoff
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(pause)
			pause = min(2*pause, maxAcceptBackoff)
			continue
		}
		pause = acceptBackoff
		if s.open.Add(1) > s.maxOpen {
			s.turnAway(c)
			continue
		}
		s.passToServer(&callerConn{countedConn: &countedConn{Conn: s.traffic.Wrap(c), open: &s.open}, server: s, stopWatch: make(chan struct{}, 1)})
	}
}

// turnAway refuses a connection that is one too many, as not run.
func (s *Server) turnAway(c net.Conn) {
	open := s.open.Add(-1)
	// The first one is told, and each doubling: they come by the thousand.
	if n := s.turnedAway.Add(1); n&(n-1) == 0 {
		s.log.Warn("Connections turned away.", "count", n, "open", open, "most", s.maxOpen)
	}
	_ = c.SetWriteDeadline(netopt.DeadlineIn(turnAwayTimeout))
	_, _ = io.WriteString(c, turnAwayResponse)
	_ = c.Close()
}

// countedConn is a connection that counts as open until it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// CloseWrite lets the HTTP server end an answer before all of a request was
// read, without a reset that could overtake it.
func (c *countedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Open returns the number of open connections.
func (s *Server) Open() int { return int(s.open.Load()) }

// TurnedAway returns how many connections were refused since there were too many.
func (s *Server) TurnedAway() uint64 { return s.turnedAway.Load() }

// passToServer gives a connection to the server of the limits in force.
func (s *Server) passToServer(c *callerConn) {
	for {
		s.mu.Lock()
		current, closed := s.current, s.closed
		c.limits = s.limits
		s.mu.Unlock()
		if closed {
			_ = c.Close()
			return
		}
		select {
		case current.conns <- c:
			return
		case <-current.done: // replaced meanwhile
		}
	}
}

// Close ends the listener and all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.listener.Close()
	_ = s.current.Close()
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// chanListener is a listener whose connections are handed to it.
type chanListener struct {
	address net.Addr
	conns   chan net.Conn
	once    sync.Once
	done    chan struct{}
}

// Accept implements net.Listener.
func (f *chanListener) Accept() (net.Conn, error) {
	select {
	case c := <-f.conns:
		return c, nil
	case <-f.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (f *chanListener) Close() error {
	f.once.Do(func() { close(f.done) })
	return nil
}

// Addr implements net.Listener.
func (f *chanListener) Addr() net.Addr { return f.address }
