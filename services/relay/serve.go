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
	// maxRequestSize is the most bytes of a request that is handed over.
	maxRequestSize = 512 << 10
	// maxRequests is the most requests of one gateway that are served at once.
	maxRequests = 4096
	// flushSize is how much of an answer is gathered where the handler does not flush.
	flushSize = 32 << 10
)

// Server serves requests that other gateways hand over.
type Server struct {
	log     log.Logger
	handler http.Handler
}

// NewServer returns a server.
func NewServer(logger log.Logger, h http.Handler) *Server { return &Server{logger, h} }

type peerKey struct{}

// HandedOverBy returns the gateway that has handed a request over, or empty.
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
				s.log.Warn("Dropped a connection that carries requests.", "peer", peer, "reason", wrong)
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// serverConn is the far end of a connection on which requests are handed over.
type serverConn struct {
	s    *Server
	ctx  context.Context
	conn net.Conn

	writeMu sync.Mutex // writing is held while a frame is written.

	mu       sync.Mutex
	requests map[uint32]*incomingRequest
}

// incomingRequest is a request, first as it comes, then under way.
type incomingRequest struct {
	raw    []byte
	cancel context.CancelFunc // cancel is nil until the request is whole.
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

// request takes bytes of a request and serves it when it is whole.
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
		f.s.log.Warn("Dropped a request that was handed over.", "peer", HandedOverBy(ctx), "reason", err)
		f.sendControl(kindAborted, number)
		return
	}
	w := &responseWriter{conn: f, number: number, header: http.Header{}, noBody: r.Method == http.MethodHead}
	defer func() {
		if p := recover(); p != nil {
			f.sendControl(kindAborted, number)
			if p != any(http.ErrAbortHandler) {
				f.s.log.Error(fmt.Errorf("panic: %v", p), "A request that was handed over failed.", "peer", HandedOverBy(ctx))
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

// write sends a frame; where that fails the connection ends.
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

// responseWriter is the responseWriter to a request that was handed over, in the form in which the caller
// gets it.
type responseWriter struct {
	conn       *serverConn
	number     uint32
	header     http.Header
	status     int
	noBody     bool   // noBody tells that the request asks for the head only.
	headerSent bool   // begun tells that the head was sent.
	chunked    bool   // chunked tells that the length is not known from the head.
	remaining  int64  // left is how much of the body is still to come where it is.
	body       []byte // body is what was written since the last flush.
	frame      []byte // out is the frame that is being made.
	err        error
}

var errTooLong = errors.New("more than the announced length was written")

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

// FlushError is Flush for http.ResponseController.
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

// startFrame writes the head; whole tells that all of the body was written.
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
	_ = a.header.Write(head) // a buffer takes all
	head.WriteString("\r\n")
	a.frame = head.Bytes()
}

// appendBody puts what was written behind the head.
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

// sendFrame sends the frame that was made.
func (a *responseWriter) sendFrame(k kind) {
	if a.err != nil || k == kindData && len(a.frame) <= HeaderSize {
		return
	}
	putHeader(a.frame, k, a.number, len(a.frame)-HeaderSize)
	a.err = a.conn.write(a.frame)
	a.frame = a.frame[:0]
}
