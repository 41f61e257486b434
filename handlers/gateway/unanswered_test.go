// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"madderway/modules/log"
)

// unansweredCount returns how many connections a server has counted that ended for a cause.
func unansweredCount(s *Server, cause endCause) int { return int(s.unanswered.counter(cause).Get()) }

func expectNoneUnanswered(t *testing.T, s *Server) {
	t.Helper()
	for _, cause := range []endCause{endedByCaller, endedByTimeout, endedByAbort, endedByWriteError, endedByStop, endedOtherwise} {
		if got := unansweredCount(s, cause); got != 0 {
			t.Errorf("%d connections counted as ended by %q, want 0", got, cause)
		}
	}
}

// Guards against a connection that ends without an answer and without a trace of what ended it.
func TestUnansweredRequestIsReportedWithItsCause(t *testing.T) {
	const request = postHead + postBody
	for _, c := range []struct {
		name   string
		sent   string
		handle func(s *Server, callerLeft <-chan struct{})
		leaves bool // the caller leaves once its request is in the handler
		want   endCause
	}{
		{"the handler aborts", request, func(*Server, <-chan struct{}) { panic(http.ErrAbortHandler) }, false, endedByAbort},
		{"the server is closed", request, func(s *Server, _ <-chan struct{}) { s.Close() }, false, endedByStop},
		{"the caller leaves", request, func(_ *Server, left <-chan struct{}) {
			<-left
			panic(http.ErrAbortHandler)
		}, true, endedByCaller},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s *Server
			entered := make(chan struct{})
			s, address := serve(t, 0, 10, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					return
				}
				exchangeOf(r.Context()).enterHandler("id-1", ServeAll, now())
				close(entered)
				c.handle(s, r.Context().Done())
			}))
			conn := dial(t, address)
			_, _ = io.WriteString(conn, c.sent)
			<-entered
			if c.leaves {
				_ = conn.Close()
			} else if _, err := bufio.NewReader(conn).ReadByte(); err == nil {
				t.Fatal("got a byte of an answer")
			}
			for s.Open() > 0 { // until the connection is closed
			}
			if got := unansweredCount(s, c.want); got != 1 {
				t.Errorf("%d connections counted as ended by %q, want 1", got, c.want)
			}
		})
	}
}

// Guards against false reports that hide the true ones.
func TestAnsweredRequestIsNotReported(t *testing.T) {
	s, address := serve(t, 0, 10, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		exchangeOf(r.Context()).enterHandler("id-1", ServeAll, now())
		if r.Header.Get("Last") != "" {
			w.Header().Set("Connection", "close")
		}
		w.WriteHeader(http.StatusOK)
		exchangeOf(r.Context()).leaveHandler()
	}))
	kept, closed, idle := dial(t, address), dial(t, address), dial(t, address)
	for _, c := range []io.Writer{kept, closed} {
		_, _ = io.WriteString(c, postHead+postBody)
	}
	reader := bufio.NewReader(kept)
	if got := exchange(kept, reader, postHead+postBody); got != http.StatusOK {
		t.Fatalf("got status %d, want 200", got)
	}
	_, _ = io.WriteString(closed, strings.Replace(postHead, "Host: h", "Host: h\r\nLast: 1", 1)+postBody)
	if _, err := io.ReadAll(closed); err != nil {
		t.Fatal(err)
	}
	_ = kept.Close()
	_ = idle.Close()
	for s.Open() > 0 { // until all are closed
	}
	expectNoneUnanswered(t, s)
}

// Guards against a panic of a handler that nobody sees.
func TestPanicOfHandlerIsLogged(t *testing.T) {
	var out strings.Builder
	written := make(chan struct{})
	log.Setup(writerFunc(func(p []byte) (int, error) {
		if strings.Contains(string(p), "index out of range") {
			out.Write(p)
			close(written)
		}
		return len(p), nil
	}), 0)
	defer log.Setup(io.Discard, 0)
	_, address := serve(t, 0, 10, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("index out of range") }))
	_ = ask(t, dial(t, address))
	<-written
	if !strings.Contains(out.String(), "panic serving") {
		t.Errorf("logged %q, want the panic", out.String())
	}
}

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// Guards against early refusals that close their connections and count as requests without an answer.
func TestEarlyRefusalThatClosesIsNotReported(t *testing.T) {
	const limit = 4 // a fourth connection leaves too few free: answers close theirs
	s, _, address := newEarlyServer(t, limit)
	go func() { _ = s.Serve() }()
	for range limit - 1 {
		dial(t, address)
	}
	c := newCaller(t, address)
	for s.Open() < limit { // until all are accepted
	}
	c.send(post("flood", "x"))
	if status, _, header := c.answer(); status != http.StatusServiceUnavailable || header.Get("Connection") != "close" {
		t.Fatalf("got status %d, %v, want a refusal that closes", status, header)
	}
	for s.Open() == limit { // until it is closed
	}
	expectNoneUnanswered(t, s)
}
