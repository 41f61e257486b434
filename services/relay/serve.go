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

	"madderway/modules/log"
	"madderway/modules/netopt"
)

const (
	// Bytes of a request, including its header.
	maxRequestSize = 512 << 10
	// Concurrent requests per gateway.
	maxRequests = 4096
	// Bytes of an answer that are buffered if the handler does not flush.
	flushSize = 32 << 10
)

// Server serves requests that other gateways hand over.
type Server struct {
	log     log.Logger
	handler http.Handler
}

// NewServer returns a server that passes requests to the handler.
func NewServer(logger log.Logger, h http.Handler) *Server { return &Server{logger, h} }

type peerKey struct{}

// HandedOverBy returns the ID of the gateway that handed the request over, or "".
func HandedOverBy(ctx context.Context) string {
	carrier, _ := ctx.Value(peerKey{}).(string)
	return carrier
}

// HandleRelay implements peernet.Carrier.
func (s *Server) HandleRelay(peer string, conn net.Conn) {
	ctx, cancel := context.WithCancel(context.WithValue(context.Background(), peerKey{}, peer))
	defer cancel()
	f := &serverConn{s: s, ctx: ctx, conn: conn, requests: map[uint32]*incomingRequest{}}
	defer conn.Close()
	buffer := make([]byte, readBufferSize)
	var d decoder
	for {
		n, err := conn.Read(buffer)
		if n > 0 {
			if wrong := d.feed(buffer[:n], f.handleFrame); wrong != nil {
				s.log.Warn("Closed a connection with malformed frames.", "peer", peer, "reason", wrong)
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
}

// incomingRequest is a request that is being received or served.
type incomingRequest struct {
	raw    []byte
	cancel context.CancelFunc // nil until the request is complete
}

func (f *serverConn) handleFrame(fr frame, piece []byte, last bool) {
	switch fr.kind {
	case kindProbe:
		f.sendControl(kindProbe, 0)
	case kindCancel:
		f.cancelRequest(fr.number)
	case kindData, kindEnd:
		f.request(fr.number, piece, last && fr.kind == kindEnd)
	case kindAborted:
	}
}

// request appends bytes of a request and serves it once it is complete.
func (f *serverConn) request(number uint32, piece []byte, whole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.requests[number]
	if r == nil {
		r = &incomingRequest{}
		f.requests[number] = r
	}
	r.raw = append(r.raw, piece...)
	if r.cancel != nil || len(r.raw) > maxRequestSize || len(f.requests) > maxRequests {
		delete(f.requests, number)
		go f.sendControl(kindAborted, number)
		return
	}
	if !whole {
		return
	}
	var ctx context.Context
	ctx, r.cancel = context.WithCancel(f.ctx)
	go f.serve(ctx, number, r.raw)
}

func (f *serverConn) cancelRequest(number uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.requests[number]; r != nil && r.cancel != nil {
		r.cancel()
	}
}

func (f *serverConn) remove(number uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.requests[number]; r != nil {
		r.cancel()
		delete(f.requests, number)
	}
}

// serve answers a request as an HTTP server would.
func (f *serverConn) serve(ctx context.Context, number uint32, raw []byte) {
	defer f.remove(number)
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
	if err != nil {
		f.s.log.Warn("Dropped a malformed request.", "peer", HandedOverBy(ctx), "reason", err)
		f.sendControl(kindAborted, number)
		return
	}
	w := &responseWriter{conn: f, number: number, header: http.Header{}, noBody: r.Method == http.MethodHead}
	defer func() {
		if p := recover(); p != nil {
			f.sendControl(kindAborted, number)
			if p != any(http.ErrAbortHandler) {
				f.s.log.Error(fmt.Errorf("panic: %v", p), "The handler of a request panicked.", "peer", HandedOverBy(ctx))
			}
		}
	}()
	f.s.handler.ServeHTTP(w, r.WithContext(ctx))
	w.finish()
}

func (f *serverConn) sendControl(k kind, number uint32) {
	var b [HeaderSize]byte
	putHeader(b[:], k, number, 0)
	f.write(b[:])
}

// write sends a frame and closes the connection on failure.
func (f *serverConn) write(b []byte) error {
	f.writeMu.Lock()
	defer f.writeMu.Unlock()
	err := f.conn.SetWriteDeadline(netopt.DeadlineIn(frameTimeout))
	if err == nil {
		_, err = f.conn.Write(b)
	}
	if err != nil {
		_ = f.conn.Close()
	}
	return err
}

// responseWriter sends an answer as frames whose payload is the HTTP/1.1 response for the caller.
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

var errTooLong = errors.New("body is longer than its Content-Length")

var _ http.Flusher = (*responseWriter)(nil)

// Header implements http.ResponseWriter.
func (a *responseWriter) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *responseWriter) WriteHeader(status int) {
	if a.status == 0 {
		a.status = status
	}
}

// Write implements http.ResponseWriter.
func (a *responseWriter) Write(b []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	if a.err != nil {
		return 0, a.err
	}
	if a.body = append(a.body, b...); len(a.body) >= flushSize {
		a.Flush()
	}
	return len(b), a.err
}

// Flush implements http.Flusher.
func (a *responseWriter) Flush() { _ = a.FlushError() }

// FlushError flushes for http.ResponseController.
func (a *responseWriter) FlushError() error {
	a.WriteHeader(http.StatusOK)
	if a.err == nil {
		a.startFrame(false)
		a.appendBody()
		a.sendFrame(kindData)
	}
	return a.err
}

// finish ends the answer.
func (a *responseWriter) finish() {
	a.WriteHeader(http.StatusOK)
	if a.err == nil {
		a.startFrame(true)
		a.appendBody()
	}
	switch {
	case a.err != nil, !a.chunked && a.remaining > 0 && !a.noBody:
		a.conn.sendControl(kindAborted, a.number)
		return
	case a.chunked && !a.noBody:
		a.frame = append(a.frame, "0\r\n\r\n"...)
	}
	a.sendFrame(kindEnd)
}

// startFrame begins a frame, with the response header if that was not sent. whole is set if the
// handler has written all of the body.
func (a *responseWriter) startFrame(whole bool) {
	var room [HeaderSize]byte
	a.frame = append(a.frame[:0], room[:]...)
	if a.headerSent {
		return
	}
	a.headerSent = true
	length, err := strconv.ParseInt(a.header.Get("Content-Length"), 10, 64)
	switch {
	case err == nil:
		a.remaining = length
	case a.noBody:
	case whole:
		a.remaining = int64(len(a.body))
		a.header.Set("Content-Length", strconv.Itoa(len(a.body)))
	default:
		a.chunked = true
		a.header.Set("Transfer-Encoding", "chunked")
	}
	head := bytes.NewBuffer(a.frame)
	head.WriteString("HTTP/1.1 " + strconv.Itoa(a.status) + " " + http.StatusText(a.status) + "\r\n")
	_ = a.header.Write(head) // a bytes.Buffer never fails
	head.WriteString("\r\n")
	a.frame = head.Bytes()
}

// appendBody moves the buffered body to the frame.
func (a *responseWriter) appendBody() {
	body := a.body
	a.body = a.body[:0]
	if len(body) == 0 || a.noBody {
		return
	}
	if a.chunked {
		a.frame = strconv.AppendInt(a.frame, int64(len(body)), 16)
		a.frame = append(append(append(a.frame, "\r\n"...), body...), "\r\n"...)
		return
	}
	if a.remaining -= int64(len(body)); a.remaining < 0 {
		a.err = errTooLong
		return
	}
	a.frame = append(a.frame, body...)
}

// sendFrame sends the frame, unless an intermediate one is empty.
func (a *responseWriter) sendFrame(k kind) {
	if a.err != nil || k == kindData && len(a.frame) <= HeaderSize {
		return
	}
	putHeader(a.frame, k, a.number, len(a.frame)-HeaderSize)
	a.err = a.conn.write(a.frame)
	a.frame = a.frame[:0]
}
