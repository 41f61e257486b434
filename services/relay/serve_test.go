// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package relay

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"madderway/modules/log"
)

// sendFrame writes a frame of a request.
func sendFrame(t *testing.T, c net.Conn, k kind, payload string) {
	t.Helper()
	b := make([]byte, HeaderSize, HeaderSize+len(payload))
	putHeader(b, k, 1, len(payload))
	if _, err := c.Write(append(b, payload...)); err != nil {
		t.Fatal(err)
	}
}

// Guards against a stop that cuts a request handed over by another gateway while it is received, or
// while its answer is sent.
func TestRequestIsInFlightUntilItsAnswerIsSent(t *testing.T) {
	served := make(chan struct{})
	s := NewServer(log.New("relay"), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "answer")
		close(served)
	}), maxRequestSize, func() uint64 { return 1 })
	near, far := net.Pipe()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.HandleRelay("peer", far)
	}()
	sendFrame(t, near, kindData, "GET / HTTP/1.1\r\n")
	for s.InFlight() != 1 { // until it has begun to be received
	}
	sendFrame(t, near, kindEnd, "Host: h\r\n\r\n")
	<-served
	if got := s.InFlight(); got != 1 {
		t.Errorf("served, not sent: got %d in flight, want 1", got)
	}
	go func() { _, _ = io.Copy(io.Discard, near) }()
	for s.InFlight() != 0 { // until the answer is sent
	}
	sendFrame(t, near, kindData, "GET /")
	for s.InFlight() != 1 {
	}
	_ = near.Close()
	<-ended
	if got := s.InFlight(); got != 0 {
		t.Errorf("the connection has ended: got %d in flight, want 0", got)
	}
}

// frameSizes is a connection that records the sizes of the frames written to it.
type frameSizes struct {
	net.Conn
	largest int
	total   int
}

func (c *frameSizes) Write(b []byte) (int, error) {
	c.largest, c.total = max(c.largest, len(b)), c.total+len(b)
	return len(b), nil
}

func (c *frameSizes) SetWriteDeadline(time.Time) error { return nil }

// Guards against copies of whole answers, of which many wait for one connection.
func TestLongWriteIsSentInPieces(t *testing.T) {
	const (
		size     = 256 << 10
		overhead = 64 // bytes of the frame's and the chunk's framing
	)
	for name, header := range map[string]http.Header{"chunks": {}, "length": {"Content-Length": {strconv.Itoa(size)}}} {
		conn := &frameSizes{}
		w := &responseWriter{conn: &serverConn{conn: conn}, header: header}
		if n, err := w.Write(make([]byte, size)); n != size || err != nil {
			t.Errorf("%s: %d bytes were written, error %v", name, n, err)
		}
		w.finish()
		if conn.total < size || conn.largest > flushSize+overhead+len("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") {
			t.Errorf("%s: %d bytes in frames of up to %d, want %d and some more", name, conn.total, conn.largest, flushSize)
		}
	}
}
