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
	"strings"
	"testing"

	"golang.org/x/sys/unix"
	"gopkg.in/tomb.v2"

	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/modules/peernet"
	"madderway/modules/wire"
	"madderway/services/relay"
)

// noFrames takes nothing from peers.
type noFrames struct{}

func (noFrames) HandleFrame(string, *wire.Frame)           {}
func (noFrames) HandleCall(string, *wire.Call) *wire.Reply { return &wire.Reply{} }

// newRelay returns what hands requests over to another gateway with this handler.
func newRelay(t *testing.T, h http.Handler) *relay.Service {
	t.Helper()
	const key = "a key of the test"
	var owner tomb.Tomb
	t.Cleanup(func() {
		owner.Kill(nil)
		_ = owner.Wait()
	})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peernet.NewRelayServer(&owner, log.New("far"), peernet.NewSharedKey("far", key), &peernet.Meter{}, l, noFrames{}, relay.NewServer(log.New("far"), h))
	s := relay.New(&owner, log.New("relay"), relay.Options{Auth: peernet.NewSharedKey("near", key), Meter: &peernet.Meter{}, Clock: clock.System{}})
	s.SetPeers([]relay.Peer{{ID: "far", Address: l.Addr().String(), Strength: 1}})
	return s
}

// serveRelay runs a server that hands requests with the key "moved" over.
func serveRelay(t *testing.T, r Relay) (near *Server, early *refuseKey, address string) {
	t.Helper()
	near, early, address = newEarlyServer(t, 10)
	near.SetRelay(r)
	go func() { _ = near.Serve() }()
	return near, early, address
}

// Requests that are handed over are answered by the other gateway, whole and with the bodies
// that the caller sent, who may send others on the same connection, also while it waits.
func TestHandedOverRequestIsServedElsewhere(t *testing.T) {
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
		if told := <-early.told; told.Peer != "far" || told.Bytes < int64(size) || told.Lost || told.Gone {
			t.Errorf("told %+v", told)
		}
		if status, body, header := c.answer(); status != http.StatusOK || body != "next" || header.Get("Carrier") != "" {
			t.Fatalf("status %d, %q, %v", status, body, header)
		}
	}
}

// Where the other gateway gives up before it has answered, the caller is told that nobody knows
// what has become of the request; where it does so later the answer does not look whole.
func TestLostHandOver(t *testing.T) {
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
	if told := <-early.told; !told.Lost || told.Gone {
		t.Errorf("told %+v", told)
	}
	c = newCaller(t, address)
	c.send(post("moved", "xyz"))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if body, err := io.ReadAll(resp.Body); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("%q looks whole: %v", body, err)
	}
}

// A caller that leaves ends the request at the other gateway. One that leaves before its
// request was whole has sent none.
func TestCallerLeavesAHandOver(t *testing.T) {
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
	for early.looked.Load() == 0 { // one that has left before is not judged
		runtime.Gosched()
	}
	_ = c.Close()
	if told := <-early.told; !told.Gone || told.Peer != "" {
		t.Errorf("told %+v", told)
	}
	c = newCaller(t, address)
	c.send(post("moved", "x"))
	<-began
	if near.Relaying() != 1 {
		t.Errorf("%d requests are with others", near.Relaying())
	}
	_ = c.Close()
	if err := <-ended; err == nil {
		t.Error("the request goes on")
	}
	if told := <-early.told; !told.Gone {
		t.Errorf("told %+v", told)
	}
}

// A gateway that comes late to a request whose caller has left by then does nothing for it: it
// sent 85 requests on in a second that way.
func TestCallerHasLeftBeforeItsRequestIsRead(t *testing.T) {
	far := newRelay(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("a request was handed over for nobody") }))
	near, early, address := newEarlyServer(t, 10)
	near.SetRelay(far)
	for _, key := range []string{"moved", "flood", "known"} {
		c := newCaller(t, address)
		c.send(post(key, "x"))
		_ = c.Close()
	}
	for _, c := range accepted(t, near) {
		if _, err := c.Read(make([]byte, 4096)); err != io.EOF {
			t.Errorf("the request is read: %v", err)
		}
	}
	if n := early.looked.Load(); n != 0 {
		t.Errorf("%d requests of nobody were judged", n)
	}
}

// awaitEnd waits until the end of what the other side sends has arrived.
func awaitEnd(t *testing.T, conn net.Conn) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Control(func(fd uintptr) {
		const seconds = 5
		if n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}, seconds*1000); n != 1 || err != nil {
			t.Errorf("no end: %v", err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}

// accepted accepts three connections whose callers have closed them.
func accepted(t *testing.T, s *Server) []*callerConn {
	t.Helper()
	var out []*callerConn
	for range 3 {
		conn, err := s.listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c := &callerConn{counted: &counted{Conn: s.traffic.Wrap(conn), open: &s.open}, server: s, stop: make(chan struct{}, 1)}
		awaitEnd(t, conn)
		out = append(out, c)
	}
	return out
}

// Where no gateway takes a request it is served here, whatever its size.
func TestNobodyToHandOverTo(t *testing.T) {
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
		if told := <-early.told; told.Peer != "" || told.Lost || told.Gone {
			t.Errorf("told %+v", told)
		}
	}
	c.send(post("flood", "x"))
	if status, _, _ := c.answer(); status != http.StatusServiceUnavailable {
		t.Errorf("status %d: what follows is not looked at", status)
	}
}

// The forms of answers are those of an HTTP server: with a length where that is known, in
// chunks where it is not, and without a body where none is asked for.
func TestHandedOverAnswersAreFramed(t *testing.T) {
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
		t.Errorf("an answer that is too short has status %d", status)
	}
}
