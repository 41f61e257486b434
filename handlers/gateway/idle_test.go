// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	postHead = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"
	postBody = "book"
)

// exchange sends a request and reads its whole answer. It returns 0 without one.
func exchange(c net.Conn, r *bufio.Reader, request string) int {
	if _, err := io.WriteString(c, request); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// onlyConn returns the only open connection of a server.
func onlyConn(s *Server) *callerConn {
	for {
		s.connsMu.Lock()
		for c := range s.conns {
			s.connsMu.Unlock()
			return c
		}
		s.connsMu.Unlock()
	}
}

// Guards against a stop that cuts a request of which a part has come, at any byte.
func TestBegunRequestOutlastsCloseIdle(t *testing.T) {
	request := postHead + postBody
	for name, sent := range map[string]int{
		"first byte": 1, "all but the last byte of the head": len(postHead) - 1, "head": len(postHead), "all but the last byte of the body": len(request) - 1,
	} {
		for _, kept := range []bool{false, true} {
			s, address := serve(t, 0, 10, readAllHandler(nil, nil))
			c := dial(t, address)
			r := bufio.NewReader(c)
			if kept && exchange(c, r, request) != http.StatusOK {
				t.Fatalf("%s: the first request was not served", name)
			}
			_, _ = io.WriteString(c, request[:sent])
			for conn := onlyConn(s); !conn.idle.hasBegun(); { // until the server has read it
			}
			s.StopAccepting()
			s.CloseIdle()
			if got := exchange(c, r, request[sent:]); got != http.StatusOK {
				t.Errorf("%s, kept %v: got status %d, want 200", name, kept, got)
			}
			for s.Open() > 0 { // the answered connection is idle soon
				s.CloseIdle()
			}
		}
	}
}

// readAllHandler reads the body, counts and answers. It closes the connection while closes is set.
func readAllHandler(served *atomic.Int64, closes *atomic.Bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if served != nil {
			served.Add(1)
		}
		if closes != nil && closes.Load() {
			w.Header().Set("Connection", "close")
		}
		w.WriteHeader(http.StatusOK)
	})
}

// Guards against a request that is read between the decision to close its connection and the close.
func TestCloseIdleCutsNoRequest(t *testing.T) {
	const rounds, clients = 20, 50
	for range rounds {
		var served, answered atomic.Int64
		var closes atomic.Bool
		s, address := serve(t, 0, 2*clients, readAllHandler(&served, &closes))
		var begun, done sync.WaitGroup
		begun.Add(clients)
		for range clients {
			c := dial(t, address)
			done.Go(func() {
				r := bufio.NewReader(c)
				for first := true; exchange(c, r, postHead+postBody) == http.StatusOK; first = false {
					answered.Add(1)
					if first {
						begun.Done()
					}
				}
			})
		}
		begun.Wait()
		s.StopAccepting()
		for range 20 {
			s.CloseIdle()
		}
		closes.Store(true)
		for s.Open() > 0 {
			s.CloseIdle()
		}
		done.Wait()
		if served.Load() != answered.Load() {
			t.Fatalf("%d requests were served, %d answered", served.Load(), answered.Load())
		}
	}
}

// Guards against a stop that cuts a request which came together with the one before it: the HTTP server
// takes it from its buffer, so that no read of the connection shows its begin.
func TestPipelinedRequestOutlastsCloseIdle(t *testing.T) {
	for name, request := range map[string]string{
		"with a length": postHead + postBody,
		"in chunks":     "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbook\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			inHandler, release := make(chan struct{}), make(chan struct{})
			var number atomic.Int64
			s, address := serve(t, 0, 10, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if number.Add(1) == 2 {
					close(inHandler)
					<-release
				}
			}))
			c := dial(t, address)
			r := bufio.NewReader(c)
			if got := exchange(c, r, request+request); got != http.StatusOK {
				t.Fatalf("the first request: got status %d, want 200", got)
			}
			<-inHandler
			s.StopAccepting()
			for range 1000 { // the server begins to watch the connection at some time
				s.CloseIdle()
				runtime.Gosched()
			}
			open := s.Open()
			close(release)
			if got := exchange(c, r, ""); open != 1 || got != http.StatusOK {
				t.Errorf("%d connections open, got status %d, want 1 and 200", open, got)
			}
		})
	}
}

// takenConn has bytes to read. It runs during when it has taken them, before the read returns.
type takenConn struct {
	net.Conn
	data        string
	during      func()
	deadline    time.Time
	interrupted bool
}

func (c *takenConn) Read(p []byte) (int, error) {
	n := copy(p, c.data)
	c.during()
	return n, nil
}

func (c *takenConn) Close() error { return nil }

func (c *takenConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	c.interrupted = c.interrupted || t.Equal(interruptedDeadline)
	return nil
}

// Guards against a stop that drops a request which was read just before its connection was found idle.
func TestBytesTakenBeforeCloseIdleAreKept(t *testing.T) {
	raw := &takenConn{data: "P"}
	c := &callerConn{countedConn: &countedConn{Conn: raw, open: new(atomic.Int64)}, server: &Server{}, stopWatch: make(chan struct{}, 1)}
	raw.during = func() { c.closeIfIdle() }
	limit := time.Unix(1_700_000_000, 0)
	if err := c.SetReadDeadline(limit); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(make([]byte, 8)); n != 1 || err != nil {
		t.Errorf("got %d bytes, %v, want 1 byte", n, err)
	}
	if !raw.deadline.Equal(limit) {
		t.Errorf("the deadline is %v, want %v again", raw.deadline, limit)
	}
}

// Guards against a watch for a close, while a request is handled, that is taken for the wait for a next one.
func TestWatchIsNotInterrupted(t *testing.T) {
	raw := &takenConn{data: "P"}
	c := &callerConn{countedConn: &countedConn{Conn: raw}, stopWatch: make(chan struct{}, 1), inServer: true, unread: unknownLength}
	raw.during = func() { c.closeIfIdle() }
	if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil || raw.interrupted {
		t.Errorf("got %d bytes, %v, interrupted %v, want 1 byte without an interruption", n, err, raw.interrupted)
	}
}

func (s *idleState) isReading() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reading
}

// Guards against a stop that cuts a request in its body whose head came together with the request before it.
func TestPipelinedBodyOutlastsCloseIdle(t *testing.T) {
	inHandler := make(chan struct{})
	var number atomic.Int64
	s, address := serve(t, 0, 10, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if number.Add(1) == 2 {
			close(inHandler)
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
	}))
	c := dial(t, address)
	r := bufio.NewReader(c)
	if got := exchange(c, r, postHead+postBody+postHead+postBody[:1]); got != http.StatusOK {
		t.Fatalf("the first request: got status %d, want 200", got)
	}
	<-inHandler
	conn := onlyConn(s)
	for !conn.idle.isReading() { // until it waits for the rest of the body
	}
	if conn.closeIfIdle() {
		t.Error("the connection is taken for idle")
	}
	if got := exchange(c, r, postBody[1:]); got != http.StatusOK {
		t.Errorf("got status %d, want 200", got)
	}
}

// Guards against a connection that is closed while bytes wait to be read, and against one that stays
// open although it is idle.
func TestReaderDecidesWhetherIdleConnectionCloses(t *testing.T) {
	for _, c := range []struct {
		name         string
		waiting      bool // a read waits for the first byte
		unreadBefore bool
		n            int
		unreadAfter  bool
		interrupts   bool
		want         readVerdict
	}{
		{"idle", true, false, 0, false, true, readEnds},
		{"a byte came first", true, false, 1, false, true, readResumes},
		{"a byte came just after", true, false, 0, true, true, readResumes},
		{"bytes wait", true, true, 5, false, false, readGoesOn},
		{"not read yet", false, false, 5, false, false, readGoesOn},
	} {
		var s idleState
		if c.waiting {
			s.startRead(true)
		}
		stopped := false
		interrupted := s.interrupt(func() bool { return c.unreadBefore }, func() { stopped = true })
		got := s.endRead(c.n, func() bool { return c.unreadAfter })
		if interrupted != c.interrupts || stopped != interrupted || got != c.want {
			t.Errorf("%s: interrupted %v, verdict %v, want %v and %v", c.name, interrupted, got, c.interrupts, c.want)
		}
		if goesOn := s.startRead(true); goesOn == (c.want == readEnds) {
			t.Errorf("%s: the next read goes on: %v", c.name, goesOn)
		}
	}
}
