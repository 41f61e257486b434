// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package upstream

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"madderway/models/routing"
	"madderway/modules/netopt"
)

// plainDialect is a minimal dialect for the tests.
type plainDialect struct{}

func (plainDialect) CachedPath() string { return "/kept" }

func (plainDialect) ReadCached(list []byte) ([]routing.PromptPart, error) {
	var parts []routing.PromptPart
	return parts, json.Unmarshal(list, &parts)
}

func (plainDialect) SetRemaining(func(string) []byte, time.Duration) {}

func (plainDialect) PeekCall(func([]string, ...string) bool) (Call, bool) { return Call{}, false }
func (plainDialect) ReadCall(h http.Header) Call                          { return Call{ID: h.Get("Id")} }

func (plainDialect) WriteCall(h http.Header, o Outgoing) {
	h.Set("For", o.TargetID)
	h.Set("Left", fmt.Sprint(o.Remaining.Milliseconds()))
}

func (plainDialect) ReadAnswer(status int, h http.Header) AnswerInfo {
	return AnswerInfo{ID: h.Get("Id"), Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest}
}

func (plainDialect) RefusalHeader(after time.Duration) (name, value string) {
	return "Retry-After", after.String()
}

// scriptedTarget answers each connection by a function of the request's text and its number on
// the connection.
type scriptedTarget struct {
	listener net.Listener
	mu       sync.Mutex
	seen     []string
	conns    int
}

type scriptedAnswer struct {
	text  string
	close bool // close the connection after the text
	reset bool // reset the connection instead of answering
}

func startTarget(t *testing.T, answers func(conn, request int, text string) scriptedAnswer) *scriptedTarget {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedTarget{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
			go s.serve(c.(*net.TCPConn), n, answers)
		}
	}()
	return s
}

func (s *scriptedTarget) serve(c *net.TCPConn, conn int, answers func(conn, request int, text string) scriptedAnswer) {
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		text := fmt.Sprintf("%s %s %s %s", req.Method, req.RequestURI, req.Header.Get("Id"), body)
		s.mu.Lock()
		s.seen = append(s.seen, text)
		s.mu.Unlock()
		a := answers(conn, n, text)
		if a.reset {
			_ = c.SetLinger(0)
			return
		}
		if _, err := io.WriteString(c, a.text); err != nil || a.close {
			return
		}
	}
}

func (s *scriptedTarget) target() *routing.Target {
	return &routing.Target{ID: "t", Address: s.listener.Addr().String()}
}

func signedAnswer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id, body string) *Request {
	return &Request{
		ID: id, Method: http.MethodPost, URI: "/a/b?c=%2F", Host: "host", Header: http.Header{"Id": {id}, "Te": {"x"}, "Connection": {"Drop-Me"}, "Drop-Me": {"1"}},
		Body: []byte(body), MayRepeat: true, Deadline: time.Now().Add(10 * time.Second), Outgoing: Outgoing{TargetID: "t"},
	}
}

func send(t *testing.T, c *Client, s *scriptedTarget, r *Request) (status int, body string, err error) {
	t.Helper()
	a, err := c.Send(context.Background(), s.target(), r)
	if err != nil {
		return 0, "", err
	}
	defer a.Close()
	text, err := io.ReadAll(a.Body)
	return a.Status, string(text), err
}

func newClient() (*Client, *Pool) {
	p := NewPool(time.Second, 4, &netopt.Traffic{})
	return NewClient(p, plainDialect{}, nil), p
}

// Guards against a body that is no list, or an error status, taken for a list of cached parts.
func TestCachedPartsReadsList(t *testing.T) {
	texts := []string{`[{"ID":3,"Tokens":70}]`, `{"no":"list"}`}
	status := "200 OK"
	s := startTarget(t, func(conn, _ int, _ string) scriptedAnswer {
		text := texts[min(conn, len(texts)-1)]
		return scriptedAnswer{text: fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(text), text), close: true}
	})
	c, _ := newClient()
	parts, err := c.CachedParts(context.Background(), s.target())
	if err != nil || len(parts) != 1 || parts[0] != (routing.PromptPart{ID: 3, Tokens: 70}) {
		t.Errorf("got %v, %v, want one part", parts, err)
	}
	if _, err := c.CachedParts(context.Background(), s.target()); err == nil {
		t.Error("accepted a body that is no list")
	}
	status = "429 Too Many Requests"
	if _, err := c.CachedParts(context.Background(), s.target()); err == nil {
		t.Error("accepted status 429 as a list")
	}
}

func TestSendReusesConnection(t *testing.T) {
	s := startTarget(t, func(_, n int, _ string) scriptedAnswer {
		return scriptedAnswer{text: signedAnswer(fmt.Sprint("r", n), "body")}
	})
	c, p := newClient()
	for n := range 5 {
		if status, body, err := send(t, c, s, request(fmt.Sprint("r", n), "x")); status != 200 || body != "body" || err != nil {
			t.Fatalf("got status %d, body %q, error %v", status, body, err)
		}
	}
	if p.Dials() != 1 {
		t.Errorf("got %d connections for five sequential requests, want 1", p.Dials())
	}
	if !strings.HasPrefix(s.seen[0], "POST /a/b?c=%2F r0 x") {
		t.Errorf("target received %q", s.seen[0])
	}
}

// Guards against a duplicate answer to an earlier request taken for the answer to the next one.
func TestLateExtraAnswerIsDropped(t *testing.T) {
	s := startTarget(t, func(conn, n int, _ string) scriptedAnswer {
		if n == 1 {
			return scriptedAnswer{text: signedAnswer("r0", "stale") + signedAnswer("r1", "fresh")}
		}
		return scriptedAnswer{text: signedAnswer(fmt.Sprint("r", n), "first")}
	})
	c, _ := newClient()
	if _, body, err := send(t, c, s, request("r0", "")); body != "first" || err != nil {
		t.Fatal(body, err)
	}
	if _, body, err := send(t, c, s, request("r1", "")); body != "fresh" || err != nil {
		t.Errorf("second request: got %q, %v, want \"fresh\"", body, err)
	}
}

// Guards against reuse of a connection that has unread bytes after a complete answer.
func TestExtraBytesCloseConnection(t *testing.T) {
	s := startTarget(t, func(conn, n int, _ string) scriptedAnswer {
		return scriptedAnswer{text: signedAnswer(fmt.Sprint("r", conn), "body") + "garbage"}
	})
	c, p := newClient()
	for n := range 3 {
		if _, body, err := send(t, c, s, request(fmt.Sprint("r", n), "")); body != "body" || err != nil {
			t.Fatal(body, err)
		}
	}
	if p.Dials() != 3 {
		t.Errorf("got %d connections, want a new one each time", p.Dials())
	}
}

func TestSendRejectsBrokenAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"no protocol":          "rubbish\r\n\r\n",
		"another request's":    signedAnswer("other", "body"),
		"without signature":    "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 1\r\n\r\nx",
		"without ID":           "HTTP/1.1 200 OK\r\nSigned: yes\r\nContent-Length: 1\r\n\r\nx",
		"cut in the head":      "HTTP/1.1 200 OK\r\nId: r\r\nSig",
		"cut in the body":      "HTTP/1.1 200 OK\r\nId: r\r\nSigned: yes\r\nContent-Length: 9\r\n\r\nx",
		"cut in a chunk":       "HTTP/1.1 200 OK\r\nId: r\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"without a last chunk": "HTTP/1.1 200 OK\r\nId: r\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
		"change of protocol":   "HTTP/1.1 101 Switching Protocols\r\nId: r\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := startTarget(t, func(int, int, string) scriptedAnswer { return scriptedAnswer{text: text, close: true} })
			c, _ := newClient()
			if _, body, err := send(t, c, s, request("r", "")); err == nil {
				t.Errorf("accepted body %q", body)
			}
		})
	}
}

// Guards against rejecting an answer that is delimited by the end of its connection.
func TestAnswerWithoutLengthEndsWithConnection(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: r\r\nSigned: yes\r\nConnection: close\r\n\r\n"
	s := startTarget(t, func(int, int, string) scriptedAnswer { return scriptedAnswer{text: head + "all of it", close: true} })
	c, _ := newClient()
	if _, body, err := send(t, c, s, request("r", "")); body != "all of it" || err != nil {
		t.Errorf("got %q, %v, want the complete body", body, err)
	}
}

func TestErrExchangeReportsWhetherSent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := l.Addr().String()
	_ = l.Close()
	c, _ := newClient()
	_, err = c.Send(context.Background(), &routing.Target{ID: "t", Address: dead}, request("r", ""))
	if e, ok := AsErrExchange(err); !ok || e.Sent {
		t.Errorf("connection refused: got %v, want an ErrExchange that is not Sent", err)
	}
	s := startTarget(t, func(int, int, string) scriptedAnswer { return scriptedAnswer{reset: true} })
	_, _, err = send(t, c, s, request("r", ""))
	if e, ok := AsErrExchange(err); !ok || !e.Sent {
		t.Errorf("reset after the request: got %v, want an ErrExchange that is Sent", err)
	}
}

func TestSendReadsNotRun(t *testing.T) {
	s := startTarget(t, func(int, int, string) scriptedAnswer {
		return scriptedAnswer{text: "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"}
	})
	c, _ := newClient()
	a, err := c.Send(context.Background(), s.target(), request("r", ""))
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	if !a.Info.NotRun {
		t.Error("NotRun is false although the answer has the header")
	}
}

// Guards against a target that keeps working for a caller that has disconnected.
func TestCancelClosesConnection(t *testing.T) {
	gone := make(chan struct{})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	arrived := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		close(arrived)
		_, _ = r.ReadByte() // ends when the connection does
		close(gone)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	c, _ := newClient()
	if _, err := c.Send(ctx, &routing.Target{ID: "t", Address: l.Addr().String()}, request("r", "")); err == nil {
		t.Fatal("got an answer after the cancellation")
	}
	<-gone
}

// Guards against part of another request being sent in place of the rest of a long body, when
// the target answers before it has read the body.
func TestEarlyAnswerToLongRequest(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	foreign := make(chan string, 16)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerEarly(c, foreign)
		}
	}()
	c, _ := newClient()
	for range 5 {
		a, err := c.Send(context.Background(), &routing.Target{ID: "t", Address: l.Addr().String()}, request("r", strings.Repeat("x", 8<<20)))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(a.Body)
		if a.Status != http.StatusRequestEntityTooLarge || string(body) != "no" || err != nil {
			t.Fatalf("got status %d, body %q, error %v", a.Status, body, err)
		}
		a.Close()
	}
	select {
	case text := <-foreign:
		t.Errorf("target received %q in place of the body", text)
	default:
	}
}

// answerEarly answers each request after its header, then reads the body and reports foreign
// bytes in it.
func answerEarly(c net.Conn, foreign chan<- string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nId: r\r\nSigned: yes\r\nContent-Length: 2\r\n\r\nno")
		body, err := io.ReadAll(req.Body)
		if text := strings.Trim(string(body), "x"); text != "" {
			foreign <- text[:min(len(text), 40)]
		}
		if err != nil {
			return
		}
	}
}

// Guards against reuse of an idle connection that has received data or a close.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	s := startTarget(t, func(conn, _ int, _ string) scriptedAnswer {
		return scriptedAnswer{text: signedAnswer(fmt.Sprint("r", conn), "body"), close: true}
	})
	c, p := newClient()
	for n := range 2 {
		if _, body, err := send(t, c, s, request(fmt.Sprint("r", n), "")); body != "body" || err != nil {
			t.Fatal(body, err)
		}
		p.mu.Lock()
		idle := append([]*conn(nil), p.idle["t"]...)
		p.mu.Unlock()
		for _, i := range idle {
			for isQuiet(i) { // wait for the close to arrive
			}
		}
	}
	if p.Dials() != 2 {
		t.Errorf("got %d connections, want 2, as the first one was closed", p.Dials())
	}
}

func TestParseKeepAlive(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"timeout=10": 6 * time.Second, "max=3, timeout=5": 3 * time.Second, "": defaultKeepAlive, "timeout=x": defaultKeepAlive, "timeout=0": 0,
		"timeout=999999999999": maxKeepAlive,
	} {
		c := &conn{promised: parseKeepAlive(http.Header{"Keep-Alive": {text}})}
		if got := c.maxIdle(&Request{MayRepeat: true}); got != want {
			t.Errorf("%q: got %v, want %v", text, got, want)
		}
	}
}

func TestPruneClosesConnectionsOfRemovedTargets(t *testing.T) {
	s := startTarget(t, func(int, int, string) scriptedAnswer { return scriptedAnswer{text: signedAnswer("r", "body")} })
	c, p := newClient()
	if _, _, err := send(t, c, s, request("r", "")); err != nil {
		t.Fatal(err)
	}
	p.Prune(routing.NewTargetSet(0))
	if len(p.idle) != 0 {
		t.Error("pool still has connections to a removed target")
	}
}

// Guards against reuse of a connection to an earlier incarnation at the same address.
func TestNewIncarnationUsesNewConnection(t *testing.T) {
	s := startTarget(t, func(int, int, string) scriptedAnswer { return scriptedAnswer{text: signedAnswer("r", "body")} })
	c, p := newClient()
	incarnation := func(born int64) *routing.Target {
		return &routing.Target{ID: routing.TargetID("t", born), Name: "t", Born: born, Address: s.listener.Addr().String()}
	}
	for _, born := range []int64{1, 1, 2, 2} {
		a, err := c.Send(t.Context(), incarnation(born), request("r", ""))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, a.Body)
		a.Close()
	}
	if p.Dials() != 2 {
		t.Errorf("got %d connections for two incarnations, want 2", p.Dials())
	}
	p.Prune(routing.NewTargetSet(0, *incarnation(2)))
	if len(p.idle[incarnation(1).ID]) != 0 || len(p.idle[incarnation(2).ID]) != 1 {
		t.Errorf("idle connections %v, want one to the new incarnation", p.idle)
	}
}

// Guards against any input being accepted as a success other than a signed, complete answer to
// the request.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(signedAnswer("r", "body")))
	f.Add([]byte(signedAnswer("other", "stale") + signedAnswer("r", "body")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		near, far := net.Pipe()
		go func() {
			_, _ = far.Write(sent)
			_ = far.Close()
		}()
		c, _ := newClient()
		a := &Answer{client: c, target: &routing.Target{ID: "t"}, conn: newConn(near), stop: func() bool { return true }}
		defer a.Close()
		if err := a.readHead(request("r", "")); err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, a.Body); err == nil && a.Status < 300 && (a.Info.ID != "r" || !a.Info.Signed) {
			t.Errorf("accepted status %d, info %+v from %q", a.Status, a.Info, sent)
		}
	})
}
