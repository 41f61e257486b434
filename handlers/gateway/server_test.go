// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"madderway/models/routing"
	"madderway/modules/log"
	"madderway/modules/netopt"
)

// flakyListener fails the first accepts, as when file descriptors run out.
type flakyListener struct {
	net.Listener
	failures int
}

func (f *flakyListener) Accept() (net.Conn, error) {
	if f.failures > 0 {
		f.failures--
		return nil, errors.New("too many open files")
	}
	return f.Listener.Accept()
}

func serve(t *testing.T, failures, maxOpen int, h http.Handler) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(log.New("callers"), &flakyListener{l, failures}, h, maxOpen, &netopt.Traffic{})
	ended := make(chan error, 1)
	go func() { ended <- s.Serve() }()
	t.Cleanup(func() {
		s.Close()
		if err := <-ended; err != nil {
			t.Errorf("Serve returned %v before Close", err)
		}
	})
	return s, l.Addr().String()
}

func ask(t *testing.T, c net.Conn) int {
	t.Helper()
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

var okHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })

// A lack of file descriptors must not end the server.
func TestServerRetriesFailedAccept(t *testing.T) {
	_, address := serve(t, 3, 10, okHandler)
	if got := ask(t, dial(t, address)); got != http.StatusOK {
		t.Errorf("got status %d after failed accepts, want 200", got)
	}
}

func TestServerRefusesConnectionsBeyondLimit(t *testing.T) {
	s, address := serve(t, 0, 2, okHandler)
	one, two := dial(t, address), dial(t, address)
	if ask(t, one) != http.StatusOK || ask(t, two) != http.StatusOK {
		t.Fatal("a connection within the limit was refused")
	}
	if got := ask(t, dial(t, address)); got != http.StatusServiceUnavailable && got != 0 {
		t.Errorf("got status %d on a connection beyond the limit, want 503", got)
	}
	_ = one.Close()
	for s.Open() > 1 { // until the server has seen the end
	}
	if got := ask(t, dial(t, address)); got != http.StatusOK {
		t.Errorf("got status %d after a connection ended, want 200", got)
	}
}

// Idle connections of callers must not use up the limit.
func TestServerClosesConnectionsNearLimit(t *testing.T) {
	const maxOpen = 8
	s, address := serve(t, 0, maxOpen, okHandler)
	for i := range 5 * maxOpen {
		before := s.Open()
		if got := ask(t, dial(t, address)); got != http.StatusOK {
			t.Fatalf("connection %d got status %d with %d open, want 200", i, got, before)
		}
		for s.Open() > maxOpen-maxOpen/reservedFraction { // until the server has closed it
		}
	}
	if s.TurnedAway() != 0 || s.Open() < maxOpen/2 {
		t.Errorf("got %d connections turned away and %d open, want none turned away and at least half of the limit open", s.TurnedAway(), s.Open())
	}
}

// New limits must not cut open connections.
func TestSetLimitsAppliesToNewConnections(t *testing.T) {
	s, address := serve(t, 0, 10, okHandler)
	old := dial(t, address)
	if ask(t, old) != http.StatusOK {
		t.Fatal("no answer before the change")
	}
	s.SetLimits(routing.Limits{MaxHeaderBytes: 100, HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
	if ask(t, old) != http.StatusOK {
		t.Error("a connection opened before the change was cut")
	}
	c := dial(t, address)
	go func() {
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nLong: "+strings.Repeat("x", 40<<10)+"\r\n\r\n")
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("got status %d for a header beyond the new limit, want 431", resp.StatusCode)
	}
}
