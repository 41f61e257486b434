// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gopkg.in/tomb.v2"

	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/modules/peernet"
	"madderway/modules/wire"
	"madderway/services/relay"
)

// nopHandler ignores frames and calls of peers.
type nopHandler struct{}

func (nopHandler) HandleFrame(string, *wire.Frame)           {}
func (nopHandler) HandleCall(string, *wire.Call) *wire.Reply { return &wire.Reply{} }

// newRelay returns a relay to another gateway that serves requests by h.
func newRelay(t *testing.T, h http.Handler) *relay.Service {
	t.Helper()
	const key = "a key of the test"
	version := func() uint64 { return 1 }
	var owner tomb.Tomb
	t.Cleanup(func() {
		owner.Kill(nil)
		_ = owner.Wait()
	})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peernet.NewRelayServer(&owner, log.New("far"), peernet.NewSharedKey("far", key), &peernet.Meter{}, l, nopHandler{}, relay.NewServer(log.New("far"), h, 4<<20, version))
	s := relay.New(&owner, log.New("relay"), relay.Options{Auth: peernet.NewSharedKey("near", key), Meter: &peernet.Meter{}, Clock: clock.System{}, Version: version, MaxBuffered: 8 << 20})
	s.SetPeers([]relay.Peer{{ID: "far", Address: l.Addr().String(), Strength: 1}})
	return s
}

// serveRelay runs a server that hands over requests with the key "moved".
func serveRelay(t *testing.T, r Relay) (near *Server, early *keyAdmission, address string) {
	t.Helper()
	near, early, address = newEarlyServer(t, 10)
	near.SetRelay(r)
	go func() { _ = near.Serve() }()
	return near, early, address
}

// Requests and answers of all sizes must pass whole, and the caller's connection must stay
// usable, also for a request that is sent during the hand-over.
func TestHandOverReturnsPeerAnswer(t *testing.T) {
	began, sent := make(chan struct{}), make(chan struct{})
	far := newRelay(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		began <- struct{}{}
		<-sent
		w.Header().Set("Carrier", relay.HandedOverBy(r.Context()))
		for part := body; len(part) > 0; part = part[min(len(part), 3000):] {
			_, _ = w.Write(part[:min(len(part), 3000)])
			if len(body) > 10_000 {
				_ = http.NewResponseController(w).Flush()
			}
		}
	}))
	_, early, address := serveRelay(t, far)
	c := newCaller(t, address)
	for _, size := range []int{0, 10, 5000, 40_000, 200_000} {
		c.send(post("known", "here"))
		if status, body, _ := c.answer(); status != http.StatusOK || body != "here" {
			t.Fatalf("status %d, %q", status, body)
		}
		want := strings.Repeat("x", size)
		c.send(post("moved", want))
		<-began
		c.send(post("known", "next"))
		sent <- struct{}{}
		status, body, header := c.answer()
		if status != http.StatusOK || body != want || header.Get("Carrier") != "near" || header.Get("Connection") == "close" {
			t.Fatalf("body of %d: status %d, %d bytes, %v", size, status, len(body), header)
		}
		if outcome := <-early.results; outcome.Peer != "far" || outcome.Bytes < int64(size) || outcome.Lost || outcome.CallerDisconnected {
			t.Errorf("got outcome %+v", outcome)
		}
		if status, body, header := c.answer(); status != http.StatusOK || body != "next" || header.Get("Carrier") != "" {
			t.Fatalf("status %d, %q, %v", status, body, header)
		}
	}
}

// If the other gateway fails before it answers, the outcome is unknown; if it fails later, the
// answer must not look complete.
func TestLostHandOverIsReported(t *testing.T) {
	far := newRelay(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > 1 {
			_, _ = io.WriteString(w, "abc")
			_ = http.NewResponseController(w).Flush()
		}
		panic(http.ErrAbortHandler)
	}))
	_, early, address := serveRelay(t, far)
	c := newCaller(t, address)
	c.send(post("moved", "x"))
	status, body, _ := c.answer()
	if status != http.StatusBadGateway || !strings.Contains(body, `"code":3002`) || !strings.Contains(body, `"ran":"unknown"`) {
		t.Errorf("status %d, %q", status, body)
	}
	if outcome := <-early.results; !outcome.Lost || outcome.CallerDisconnected {
		t.Errorf("got outcome %+v", outcome)
	}
	c = newCaller(t, address)
	c.send(post("moved", "xyz"))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if body, err := io.ReadAll(resp.Body); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %q, %v, want an unexpected EOF", body, err)
	}
}

// A caller that leaves must end its request at the other gateway. A partial request is not sent.
func TestCallerLeavingCancelsHandOver(t *testing.T) {
	began, ended := make(chan struct{}), make(chan error)
	far := newRelay(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		ended <- r.Context().Err()
		panic(http.ErrAbortHandler)
	}))
	near, early, address := serveRelay(t, far)
	c := newCaller(t, address)
	c.send("POST /x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer moved\r\nContent-Length: 9\r\n\r\nabc")
	for early.decisions.Load() == 0 { // a request of a closed connection is not decided
		runtime.Gosched()
	}
	_ = c.Close()
	if outcome := <-early.results; !outcome.CallerDisconnected || outcome.Peer != "" {
		t.Errorf("got outcome %+v", outcome)
	}
	c = newCaller(t, address)
	c.send(post("moved", "x"))
	<-began
	if near.HandedOver() != 1 {
		t.Errorf("got %d requests at other gateways, want 1", near.HandedOver())
	}
	_ = c.Close()
	if err := <-ended; err == nil {
		t.Error("the request was not canceled at the other gateway")
	}
	if outcome := <-early.results; !outcome.CallerDisconnected {
		t.Errorf("got outcome %+v", outcome)
	}
}

// A gateway that is late must not serve requests of callers that have disconnected.
func TestRequestOfClosedConnectionIsDropped(t *testing.T) {
	far := newRelay(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("a request of a closed connection was handed over") }))
	near, early, address := newEarlyServer(t, 10)
	near.SetRelay(far)
	for _, key := range []string{"moved", "flood", "known"} {
		c := newCaller(t, address)
		c.send(post(key, "x"))
		_ = c.Close()
	}
	for _, c := range acceptClosed(t, near) {
		if _, err := c.Read(make([]byte, 4096)); err != io.EOF {
			t.Errorf("got %v, want EOF", err)
		}
	}
	if n := early.decisions.Load(); n != 0 {
		t.Errorf("got %d early decisions on closed connections, want 0", n)
	}
}

// awaitFIN waits until the other side has closed the connection.
func awaitFIN(t *testing.T, conn net.Conn) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Control(func(fd uintptr) {
		const seconds = 5
		if n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}, seconds*1000); n != 1 || err != nil {
			t.Errorf("the other side did not close: %v", err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}

// acceptClosed accepts three connections that their callers have closed.
func acceptClosed(t *testing.T, s *Server) []*callerConn {
	t.Helper()
	var out []*callerConn
	for range 3 {
		conn, err := s.listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c := &callerConn{countedConn: &countedConn{Conn: s.traffic.Wrap(conn), open: &s.open}, server: s, stopWatch: make(chan struct{}, 1)}
		awaitFIN(t, conn)
		out = append(out, c)
	}
	return out
}

// If no gateway takes a request, it must be served here, whatever its size.
func TestHandOverWithoutPeersIsServedLocally(t *testing.T) {
	far := newRelay(t, nil)
	far.SetPeers(nil)
	_, early, address := serveRelay(t, far)
	c := newCaller(t, address)
	for _, size := range []int{0, 10, 5000, 200_000} {
		want := strings.Repeat("x", size)
		c.send(post("moved", want))
		if status, body, header := c.answer(); status != http.StatusOK || body != want || header.Get("Admitted") != "true" {
			t.Errorf("status %d, %d bytes, %v", status, len(body), header)
		}
		if outcome := <-early.results; outcome.Peer != "" || outcome.Lost || outcome.CallerDisconnected {
			t.Errorf("got outcome %+v", outcome)
		}
	}
	c.send(post("flood", "x"))
	if status, _, _ := c.answer(); status != http.StatusServiceUnavailable {
		t.Errorf("got status %d for the next request, want an early refusal", status)
	}
}

// Answers must be framed as by an HTTP server: with a length if known, in chunks if not, and
// without a body where none is allowed.
func TestHandOverAnswerFraming(t *testing.T) {
	far := newRelay(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/none":
			w.WriteHeader(http.StatusNoContent)
		case "/short":
			w.Header().Set("Content-Length", "9")
			_, _ = io.WriteString(w, "abc")
		default:
			w.Header().Set("Content-Length", "3")
			w.Header().Set("Two\r\nLines", "a\r\nb")
			_, _ = io.WriteString(w, "abc")
		}
	}))
	_, _, address := serveRelay(t, far)
	head := func(method, path string) string {
		return method + " " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer moved\r\n\r\n"
	}
	for _, x := range []struct {
		method, path, body string
		status             int
	}{{"GET", "/x", "abc", 200}, {"HEAD", "/x", "", 200}, {"GET", "/none", "", 204}} {
		c := dial(t, address)
		_, _ = io.WriteString(c, head(x.method, x.path))
		req, _ := http.NewRequest(x.method, "/", nil)
		resp, err := http.ReadResponse(bufio.NewReader(c), req)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != x.status || string(body) != x.body || len(resp.Header) > 1 {
			t.Errorf("%s %s: status %d, %q, %v, %v", x.method, x.path, resp.StatusCode, body, resp.Header, err)
		}
	}
	c := newCaller(t, address)
	c.send(head("GET", "/short"))
	if status, _, _ := c.answer(); status != http.StatusBadGateway {
		t.Errorf("got status %d for an answer that is too short, want 502", status)
	}
}

// Guards against a request that is handed over with all of its caller's time after it has waited, and
// against one that is handed over when no time is left.
func TestHandOverTellsRemainingTime(t *testing.T) {
	told := make(chan string, 1)
	far := newRelay(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { told <- r.Header.Get("Deadline-Ms") }))
	_, early, address := serveRelay(t, far)
	request := strings.Replace(post("moved", "x"), "\r\n", "\r\nDeadline-Ms: 60000\r\n", 1)
	for _, c := range []struct {
		leavesIn time.Duration
		status   int
	}{
		{40 * time.Second, http.StatusOK},
		{minHandOverTime / 2, http.StatusServiceUnavailable},
		{-time.Second, http.StatusServiceUnavailable},
	} {
		early.leavesIn = c.leavesIn
		caller := newCaller(t, address)
		caller.send(request)
		status, _, _ := caller.answer()
		if status != c.status {
			t.Errorf("%v left: got status %d, want %d", c.leavesIn, status, c.status)
		}
		if status != http.StatusOK {
			continue
		}
		ms, err := strconv.Atoi(<-told)
		if most := c.leavesIn.Milliseconds(); err != nil || int64(ms) > most || ms <= 0 {
			t.Errorf("the other gateway was told %d ms, %v, want at most %d", ms, err, most)
		}
	}
	if len(told) > 0 {
		t.Error("a request without time left was handed over")
	}
}

// Guards against a request that is handed over late in a stop, whose answer this gateway could not pass on.
func TestHandOverTooLateInStopIsRefused(t *testing.T) {
	far := newRelay(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("the request was handed over") }))
	_, early, address := serveRelay(t, far)
	early.timeLeft = errors.New("the gateway stops")
	c := newCaller(t, address)
	c.send(post("moved", "x"))
	if status, body, _ := c.answer(); status != http.StatusServiceUnavailable {
		t.Errorf("status %d, %q, want 503", status, body)
	}
	if outcome := <-early.results; outcome.Peer != "" || outcome.Lost {
		t.Errorf("got outcome %+v", outcome)
	}
}
