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
	// maxRequest is the most bytes of a request that is handed over.
	maxRequest = 512 << 10
	// maxServed is the most requests of one gateway that are served at once.
	maxServed = 4096
	// pieceSize is how much of an answer is gathered where the handler does not flush.
	pieceSize = 32 << 10
)

// Server serves requests that other gateways hand over.
type Server struct {
	log     log.Logger
	handler http.Handler
}

// NewServer returns a server.
func NewServer(logger log.Logger, h http.Handler) *Server { return &Server{logger, h} }

type carrierKey struct{}

// HandedOverBy returns the gateway that has handed a request over, or empty.
func HandedOverBy(ctx context.Context) string {
	carrier, _ := ctx.Value(carrierKey{}).(string)
	return carrier
}

// HandleRelay implements peernet.Carrier.
func (s *Server) HandleRelay(peer string, conn net.Conn) {
	ctx, cancel := context.WithCancel(context.WithValue(context.Background(), carrierKey{}, peer))
	defer cancel()
	f := &farEnd{s: s, ctx: ctx, conn: conn, requests: map[uint32]*served{}}
	defer conn.Close()
	buffer := make([]byte, readSize)
	var d decoder
	for {
		n, err := conn.Read(buffer)
		if n > 0 {
			if wrong := d.feed(buffer[:n], f.take); wrong != nil {
				s.log.Warn("Dropped a connection that carries requests.", "peer", peer, "reason", wrong)
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// farEnd is the far end of a connection on which requests are handed over.
type farEnd struct {
	s    *Server
	ctx  context.Context
	conn net.Conn

	writing sync.Mutex // writing is held while a frame is written.

	mu       sync.Mutex
	requests map[uint32]*served
}

// served is a request, first as it comes, then under way.
type served struct {
	raw    []byte
	cancel context.CancelFunc // cancel is nil until the request is whole.
}

func (f *farEnd) take(fr frame, piece []byte, last bool) {
	switch fr.kind {
	case kindProbe:
		f.signal(kindProbe, 0)
	case kindCancel:
		f.cancelRequest(fr.number)
	case kindPart, kindEnd:
		f.request(fr.number, piece, last && fr.kind == kindEnd)
	case kindBroken:
	}
}

// request takes bytes of a request and serves it when it is whole.
func (f *farEnd) request(number uint32, piece []byte, whole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.requests[number]
	if r == nil {
		r = &served{}
		f.requests[number] = r
	}
	r.raw = append(r.raw, piece...)
	if r.cancel != nil || len(r.raw) > maxRequest || len(f.requests) > maxServed {
		delete(f.requests, number)
		go f.signal(kindBroken, number)
		return
	}
	if !whole {
		return
	}
	var ctx context.Context
	ctx, r.cancel = context.WithCancel(f.ctx)
	go f.serve(ctx, number, r.raw)
}

func (f *farEnd) cancelRequest(number uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.requests[number]; r != nil && r.cancel != nil {
		r.cancel()
	}
}

func (f *farEnd) ended(number uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.requests[number]; r != nil {
		r.cancel()
		delete(f.requests, number)
	}
}

// serve answers a request as an HTTP server would.
func (f *farEnd) serve(ctx context.Context, number uint32, raw []byte) {
	defer f.ended(number)
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
	if err != nil {
		f.s.log.Warn("Dropped a request that was handed over.", "peer", HandedOverBy(ctx), "reason", err)
		f.signal(kindBroken, number)
		return
	}
	w := &answer{far: f, number: number, header: http.Header{}, noBody: r.Method == http.MethodHead}
	defer func() {
		if p := recover(); p != nil {
			f.signal(kindBroken, number)
			if p != any(http.ErrAbortHandler) {
				f.s.log.Error(fmt.Errorf("panic: %v", p), "A request that was handed over failed.", "peer", HandedOverBy(ctx))
			}
		}
	}()
	f.s.handler.ServeHTTP(w, r.WithContext(ctx))
	w.finish()
}

func (f *farEnd) signal(k kind, number uint32) {
	var b [HeaderSize]byte
	putHead(b[:], k, number, 0)
	f.write(b[:])
}

// write sends a frame; where that fails the connection ends.
func (f *farEnd) write(b []byte) error {
	f.writing.Lock()
	defer f.writing.Unlock()
	err := f.conn.SetWriteDeadline(netopt.DeadlineIn(frameTime))
	if err == nil {
		_, err = f.conn.Write(b)
	}
	if err != nil {
		_ = f.conn.Close()
	}
	return err
}

// answer is the answer to a request that was handed over, in the form in which the caller
// gets it.
type answer struct {
	far     *farEnd
	number  uint32
	header  http.Header
	status  int
	noBody  bool   // noBody tells that the request asks for the head only.
	begun   bool   // begun tells that the head was sent.
	chunked bool   // chunked tells that the length is not known from the head.
	left    int64  // left is how much of the body is still to come where it is.
	body    []byte // body is what was written since the last flush.
	out     []byte // out is the frame that is being made.
	err     error
}

var errTooLong = errors.New("more than the announced length was written")

var _ http.Flusher = (*answer)(nil)

// Header implements http.ResponseWriter.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) {
	if a.status == 0 {
		a.status = status
	}
}

// Write implements http.ResponseWriter.
func (a *answer) Write(b []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	if a.err != nil {
		return 0, a.err
	}
	if a.body = append(a.body, b...); len(a.body) >= pieceSize {
		a.Flush()
	}
	return len(b), a.err
}

// Flush implements http.Flusher.
func (a *answer) Flush() { _ = a.FlushError() }

// FlushError is Flush for http.ResponseController.
func (a *answer) FlushError() error {
	a.WriteHeader(http.StatusOK)
	if a.err == nil {
		a.begin(false)
		a.addBody()
		a.send(kindPart)
	}
	return a.err
}

// finish ends the answer.
func (a *answer) finish() {
	a.WriteHeader(http.StatusOK)
	if a.err == nil {
		a.begin(true)
		a.addBody()
	}
	switch {
	case a.err != nil, !a.chunked && a.left > 0 && !a.noBody:
		a.far.signal(kindBroken, a.number)
		return
	case a.chunked && !a.noBody:
		a.out = append(a.out, "0\r\n\r\n"...)
	}
	a.send(kindEnd)
}

// begin writes the head; whole tells that all of the body was written.
func (a *answer) begin(whole bool) {
	var room [HeaderSize]byte
	a.out = append(a.out[:0], room[:]...)
	if a.begun {
		return
	}
	a.begun = true
	length, err := strconv.ParseInt(a.header.Get("Content-Length"), 10, 64)
	switch {
	case err == nil:
		a.left = length
	case a.noBody:
	case whole:
		a.left = int64(len(a.body))
		a.header.Set("Content-Length", strconv.Itoa(len(a.body)))
	default:
		a.chunked = true
		a.header.Set("Transfer-Encoding", "chunked")
	}
	head := bytes.NewBuffer(a.out)
	head.WriteString("HTTP/1.1 " + strconv.Itoa(a.status) + " " + http.StatusText(a.status) + "\r\n")
	_ = a.header.Write(head) // a buffer takes all
	head.WriteString("\r\n")
	a.out = head.Bytes()
}

// addBody puts what was written behind the head.
func (a *answer) addBody() {
	body := a.body
	a.body = a.body[:0]
	if len(body) == 0 || a.noBody {
		return
	}
	if a.chunked {
		a.out = strconv.AppendInt(a.out, int64(len(body)), 16)
		a.out = append(append(append(a.out, "\r\n"...), body...), "\r\n"...)
		return
	}
	if a.left -= int64(len(body)); a.left < 0 {
		a.err = errTooLong
		return
	}
	a.out = append(a.out, body...)
}

// send sends the frame that was made.
func (a *answer) send(k kind) {
	if a.err != nil || k == kindPart && len(a.out) <= HeaderSize {
		return
	}
	putHead(a.out, k, a.number, len(a.out)-HeaderSize)
	a.err = a.far.write(a.out)
	a.out = a.out[:0]
}
