// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package relay

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"madderway/modules/log"
)

// Guards against the rest of a request that is too long being served as a request of its own.
func TestRestOfRefusedRequestIsNotServed(t *testing.T) {
	served := make(chan string, 2)
	s := NewServer(log.New("relay"), http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { served <- r.URL.Path }), 8*maxRequestSize, noVersion)
	near, far := net.Pipe()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.HandleRelay("peer", far)
	}()
	go func() { _, _ = io.Copy(io.Discard, near) }()
	sendFrame(t, near, kindData, "POST /long HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", maxRequestSize))
	sendFrame(t, near, kindEnd, "GET /rest HTTP/1.1\r\nHost: h\r\n\r\n")
	sendFrame(t, near, kindEnd, "GET /next HTTP/1.1\r\nHost: h\r\n\r\n") // with the number of the first
	if path := <-served; path != "/next" {
		t.Errorf("%s was served", path)
	}
	_ = near.Close()
	<-ended
	for s.InFlight() != 0 { // until the last answer is given up
	}
}

// Guards against a gateway that begins requests without end, each of which is refused and remembered.
func TestConnectionOfEndlessRefusedRequestsIsClosed(t *testing.T) {
	s := NewServer(log.New("relay"), http.NotFoundHandler(), 8*maxRequestSize, noVersion)
	near, far := net.Pipe()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.HandleRelay("peer", far)
	}()
	go func() { _, _ = io.Copy(io.Discard, near) }()
	frame, closed := make([]byte, HeaderSize+1), false
	for n := range uint32(3 * maxRequests) {
		putHeader(frame, kindData, n+1, 1)
		if _, err := near.Write(frame); err != nil {
			closed = true
			break
		}
	}
	if !closed {
		t.Errorf("%d requests that never end are taken on one connection", 3*maxRequests)
	}
	_ = near.Close()
	<-ended
}
