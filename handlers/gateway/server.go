// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import (
	"errors"
	"io"
	stdlog "log"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"madderway/models/routing"
	"madderway/modules/log"
	"madderway/modules/netopt"
	"madderway/modules/saturate"
)

const (
	// Accepted beyond the limit, so that the handler can answer a header that is too long.
	headerSlack = 16 << 10
	// Factor on the configured idle time, so that callers may use a connection until it ends.
	idleFactor = 1.25

	acceptBackoff    = 5 * time.Millisecond
	maxAcceptBackoff = 200 * time.Millisecond
	turnAwayTimeout  = 50 * time.Millisecond
	// Answers close their connections once less than 1/reservedFraction of the connections is
	// free. Otherwise the idle connections of callers that back off keep new ones out.
	reservedFraction = 4
	// The answer to a connection beyond the limit.
	turnAwayResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.500\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	defaultHeaderBytes   = 64 << 10
)

// Server serves callers on one listener. A change of limits applies to new connections.
type Server struct {
	log        log.Logger
	handler    http.Handler
	listener   net.Listener
	traffic    *netopt.Traffic
	maxOpen    int64 // limit on open connections
	open       atomic.Int64
	turnedAway atomic.Uint64 // connections refused unread
	handedOver atomic.Int64  // requests in flight at other gateways
	closing    atomic.Bool   // Close was called
	// Reads of requests that are not whole are interrupted and answered.
	endsIncomplete atomic.Bool
	early          EarlyAdmission // nil if no request is decided early
	relay          Relay          // nil if no request is handed over
	gate           entryGate      // of requests that are decided early
	unanswered     *unanswered
	errorLog       *stdlog.Logger // of the HTTP servers

	connsMu sync.Mutex
	conns   map[*callerConn]bool // open connections

	mu      sync.Mutex
	limits  routing.Limits
	current *chanListener
	servers []*http.Server
	closed  bool
}

// NewServer returns a server with default limits that holds at most maxOpen connections and
// counts their bytes in traffic. Serve runs it.
func NewServer(logger log.Logger, l net.Listener, h http.Handler, maxOpen int, traffic *netopt.Traffic) *Server {
	s := &Server{log: logger, listener: l, maxOpen: int64(maxOpen), traffic: traffic, conns: map[*callerConn]bool{}}
	s.unanswered, s.errorLog = newUnanswered(logger), stdlog.New(newServerLog(logger), "", 0)
	s.handler = s.closeWhenCrowded(markBegun(h))
	s.startServer(routing.Limits{})
	return s
}

// SetEarlyAdmission lets e decide on requests before they are parsed. Call it before Serve.
func (s *Server) SetEarlyAdmission(e EarlyAdmission) { s.early = e }

func (s *Server) admitsEarly() bool { return s.early != nil && s.early.AdmitsEarly() }

// SetLimits applies the limits of a configuration to new connections.
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

// headerTimeout returns the limit on the time to read a request's header.
func headerTimeout(l routing.Limits) time.Duration {
	if l.HeaderTimeout > 0 {
		return l.HeaderTimeout
	}
	return defaultHeaderTimeout
}

// idleTimeout returns the limit on the time between two requests of a connection.
func idleTimeout(l routing.Limits) time.Duration {
	if l.IdleTimeout > 0 {
		return saturate.Duration(idleFactor * float64(l.IdleTimeout))
	}
	return defaultIdleTimeout
}

// startServer starts an HTTP server that takes all new connections from the previous one.
func (s *Server) startServer(l routing.Limits) {
	server := &http.Server{
		Handler: s.handler, MaxHeaderBytes: defaultHeaderBytes, ReadHeaderTimeout: headerTimeout(l), IdleTimeout: idleTimeout(l),
		ConnContext: withConn, ConnState: onConnState, ErrorLog: s.errorLog,
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

// onConnState tells a connection when the HTTP server waits for its next request.
func onConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*callerConn); ok && state == http.StateIdle {
		c.onIdle()
	}
}

// closeWhenCrowded closes connections after their answers while few are free.
func (s *Server) closeWhenCrowded(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isCrowded() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// markBegun notes on the connections of requests that they are handled.
func markBegun(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*callerConn); ok {
			c.idle.begin()
		}
		h.ServeHTTP(w, r)
	})
}

// isCrowded reports whether few connections are free.
func (s *Server) isCrowded() bool { return s.open.Load() > s.maxOpen-s.maxOpen/reservedFraction }

// Serve accepts connections until the server is closed. It retries failed accepts, such as
// those for lack of file descriptors, with a backoff.
func (s *Server) Serve() error {
	backoff := acceptBackoff
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(backoff)
			backoff = min(2*backoff, maxAcceptBackoff)
			continue
		}
		backoff = acceptBackoff
		if s.open.Add(1) > s.maxOpen || s.gate.full(now()) {
			s.turnAway(c)
			continue
		}
		conn := &callerConn{countedConn: &countedConn{Conn: s.traffic.Wrap(c), open: &s.open}, server: s, stopWatch: make(chan struct{}, 1)}
		s.track(conn)
		s.passConn(conn)
	}
}

// turnAway refuses a connection beyond the limit, or while requests wait for too long to enter. The
// request has not run.
func (s *Server) turnAway(c net.Conn) {
	open := s.open.Add(-1)
	// Log powers of two only: thousands may come in a second.
	if n := s.turnedAway.Add(1); n&(n-1) == 0 {
		s.log.Warn("Connections turned away.", "count", n, "open", open, "max_open", s.maxOpen, "entry_wait", s.EntryWait(now()))
	}
	_ = c.SetWriteDeadline(netopt.DeadlineIn(turnAwayTimeout))
	_, _ = io.WriteString(c, turnAwayResponse)
	_ = c.Close()
}

// countedConn counts as open until it is closed.
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

// CloseWrite lets the HTTP server finish an answer before the whole request was read, without
// a reset that could overtake the answer.
func (c *countedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Open returns the number of open connections.
func (s *Server) Open() int { return int(s.open.Load()) }

// TurnedAway returns how many connections were refused unread.
func (s *Server) TurnedAway() uint64 { return s.turnedAway.Load() }

// EntryWait returns for how long the oldest request has waited that was read and not decided on.
func (s *Server) EntryWait(now time.Time) time.Duration { return s.gate.wait(now) }

// passConn passes a connection to the current HTTP server.
func (s *Server) passConn(c *callerConn) {
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

func (s *Server) track(c *callerConn) {
	s.connsMu.Lock()
	defer s.connsMu.Unlock()
	s.conns[c] = true
}

// forget removes a connection that is being closed. It reports whether it was open until now.
func (s *Server) forget(c *callerConn) bool {
	s.connsMu.Lock()
	defer s.connsMu.Unlock()
	wasOpen := s.conns[c]
	delete(s.conns, c)
	return wasOpen
}

// StopAccepting closes the listener. Open connections stay.
func (s *Server) StopAccepting() { _ = s.listener.Close() }

// CloseIdle closes the connections on which no request has begun.
func (s *Server) CloseIdle() {
	s.connsMu.Lock()
	conns := slices.Collect(maps.Keys(s.conns))
	s.connsMu.Unlock()
	for _, c := range conns {
		c.closeIfIdle()
	}
}

// isClosed reports whether the server closes all connections.
func (s *Server) isClosed() bool { return s.closing.Load() }

// WriteMetrics writes the counts of connections that ended before an answer.
func (s *Server) WriteMetrics(w io.Writer) { s.unanswered.set.WritePrometheus(w) }

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.closing.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.listener.Close()
	_ = s.current.Close()
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// chanListener is a listener that returns the connections sent to a channel.
type chanListener struct {
	address net.Addr
	conns   chan net.Conn
	once    sync.Once
	done    chan struct{}
}

// Accept implements net.Listener.
func (l *chanListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *chanListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *chanListener) Addr() net.Addr { return l.address }
