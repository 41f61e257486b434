// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"madderway/modules/log"
	"madderway/modules/netopt"
	"madderway/services/heldbytes"
)

const (
	// Bytes of a request, including its header.
	maxRequestSize = 512 << 10
	// Concurrent requests per gateway.
	maxRequests = 4096
	// Bytes of a response that are buffered if the handler does not flush.
	flushSize = 32 << 10
)

// Server serves requests that other gateways hand over.
type Server struct {
	log      log.Logger
	handler  http.Handler
	held     *heldbytes.Quota // of requests being received, shared between gateways
	version  func() uint64
	inFlight atomic.Int64 // requests being received, served or answered

	mu        sync.Mutex
	conns     map[*serverConn]bool
	announced uint64 // version of the last announcement
}

// NewServer returns a server that passes requests to the handler. maxReceiving bounds the bytes of all
// requests of which only a part has come. version returns the version of the configuration by which the
// handler serves, 0 if there is none.
func NewServer(logger log.Logger, h http.Handler, maxReceiving int64, version func() uint64) *Server {
	return &Server{log: logger, handler: h, held: heldbytes.New(maxReceiving), version: version, conns: map[*serverConn]bool{}}
}

// InFlight returns the number of requests of which a part has come and whose answers are not sent.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

type peerKey struct{}

// HandedOverBy returns the ID of the gateway that handed the request over, or "".
func HandedOverBy(ctx context.Context) string {
	peer, _ := ctx.Value(peerKey{}).(string)
	return peer
}

// HandleRelay implements peernet.Carrier.
func (s *Server) HandleRelay(peer string, conn net.Conn) {
	ctx, cancel := context.WithCancel(context.WithValue(context.Background(), peerKey{}, peer))
	defer cancel()
	c := &serverConn{s: s, ctx: ctx, conn: conn, requests: map[uint32]*incomingRequest{}, refused: map[uint32]bool{}}
	defer conn.Close()
	defer c.dropIncomplete()
	s.addConn(c)
	defer s.removeConn(c)
	go c.sendVersion()
	buffer := make([]byte, readBufferSize)
	var d decoder
	for {
		n, err := conn.Read(buffer)
		if n > 0 {
			if feedErr := d.feed(buffer[:n], c.handleFrame); feedErr != nil {
				s.log.Warn("Closed a connection with malformed frames.", "peer", peer, "error", feedErr)
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// serverConn is the serving end of a connection.
type serverConn struct {
	s    *Server
	ctx  context.Context
	conn net.Conn

	writeMu sync.Mutex // held while a frame is written

	mu       sync.Mutex
	requests map[uint32]*incomingRequest
	refused  map[uint32]bool // requests whose rest is ignored
}

// incomingRequest is a request that is being received or served.
type incomingRequest struct {
	raw    []byte
	held   heldbytes.Holder   // of raw, until the request is complete
	cancel context.CancelFunc // nil until the request is complete
}

func (c *serverConn) handleFrame(fr frame, piece []byte, last bool) {
	switch fr.kind {
	case kindProbe:
		c.sendVersion()
	case kindCancel:
		c.cancelRequest(fr.number)
	case kindData, kindEnd:
		c.request(fr.number, piece, last && fr.kind == kindEnd)
	case kindAborted:
	}
}

// request appends bytes of a request and serves it once it is complete.
func (c *serverConn) request(number uint32, piece []byte, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused[number] {
		if complete {
			delete(c.refused, number)
		}
		return
	}
	r := c.requests[number]
	if r == nil {
		r = &incomingRequest{held: c.s.held.Holder(HandedOverBy(c.ctx))}
		c.requests[number] = r
		c.s.inFlight.Add(1)
	}
	if r.cancel != nil || len(c.requests) > maxRequests || !r.add(piece, complete) {
		r.held.Release()
		c.refuse(number, complete)
		return
	}
	if !complete {
		return
	}
	r.held.Release() // its handler bounds the bodies in flight
	var ctx context.Context
	ctx, r.cancel = context.WithCancel(c.ctx)
	go c.serve(ctx, number, r.raw)
}

// add appends a piece of the request. It returns false if the request is too long, or if too many bytes of
// requests are being received.
func (r *incomingRequest) add(piece []byte, complete bool) bool {
	need := len(r.raw) + len(piece)
	if need > maxRequestSize {
		return false
	}
	if need > cap(r.raw) {
		size, before := max(need, min(2*cap(r.raw), maxRequestSize)), cap(r.raw)
		if complete {
			size = need
		} else if !r.held.Reserve(int64(size)) {
			return false
		}
		r.raw = append(make([]byte, 0, size), r.raw...)
		r.held.GiveBack(int64(before))
	}
	r.raw = append(r.raw, piece...)
	return true
}

// refuse drops a request; c.mu is held. A gateway that begins more requests than it may and ends none of
// them loses its connection.
func (c *serverConn) refuse(number uint32, complete bool) {
	delete(c.requests, number)
	c.s.inFlight.Add(-1)
	go c.sendControl(kindAborted, number)
	if complete {
		return
	}
	if c.refused[number] = true; len(c.refused) > maxRequests {
		c.s.log.Warn("Closed a connection with too many refused requests.", "peer", HandedOverBy(c.ctx), "refused", len(c.refused))
		_ = c.conn.Close()
	}
}

func (c *serverConn) cancelRequest(number uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[number]; r != nil && r.cancel != nil {
		r.cancel()
	}
}

func (c *serverConn) remove(number uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[number]; r != nil {
		r.cancel()
		delete(c.requests, number)
		c.s.inFlight.Add(-1)
	}
}

// dropIncomplete forgets the requests whose rest will not come.
func (c *serverConn) dropIncomplete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for number, r := range c.requests {
		if r.cancel == nil {
			r.held.Release()
			delete(c.requests, number)
			c.s.inFlight.Add(-1)
		}
	}
}

// serve answers a request as an HTTP server would.
func (c *serverConn) serve(ctx context.Context, number uint32, raw []byte) {
	defer c.remove(number)
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
	if err != nil {
		c.s.log.Warn("Dropped a malformed request.", "peer", HandedOverBy(ctx), "error", err)
		c.sendControl(kindAborted, number)
		return
	}
	w := &responseWriter{conn: c, number: number, header: http.Header{}, noBody: r.Method == http.MethodHead}
	defer func() {
		if p := recover(); p != nil {
			c.sendControl(kindAborted, number)
			if p != any(http.ErrAbortHandler) {
				c.s.log.Error(fmt.Errorf("panic: %v", p), "The handler of a request panicked.", "peer", HandedOverBy(ctx))
			}
		}
	}()
	c.s.handler.ServeHTTP(w, r.WithContext(ctx))
	w.finish()
}

func (c *serverConn) sendControl(k kind, number uint32) {
	var b [HeaderSize]byte
	putHeader(b[:], k, number, 0)
	c.write(b[:])
}

// write sends a frame and closes the connection on failure.
func (c *serverConn) write(b []byte) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	err := c.conn.SetWriteDeadline(netopt.DeadlineIn(frameTimeout))
	if err == nil {
		_, err = c.conn.Write(b)
	}
	if err != nil {
		_ = c.conn.Close()
	}
	return err
}

// responseWriter sends a response as frames whose payload is the HTTP/1.1 response for the caller.
type responseWriter struct {
	conn       *serverConn
	number     uint32
	header     http.Header
	status     int
	noBody     bool // the request's method is HEAD
	headerSent bool
	chunked    bool   // the body has no announced length
	remaining  int64  // unwritten bytes of the announced body length
	body       []byte // written since the last flush
	frame      []byte // frame being built
	err        error
}

var errTooLong = errors.New("more than the announced length was written")

var _ http.Flusher = (*responseWriter)(nil)

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	written := 0
	for written < len(b) && w.err == nil {
		n := min(len(b)-written, flushSize-len(w.body))
		w.body = append(w.body, b[written:written+n]...)
		written += n
		if len(w.body) >= flushSize {
			w.Flush()
		}
	}
	return written, w.err
}

// Flush implements http.Flusher.
func (w *responseWriter) Flush() { _ = w.FlushError() }

// FlushError flushes for http.ResponseController.
func (w *responseWriter) FlushError() error {
	w.WriteHeader(http.StatusOK)
	if w.err == nil {
		w.startFrame(false)
		w.appendBody()
		w.sendFrame(kindData)
	}
	return w.err
}

// finish ends the response.
func (w *responseWriter) finish() {
	w.WriteHeader(http.StatusOK)
	if w.err == nil {
		w.startFrame(true)
		w.appendBody()
	}
	switch {
	case w.err != nil, !w.chunked && w.remaining > 0 && !w.noBody:
		w.conn.sendControl(kindAborted, w.number)
		return
	case w.chunked && !w.noBody:
		w.frame = append(w.frame, "0\r\n\r\n"...)
	}
	w.sendFrame(kindEnd)
}

// startFrame begins a frame, with the response header if that was not sent yet. complete is set if
// the handler has written all of the body.
func (w *responseWriter) startFrame(complete bool) {
	var room [HeaderSize]byte
	w.frame = append(w.frame[:0], room[:]...)
	if w.headerSent {
		return
	}
	w.headerSent = true
	length, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64)
	switch {
	case err == nil:
		w.remaining = length
	case w.noBody:
	case complete:
		w.remaining = int64(len(w.body))
		w.header.Set("Content-Length", strconv.Itoa(len(w.body)))
	default:
		w.chunked = true
		w.header.Set("Transfer-Encoding", "chunked")
	}
	head := bytes.NewBuffer(w.frame)
	head.WriteString("HTTP/1.1 " + strconv.Itoa(w.status) + " " + http.StatusText(w.status) + "\r\n")
	_ = w.header.Write(head) // a bytes.Buffer never fails
	head.WriteString("\r\n")
	w.frame = head.Bytes()
}

// appendBody moves the buffered body to the frame.
func (w *responseWriter) appendBody() {
	body := w.body
	w.body = w.body[:0]
	if len(body) == 0 || w.noBody {
		return
	}
	if w.chunked {
		w.frame = strconv.AppendInt(w.frame, int64(len(body)), 16)
		w.frame = append(append(append(w.frame, "\r\n"...), body...), "\r\n"...)
		return
	}
	if w.remaining -= int64(len(body)); w.remaining < 0 {
		w.err = errTooLong
		return
	}
	w.frame = append(w.frame, body...)
}

// sendFrame sends the frame. It skips a kindData frame without payload.
func (w *responseWriter) sendFrame(k kind) {
	if w.err != nil || k == kindData && len(w.frame) <= HeaderSize {
		return
	}
	putHeader(w.frame, k, w.number, len(w.frame)-HeaderSize)
	w.err = w.conn.write(w.frame)
	w.frame = w.frame[:0]
}
