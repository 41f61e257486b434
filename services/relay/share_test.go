// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package relay

import (
	"io"
	"net"
	"testing"
	"time"

	"madderway/modules/clock"
)

// turnConn stands for a connection of an overloaded process: while a write gives the processor up,
// other goroutines run for a turn, and more requests arrive.
type turnConn struct {
	net.Conn
	clock   *clock.Fake
	turn    time.Duration
	written func(number uint32)
	arrive  func()
	decoder decoder
}

func (c *turnConn) Write(b []byte) (int, error) {
	c.clock.Advance(c.turn)
	c.arrive()
	err := c.decoder.feed(b, func(f frame, _ []byte, last bool) {
		if last {
			c.written(f.number)
		}
	})
	return len(b), err
}
func (c *turnConn) SetWriteDeadline(time.Time) error { return nil }
func (c *turnConn) Close() error                     { return nil }

// A gateway that is overloaded by one account must hand over at least the account's share, from the
// first second of the flood on, although each of its writes waits for the rest of the process.
func TestFloodedGatewayHandsOverTheAccountsShare(t *testing.T) {
	const (
		turn          = 100 * time.Millisecond
		connections   = 6
		seconds       = 8
		requestTokens = 14_500
		requestBytes  = 13 << 10
		asked         = 900.0 / connections       // requests per second
		bestServed    = 4_800_000.0 / connections // tokens per second of the best-served account
	)
	c := clock.NewFake()
	start := c.Now()
	var tunnel *tunnel
	var tokens [seconds]float64
	arrived, done := 0, make(chan struct{})
	arrive := func() {
		since := c.Now().Sub(start)
		if since >= seconds*time.Second {
			close(done)
			select {} // the test has ended
		}
		for ; float64(arrived) < asked*since.Seconds(); arrived++ {
			h := &Handover{tunnel: tunnel, done: make(chan struct{})}
			o := &queuedRequest{frame: make([]byte, requestBytes), enqueuedAt: c.Now(), check: neverDisconnects, result: make(chan error, 1)}
			_ = tunnel.enqueue(h, o) // a full queue refuses the request
		}
		tunnel.wake()
	}
	written := func(uint32) { tokens[min(int(c.Now().Sub(start)/time.Second), seconds-1)] += requestTokens }
	conn := &turnConn{clock: c, turn: turn, written: written, arrive: arrive}
	tunnel = newTunnel(conn, c)
	conn.clock.Advance(turn)
	arrive()
	<-done
	for s, got := range tokens {
		t.Logf("second %d: %.0f tokens handed over, %.0f asked for", s, got, asked*requestTokens)
		if got < bestServed {
			t.Errorf("second %d: %.0f tokens were handed over, want at least the %.0f of the best-served account", s, got, bestServed)
		}
	}
}

// Requests must not be handed over to a gateway that has stopped reading while another one takes them:
// each would wait until the connection fails.
func TestStalledGatewayIsAvoided(t *testing.T) {
	const requests = 200
	c := clock.NewFake()
	s := newService(t, key, c)
	s.SetPeers([]Peer{{ID: "stalled", Strength: 0.2}, {ID: "healthy", Strength: 0.2}})
	conn := &blockingConn{writes: make(chan int), release: make(chan struct{})}
	stalled := newTunnel(conn, c)
	s.peers["stalled"].tunnel.Store(stalled)
	near, _ := connectionPair(t)
	first := make(chan error, 1)
	go func() {
		h := &Handover{s: s, Peer: "stalled", caller: near, tunnel: stalled, done: make(chan struct{})}
		first <- stalled.send(h, make([]byte, HeaderSize), neverDisconnects)
	}()
	<-conn.writes
	c.Advance(2 * stalledAfter)
	chosen := map[string]int{}
	for range requests {
		p := s.choose()
		chosen[p.ID]++
		s.finished(p.ID)
	}
	if chosen["stalled"] > 0 {
		t.Errorf("%d of %d requests for a gateway that has stopped reading", chosen["stalled"], requests)
	}
	close(conn.release)
	if err := <-first; err != nil {
		t.Error(err)
	}
	if s.peers["stalled"].stalled(c.Now()) {
		t.Error("the gateway is avoided although nothing waits for it")
	}
}

// failingConn takes so many bytes and then fails.
type failingConn struct {
	net.Conn
	takes int
	taken func() // called before the failure is reported
}

func (c *failingConn) Write(b []byte) (int, error) {
	if len(b) <= c.takes {
		c.takes -= len(b)
		return len(b), nil
	}
	c.taken()
	return c.takes, io.ErrClosedPipe
}
func (c *failingConn) SetWriteDeadline(time.Time) error { return nil }
func (c *failingConn) Close() error                     { return nil }

// A request that was written whole may have an answer although the write failed behind it. To report it as
// lost would put a second answer into the middle of the first.
func TestFailedWriteReportsEachRequest(t *testing.T) {
	const size = 1 << 10
	c := clock.NewFake()
	conn := &failingConn{takes: size + size/2}
	tunnel := newTunnel(conn, c)
	near, _ := connectionPair(t)
	var results []chan error
	var handovers []*Handover
	tunnel.mu.Lock() // all are queued before the first write
	for range 3 {
		h := &Handover{s: newService(t, key, c), caller: near, tunnel: tunnel, done: make(chan struct{})}
		o := &queuedRequest{frame: make([]byte, size), enqueuedAt: c.Now(), check: neverDisconnects, result: make(chan error, 1)}
		tunnel.lastNumber++
		h.number = tunnel.lastNumber
		tunnel.inFlight[h.number] = h
		tunnel.queue = append(tunnel.queue, o)
		results, handovers = append(results, o.result), append(handovers, h)
	}
	tunnel.mu.Unlock()
	conn.taken = func() {
		tunnel.handleFrame(frame{kind: kindData, number: handovers[0].number}, []byte("HTTP/1.1 200 OK\r\n"), true)
	}
	tunnel.wake()
	if err := <-results[0]; err != nil {
		t.Errorf("a request that was written whole: error %v, want none", err)
	}
	if err := <-results[1]; !IsErrMaybeSent(err) {
		t.Errorf("a request that was written in part: error %v, want ErrMaybeSent", err)
	}
	if err := <-results[2]; err == nil || IsErrMaybeSent(err) {
		t.Errorf("a request that was not written: error %v, want one that allows another gateway", err)
	}
	<-handovers[0].Done()
	if bytes, complete := handovers[0].Result(); bytes == 0 || complete {
		t.Errorf("%d bytes of a response, complete %v, want an incomplete one", bytes, complete)
	}
}
