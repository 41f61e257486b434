// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"madderway/models/result"
	"madderway/modules/httphead"
	"madderway/modules/log"
	"madderway/modules/netopt"
	"madderway/platform"
)

// keyAdmission decides by the request's key: "flood" is refused, "known" is admitted and "moved"
// is handed over where possible.
type keyAdmission struct {
	handler   *Handler
	leavesIn  time.Duration // how long after a decision the callers of requests that are handed over leave; 0 if unknown
	timeLeft  error         // returned by CheckTimeLeft
	decisions atomic.Int64
	results   chan HandOverResult
}

func (r *keyAdmission) AdmitsEarly() bool { return true }

func (r *keyAdmission) LostAnswer(id string) []byte {
	return r.handler.earlyAnswer(result.New(result.OutcomeUnknown, "lost"), id, true)
}

func (r *keyAdmission) BusyAnswer(id string) []byte {
	return []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: " + strconv.Itoa(len(id)) + "\r\n\r\n" + id)
}

func (r *keyAdmission) SetRemaining(request []byte, remaining time.Duration) {
	r.handler.SetRemaining(request, remaining)
}

func (r *keyAdmission) CheckTimeLeft(EarlyDecision) error { return r.timeLeft }

func (r *keyAdmission) RecordHandOver(_ EarlyDecision, h HandOverResult) { r.results <- h }

func (r *keyAdmission) AdmitEarly(h *httphead.Head, o EarlyOptions) EarlyDecision {
	r.decisions.Add(1)
	key := make([]string, 1)
	h.Get(key, "Authorization")
	switch key[0] {
	case "Bearer flood":
		return EarlyDecision{Verdict: Refused, Answer: r.handler.earlyAnswer(result.New(result.Overloaded, "too many").WithRetryAfter(notReadyRetryAfter), "id-1", o.ClosesConn)}
	case "Bearer known":
		return EarlyDecision{Verdict: Admitted}
	case "Bearer moved":
		if o.CanHandOver {
			d := EarlyDecision{Verdict: HandedOver, ID: "id-2"}
			if r.leavesIn != 0 {
				d.CallerLeavesAt = now().Add(r.leavesIn)
			}
			return d
		}
		return EarlyDecision{Verdict: Admitted}
	default:
		return EarlyDecision{}
	}
}

// serveEarly runs a server with early admission. Its handler echoes the body and returns in a
// header whether the request was admitted early.
func serveEarly(t *testing.T, maxOpen int) (*keyAdmission, string) {
	t.Helper()
	s, early, address := newEarlyServer(t, maxOpen)
	go func() { _ = s.Serve() }()
	return early, address
}

// newEarlyServer returns the server of serveEarly without running it.
func newEarlyServer(t *testing.T, maxOpen int) (*Server, *keyAdmission, string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, admitted := consumeAdmitted(r.Context())
		w.Header().Set("Admitted", fmt.Sprint(admitted))
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})
	s := NewServer(log.New("callers"), l, echo, maxOpen, &netopt.Traffic{})
	early := &keyAdmission{results: make(chan HandOverResult, 8), handler: &Handler{opts: Options{Dialect: platform.Dialect{}}}}
	s.SetEarlyAdmission(early)
	t.Cleanup(s.Close)
	return s, early, l.Addr().String()
}

// caller writes raw requests on one connection and reads the answers.
type caller struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func newCaller(t *testing.T, address string) *caller {
	c := dial(t, address)
	return &caller{t, c, bufio.NewReader(c)}
}

func post(key, body string) string {
	return fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", key, len(body), body)
}

func (c *caller) send(text string) {
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// answer reads the next response.
func (c *caller) answer() (status int, body string, header http.Header) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	if resp.Close { // http.ReadResponse removes the header
		resp.Header.Set("Connection", "close")
	}
	return resp.StatusCode, string(b), resp.Header
}

// A refused request must be read to its end; the next one on the connection is decided on its
// own, also after the HTTP server has served one.
func TestEarlyRefusalKeepsConnection(t *testing.T) {
	early, address := serveEarly(t, 10)
	c := newCaller(t, address)
	for _, size := range []int{0, 10, 5000, 100_000} {
		c.send(post("flood", strings.Repeat("x", size)))
		status, body, header := c.answer()
		if status != http.StatusServiceUnavailable || !strings.Contains(body, `"code":2010`) || !strings.Contains(body, `"ran":"no"`) || header.Get("Retry-After") == "" {
			t.Fatalf("body of %d: status %d, %q, %v", size, status, body, header)
		}
	}
	c.send(post("known", "first"))
	if status, body, header := c.answer(); status != http.StatusOK || body != "first" || header.Get("Admitted") != "true" {
		t.Fatalf("status %d, %q, %v", status, body, header)
	}
	looked := early.decisions.Load()
	c.send(post("flood", "second"))
	if status, body, header := c.answer(); status != http.StatusServiceUnavailable || !strings.Contains(body, `"code":2010`) {
		t.Errorf("status %d, %q, %v", status, body, header)
	}
	c.send(post("other", "third"))
	if status, body, header := c.answer(); status != http.StatusOK || body != "third" || header.Get("Admitted") != "false" {
		t.Errorf("status %d, %q, %v", status, body, header)
	}
	if n := early.decisions.Load() - looked; n != 2 {
		t.Errorf("got %d early decisions, want 2", n)
	}
}

// If the HTTP server has read the beginning of a request, the rest of it must not be taken for
// another request.
func TestReadAheadBytesAreNotParsedEarly(t *testing.T) {
	early, address := serveEarly(t, 10)
	inner := post("flood", "inner")
	outer := post("other", inner)
	for at := 1; at < len(outer); at += 7 {
		c := newCaller(t, address)
		looked := early.decisions.Load()
		c.send(post("other", "first") + outer[:at])
		if status, body, _ := c.answer(); status != http.StatusOK || body != "first" {
			t.Fatalf("split at %d: status %d, %q", at, status, body)
		}
		c.send(outer[at:])
		if status, body, _ := c.answer(); status != http.StatusOK || body != inner {
			t.Fatalf("split at %d: status %d, %q", at, status, body)
		}
		if n := early.decisions.Load() - looked; n != 0 {
			t.Fatalf("split at %d: got %d early decisions on partial requests, want 0", at, n)
		}
		_ = c.Close()
	}
}

// An early response must equal that of the HTTP server.
func TestEarlyAnswerMatchesRefuse(t *testing.T) {
	h := &Handler{opts: Options{Dialect: platform.Dialect{}}}
	err := result.New(result.Overloaded, "asked for more than it can serve").WithRetryAfter(notReadyRetryAfter)
	want := httptest.NewRecorder()
	h.refuse(want, "id-1", err)
	resp, readErr := http.ReadResponse(bufio.NewReader(bytes.NewReader(h.earlyAnswer(err, "id-1", false))), nil)
	if readErr != nil {
		t.Fatal(readErr)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != want.Code || string(body) != want.Body.String() {
		t.Errorf("got status %d, %s; want that of the HTTP server, %d, %s", resp.StatusCode, body, want.Code, want.Body)
	}
	for _, name := range []string{"Content-Type", "Retry-After"} {
		if got := resp.Header.Get(name); got == "" || got != want.Header().Get(name) {
			t.Errorf("got %s %q, want that of the HTTP server, %q", name, got, want.Header().Get(name))
		}
	}
}

// A request within or behind another one must not be decided before the HTTP server has parsed
// the first: request smuggling.
func TestEarlyRefusalIgnoresRequestsInBodies(t *testing.T) {
	early, address := serveEarly(t, 10)
	inner := post("flood", "inner")
	c := newCaller(t, address)
	c.send(post("other", inner))
	if status, body, _ := c.answer(); status != http.StatusOK || body != inner {
		t.Fatalf("status %d, %q", status, body)
	}
	c = newCaller(t, address)
	c.send(post("flood", inner)) // the body is discarded
	if status, _, _ := c.answer(); status != http.StatusServiceUnavailable {
		t.Fatalf("status %d", status)
	}
	c.send(post("known", "next"))
	if status, body, _ := c.answer(); status != http.StatusOK || body != "next" {
		t.Fatalf("status %d, %q: the body of a refused request was taken for a request", status, body)
	}
	looked := early.decisions.Load()
	c = newCaller(t, address)
	c.send(post("flood", "a") + post("flood", "b"))
	for _, want := range []string{"a", "b"} {
		if status, body, _ := c.answer(); status != http.StatusOK || body != want {
			t.Errorf("pipelined: status %d, %q", status, body)
		}
	}
	if early.decisions.Load() != looked {
		t.Error("the first of two pipelined requests was decided early")
	}
	c = newCaller(t, address)
	c.send("POST /x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer flood\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	if status, body, _ := c.answer(); status != http.StatusOK || body != "abc" {
		t.Errorf("chunked: status %d, %q", status, body)
	}
}

// Early refusals must not let idle connections use up the limit.
func TestEarlyRefusalClosesConnectionNearLimit(t *testing.T) {
	_, address := serveEarly(t, 4)
	var kept []*caller
	for range 20 {
		c := newCaller(t, address)
		c.send(post("flood", "x"))
		status, _, header := c.answer()
		if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "0.500" {
			t.Fatalf("status %d, %v after %d connections", status, header, len(kept))
		}
		if header.Get("Connection") == "close" {
			if _, err := c.reader.ReadByte(); err != io.EOF {
				t.Fatalf("the connection is still open after Connection: close: %v", err)
			}
			continue
		}
		kept = append(kept, c)
	}
	if len(kept) > 3 {
		t.Errorf("got %d of 4 connections kept open, want at most 3", len(kept))
	}
}
