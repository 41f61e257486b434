// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package relay

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gopkg.in/tomb.v2"

	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/modules/peernet"
	"madderway/modules/wire"
)

const key = "a key of the test"

// remoteGateway answers requests with their path, a request for "/wait" only after release.
type remoteGateway struct {
	Peer
	t       *tomb.Tomb
	blocked chan struct{} // receives a value for each request for /wait
	release chan struct{}
	version atomic.Uint64 // of its configuration
	server  *Server
}

func (*remoteGateway) HandleFrame(string, *wire.Frame) {}

func (*remoteGateway) HandleCall(string, *wire.Call) *wire.Reply { return &wire.Reply{} }

func (f *remoteGateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/wait" {
		f.blocked <- struct{}{}
		select {
		case <-f.release:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	if r.URL.Path == "/long" {
		_, _ = io.WriteString(w, strings.Repeat("x", longResponseSize))
	}
	_, _ = io.WriteString(w, r.URL.Path)
}

// longResponseSize exceeds the buffers of a connectionPair.
const longResponseSize = 300 << 10

func newRemoteGateway(t *testing.T, id string) *remoteGateway {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &remoteGateway{
		Peer: Peer{ID: id, Incarnation: 1, Address: l.Addr().String(), Strength: 0.2}, t: &tomb.Tomb{},
		blocked: make(chan struct{}, 8), release: make(chan struct{}),
	}
	f.server = NewServer(log.New("far"), f, 8*maxRequestSize, f.version.Load)
	peernet.NewRelayServer(f.t, log.New("far"), peernet.NewSharedKey(id, key), &peernet.Meter{}, l, f, f.server)
	t.Cleanup(f.stop)
	return f
}

func (f *remoteGateway) stop() {
	f.t.Kill(nil)
	_ = f.t.Wait()
}

// noVersion is the version of a gateway without a configuration.
func noVersion() uint64 { return 0 }

func newService(t *testing.T, key string, c clock.Clock) *Service {
	t.Helper()
	var owner tomb.Tomb
	s := New(&owner, log.New("relay"), Options{Auth: peernet.NewSharedKey("near", key), Meter: &peernet.Meter{}, Clock: c, Version: noVersion, MaxBuffered: 8 * maxBuffered})
	t.Cleanup(func() {
		owner.Kill(nil)
		_ = owner.Wait()
	})
	return s
}

// connectionPair returns both ends of a connection with small buffers.
func connectionPair(t *testing.T) (near, caller net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if caller, err = net.Dial("tcp4", l.Addr().String()); err == nil {
		near, err = l.Accept()
	}
	if err != nil {
		t.Fatal(err)
	}
	const small = 2 * untimedBytes
	_, _ = caller.(*net.TCPConn).SetReadBuffer(small), near.(*net.TCPConn).SetWriteBuffer(small)
	t.Cleanup(func() { _ = caller.Close() })
	return near, caller
}

// sendRequest hands a request for a path over and returns the caller's end of its connection.
func sendRequest(t *testing.T, s *Service, path string) (*Handover, net.Conn, error) {
	t.Helper()
	near, caller := connectionPair(t)
	h, err := s.Send(t.Context(), append(make([]byte, HeaderSize), "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"...), near, neverDisconnects)
	return h, caller, err
}

func neverDisconnects() error { return nil }

// checkResponse reads the caller's response and waits for the end of the handover.
func checkResponse(t *testing.T, h *Handover, caller net.Conn, want string) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || !strings.HasSuffix(string(body), want) || want == "/long" && len(body) != longResponseSize+len(want) {
		t.Fatalf("wrong body of %d bytes, error %v", len(body), err)
	}
	<-h.Done()
	if bytes, complete := h.Result(); !complete || bytes < int64(len(body)) {
		t.Errorf("%d bytes delivered for a body of %d, complete %v", bytes, len(body), complete)
	}
}

// Concurrent requests on one connection get their own responses, in any order.
func TestConcurrentResponsesReachTheirCallers(t *testing.T) {
	s, f := newService(t, key, clock.System{}), newRemoteGateway(t, "far")
	s.SetPeers([]Peer{f.Peer})
	slow, slowCaller, err := sendRequest(t, s, "/wait")
	if err != nil {
		t.Fatal(err)
	}
	<-f.blocked
	for _, path := range []string{"/a", "/b", "/c"} {
		h, caller, err := sendRequest(t, s, path)
		if err != nil {
			t.Fatal(err)
		}
		checkResponse(t, h, caller, path)
	}
	close(f.release)
	checkResponse(t, slow, slowCaller, "/wait")
}

// A caller that reads slowly does not delay others and gets its complete response.
func TestSlowCallerDoesNotBlockOthers(t *testing.T) {
	s, f := newService(t, key, clock.System{}), newRemoteGateway(t, "far")
	s.SetPeers([]Peer{f.Peer})
	slow, slowCaller, err := sendRequest(t, s, "/long")
	if err != nil {
		t.Fatal(err)
	}
	h, caller, err := sendRequest(t, s, "/other")
	if err != nil {
		t.Fatal(err)
	}
	checkResponse(t, h, caller, "/other")
	checkResponse(t, slow, slowCaller, "/long")
}

// Cancel and Disconnect end requests in flight, which then count as incomplete.
func TestCancelAndDisconnectEndRequests(t *testing.T) {
	s, f := newService(t, key, clock.System{}), newRemoteGateway(t, "far")
	s.SetPeers([]Peer{f.Peer})
	canceled, _, err := sendRequest(t, s, "/wait")
	if err != nil {
		t.Fatal(err)
	}
	<-f.blocked
	canceled.Cancel()
	<-canceled.Done()
	lost, _, err := sendRequest(t, s, "/wait")
	if err != nil {
		t.Fatal(err)
	}
	<-f.blocked
	s.Disconnect("far")
	<-lost.Done()
	for _, h := range []*Handover{canceled, lost} {
		if bytes, complete := h.Result(); bytes != 0 || complete {
			t.Errorf("Result() = %d bytes, complete %v; want 0, false", bytes, complete)
		}
	}
	s.SetPeers(nil)
	if _, _, err := sendRequest(t, s, "/a"); !errors.Is(err, ErrNoPeer) || s.Available() {
		t.Errorf("Send without peers: error %v, want ErrNoPeer", err)
	}
}

// A gateway that refuses connections is skipped for a while in favor of others.
func TestUnreachableGatewayIsSkipped(t *testing.T) {
	c := clock.NewFake()
	s, f, gone := newService(t, key, c), newRemoteGateway(t, "far"), newRemoteGateway(t, "gone")
	gone.stop()
	s.SetPeers([]Peer{f.Peer, gone.Peer})
	for range 20 {
		h, caller, err := sendRequest(t, s, "/a")
		if err != nil {
			t.Fatal(err)
		}
		checkResponse(t, h, caller, "/a")
	}
	s.SetPeers([]Peer{gone.Peer})
	if _, _, err := sendRequest(t, s, "/a"); err == nil || s.Available() {
		t.Errorf("unreachable gateway still available, or Send succeeded: error %v", err)
	}
	c.Advance(5 * time.Second)
	if !s.Available() {
		t.Error("gateway is still skipped after 5 s")
	}
}

// Requests of a gateway with another key are not served.
func TestWrongKeyIsRejected(t *testing.T) {
	s, f := newService(t, "another key", clock.System{}), newRemoteGateway(t, "far")
	s.SetPeers([]Peer{f.Peer})
	h, _, err := sendRequest(t, s, "/a")
	if err != nil {
		return // the connection was closed before the request was written
	}
	<-h.Done()
	if bytes, complete := h.Result(); bytes != 0 || complete {
		t.Errorf("Result() = %d bytes, complete %v; want 0, false", bytes, complete)
	}
}

// silentConn accepts all writes and never sends.
type silentConn struct {
	net.Conn
	closed chan struct{}
}

func (c *silentConn) Write(b []byte) (int, error)      { return len(b), nil }
func (c *silentConn) SetWriteDeadline(time.Time) error { return nil }
func (c *silentConn) Close() error {
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	return nil
}

// A silent connection is closed and its requests end; an unused one is closed only after
// idleTimeout.
func TestSilentConnectionEnds(t *testing.T) {
	c := clock.NewFake()
	s := newService(t, key, c)
	near, _ := connectionPair(t)
	for _, used := range []bool{true, false} {
		tunnel := newTunnel(&silentConn{closed: make(chan struct{})}, clock.System{})
		h := &Handover{s: s, Peer: "far", caller: near, tunnel: tunnel, done: make(chan struct{})}
		if used {
			if err := tunnel.send(h, make([]byte, HeaderSize+1), neverDisconnects); err != nil {
				t.Fatal(err)
			}
		}
		ended, probes := make(chan struct{}), 0
		go func() {
			tunnel.probeLoop(c)
			close(ended)
		}()
		for over := false; !over; {
			select {
			case <-ended:
				over = true
			default:
				if c.PendingTimers() > 0 {
					c.Advance(probeInterval)
					probes++
				}
			}
		}
		if want := map[bool]int{true: maxMissedProbes, false: int(idleTimeout / probeInterval)}[used]; probes < want || probes > want+2 {
			t.Errorf("used %v: closed after %d probes", used, probes)
		}
		if used {
			<-h.Done()
		}
	}
}

// Payloads come out of the decoder unchanged, however reads divide the frames.
func FuzzDecoder(f *testing.F) {
	f.Add([]byte("some bytes"), []byte("of two frames"), uint8(3))
	f.Add([]byte{}, []byte{0}, uint8(0))
	f.Fuzz(func(t *testing.T, first, second []byte, size uint8) {
		if len(first) > maxFrameSize || len(second) > maxFrameSize {
			return
		}
		var sent []byte
		for i, b := range [][]byte{first, second} {
			var head [HeaderSize]byte
			putHeader(head[:], kindData+kind(i), uint32(i), len(b))
			sent = append(append(sent, head[:]...), b...)
		}
		var d decoder
		got, lasts := [2]string{}, [2]int{}
		for len(sent) > 0 {
			n := min(int(size)+1, len(sent))
			err := d.feed(sent[:n], func(fr frame, piece []byte, last bool) {
				if fr.kind != kindData+kind(fr.number) {
					t.Fatalf("frame %+v has the wrong kind", fr)
				}
				got[fr.number] += string(piece)
				if last {
					lasts[fr.number]++
				}
			})
			if err != nil {
				t.Fatal(err)
			}
			sent = sent[n:]
		}
		if got[0] != string(first) || got[1] != string(second) || lasts != [2]int{1, 1} {
			t.Fatalf("payloads = %q, ends = %v; want the payloads sent and one end each", got, lasts)
		}
	})
}

// Unknown kinds and oversized frames are errors.
func TestDecoderRejectsMalformedFrames(t *testing.T) {
	for _, b := range []string{"GET / HTTP/1.1\r\n", "\x00\x00\x00\x00\x00\x00\x00\x00\x00", "\x01\x00\x00\x00\x00\xff\xff\xff\xff"} {
		var d decoder
		if err := d.feed([]byte(b), func(frame, []byte, bool) {}); err == nil {
			t.Errorf("%q was accepted as a frame", b)
		}
	}
}

// blockingConn blocks each write until release.
type blockingConn struct {
	net.Conn
	writes  chan int      // receives the size of each write
	release chan struct{} // lets one write return
}

func (c *blockingConn) Write(b []byte) (int, error) {
	c.writes <- len(b)
	<-c.release
	return len(b), nil
}
func (c *blockingConn) SetWriteDeadline(time.Time) error { return nil }
func (c *blockingConn) Close() error                     { return nil }

// An overloaded gateway must not send requests of callers that have disconnected meanwhile, and
// cancellations must not wait behind requests.
func TestDisconnectedCallersRequestsAreNotWritten(t *testing.T) {
	s := newService(t, key, clock.System{})
	near, _ := connectionPair(t)
	conn := &blockingConn{writes: make(chan int), release: make(chan struct{})}
	tunnel := newTunnel(conn, clock.System{})
	const size = 16 << 10
	send := func(check func() error) (*Handover, chan error) {
		h := &Handover{s: s, Peer: "far", caller: near, tunnel: tunnel, done: make(chan struct{})}
		sent := make(chan error, 1)
		go func() { sent <- tunnel.send(h, make([]byte, size), check) }()
		return h, sent
	}
	_, first := send(neverDisconnects)
	if n := <-conn.writes; n != size {
		t.Fatalf("%d bytes of the first request were written", n)
	}
	asked := make(chan struct{})
	_, gone := send(func() error {
		close(asked)
		return ErrCallerDisconnected
	})
	canceled, _ := send(neverDisconnects)
	for waiting := false; !waiting; runtime.Gosched() {
		tunnel.mu.Lock()
		waiting = len(tunnel.inFlight) == 3
		tunnel.mu.Unlock()
	}
	canceled.Cancel() // returns although writes block
	conn.release <- struct{}{}
	if n := <-conn.writes; n != HeaderSize {
		t.Errorf("%d bytes were written before the cancellation", n)
	}
	close(conn.release)
	go func() {
		for range conn.writes {
		}
	}()
	if err := <-first; err != nil {
		t.Error(err)
	}
	<-asked
	if err := <-gone; !errors.Is(err, ErrCallerDisconnected) {
		t.Errorf("send for a disconnected caller: error %v, want ErrCallerDisconnected", err)
	}
}

// With a goroutine and a lock per request, each write of an overloaded process would wait for
// the next goroutine to be scheduled.
func TestOneGoroutineWritesAllRequests(t *testing.T) {
	s := newService(t, key, clock.System{})
	conn := &blockingConn{writes: make(chan int), release: make(chan struct{})}
	tunnel := newTunnel(conn, clock.System{})
	var mu sync.Mutex
	writers := map[string]int{}
	countWriter := func() error {
		mu.Lock()
		defer mu.Unlock()
		writers[goroutineID()]++
		return nil
	}
	const requests = 20
	sent := make(chan error, requests)
	for range requests {
		near, _ := connectionPair(t)
		h := &Handover{s: s, Peer: "far", caller: near, tunnel: tunnel, done: make(chan struct{})}
		go func() { sent <- tunnel.send(h, make([]byte, HeaderSize), countWriter) }()
	}
	close(conn.release)
	go func() {
		for range conn.writes {
		}
	}()
	for range requests {
		if err := <-sent; err != nil {
			t.Error(err)
		}
	}
	checks := 0
	for _, n := range writers {
		checks += n
	}
	if len(writers) != 1 || checks != requests {
		t.Errorf("%d goroutines wrote %d of %d requests, want 1 to write all", len(writers), checks, requests)
	}
}

// goroutineID returns the number of the calling goroutine.
func goroutineID() string {
	var b [64]byte
	fields := strings.Fields(string(b[:runtime.Stack(b[:], false)]))
	return fields[1]
}

// A request that has waited longer than maxWait is returned unsent; oldestWait reports the wait
// meanwhile.
func TestRequestsThatWaitTooLongAreNotWritten(t *testing.T) {
	s := newService(t, key, clock.System{})
	near, _ := connectionPair(t)
	conn := &blockingConn{writes: make(chan int), release: make(chan struct{})}
	c := clock.NewFake()
	tunnel := newTunnel(conn, c)
	send := func() chan error {
		h := &Handover{s: s, Peer: "far", caller: near, tunnel: tunnel, done: make(chan struct{})}
		sent := make(chan error, 1)
		go func() { sent <- tunnel.send(h, make([]byte, HeaderSize), neverDisconnects) }()
		return sent
	}
	first := send()
	<-conn.writes
	late := send()
	for waiting := 0; waiting < 1; runtime.Gosched() {
		tunnel.mu.Lock()
		waiting = len(tunnel.queue)
		tunnel.mu.Unlock()
	}
	c.Advance(maxWait + time.Millisecond)
	if w := tunnel.oldestWait(c.Now()); w <= maxWait {
		t.Errorf("oldestWait = %v, want more than maxWait", w)
	}
	conn.release <- struct{}{}
	if err := <-first; err != nil {
		t.Error(err)
	}
	if err := <-late; !errors.Is(err, ErrCongested) {
		t.Errorf("send after maxWait: error %v, want ErrCongested", err)
	}
	if w := tunnel.oldestWait(c.Now()); w != 0 {
		t.Errorf("oldestWait = %v with an empty queue, want 0", w)
	}
}
