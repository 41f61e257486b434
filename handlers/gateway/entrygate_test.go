// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"madderway/models/routing"
	"madderway/services/relay"
)

// blockedRelay takes no request before release is closed.
type blockedRelay struct {
	inside, most atomic.Int64
	release      chan struct{}
}

func (r *blockedRelay) Send(context.Context, []byte, net.Conn, func() error) (*relay.Handover, error) {
	n := r.inside.Add(1)
	defer r.inside.Add(-1)
	for most := r.most.Load(); n > most && !r.most.CompareAndSwap(most, n); most = r.most.Load() {
	}
	<-r.release
	return nil, relay.ErrCongested
}

// fillGate occupies all places of a server's gate, and lets one more wait since a time. It returns a
// function that empties the gate.
func fillGate(s *Server, since time.Time) (empty func()) {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	inside := 1
	for s.gate.gate.Enter(since, make(chan struct{})) {
		inside++
	}
	return func() {
		for range inside {
			s.gate.leave()
		}
	}
}

// An overloaded gateway must finish what it has begun: if it decides on all requests at once, each step
// of one waits for a step of all others, and none is handed over in time.
func TestFewRequestsAreHandedOverAtATime(t *testing.T) {
	const callers = 100
	r := &blockedRelay{release: make(chan struct{})}
	s, early, address := newEarlyServer(t, 2*callers)
	early.results = make(chan HandOverResult, callers)
	s.SetRelay(r)
	go func() { _ = s.Serve() }()
	var all []*caller
	for range callers {
		c := newCaller(t, address)
		c.send(post("moved", "body"))
		all = append(all, c)
	}
	waiting := func() int {
		s.gate.mu.Lock()
		defer s.gate.mu.Unlock()
		return s.gate.gate.Waiting()
	}
	inside := func() int { return int(r.inside.Load()) }
	for inside()+waiting() < callers {
		runtime.Gosched()
	}
	if waiting() == 0 {
		t.Errorf("%d of %d requests are handed over at a time", inside(), callers)
	}
	close(r.release)
	for _, c := range all {
		if status, _, _ := c.answer(); status != http.StatusServiceUnavailable {
			t.Errorf("status %d, want %d", status, http.StatusServiceUnavailable)
		}
	}
}

// Callers that send bodies slowly must not keep others from being decided on.
func TestSlowBodiesDoNotFillTheGate(t *testing.T) {
	const slow = 100
	s, _, address := newEarlyServer(t, 2*slow)
	s.SetLimits(routing.Limits{HeaderTimeout: time.Hour}) // the slow ones are not cut
	go func() { _ = s.Serve() }()
	for range slow {
		newCaller(t, address).send("POST /x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer flood\r\nContent-Length: 4\r\n\r\nab")
	}
	prompt := newCaller(t, address)
	prompt.send(post("known", "body"))
	if status, body, _ := prompt.answer(); status != http.StatusOK || body != "body" {
		t.Errorf("got %d %q beside slow callers, want 200 and the body", status, body)
	}
}

// New connections must be turned away unread while requests wait for too long: what is accepted then
// would be late.
func TestConnectionsAreTurnedAwayWhileRequestsWait(t *testing.T) {
	s, _, address := newEarlyServer(t, 10)
	empty := fillGate(s, now().Add(-time.Minute))
	go func() { _ = s.Serve() }()
	c := newCaller(t, address)
	if status, _, header := c.answer(); status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("got status %d, Retry-After %q, want 503 with a time to come back", status, header.Get("Retry-After"))
	}
	if s.TurnedAway() != 1 || s.EntryWait(now()) < time.Minute {
		t.Errorf("%d connections turned away, requests wait for %v", s.TurnedAway(), s.EntryWait(now()))
	}
	empty()
	c = newCaller(t, address)
	c.send(post("known", "body"))
	if status, _, _ := c.answer(); status != http.StatusOK {
		t.Errorf("status %d after the wait, want 200", status)
	}
}
