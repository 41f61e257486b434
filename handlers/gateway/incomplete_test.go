// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards against a connection that is closed without an answer at the end of a stop, since only a part of
// its request's head has come.
func TestEndIncompleteAnswersPartialHeads(t *testing.T) {
	for name, sent := range map[string]int{"first byte": 1, "all but the last byte": len(postHead) - 1} {
		for _, kept := range []bool{false, true} {
			s, address := serve(t, 0, 10, readAllHandler(nil, nil))
			c := dial(t, address)
			r := bufio.NewReader(c)
			if kept && exchange(c, r, postHead+postBody) != http.StatusOK {
				t.Fatalf("%s: the first request was not served", name)
			}
			_, _ = io.WriteString(c, postHead[:sent])
			for conn := onlyConn(s); !conn.idle.hasBegun(); { // until the server has read it
			}
			s.StopAccepting()
			s.EndIncomplete()
			if got := exchange(c, r, ""); got != http.StatusServiceUnavailable {
				t.Errorf("%s, kept %v: got status %d, want 503", name, kept, got)
			}
			for s.Open() > 0 {
			}
			expectNoneUnanswered(t, s)
		}
	}
}

// Guards against a request that is taken for one of a caller that has left, because the watch of its connection
// was interrupted.
func TestEndIncompleteKeepsHandledRequests(t *testing.T) {
	inHandler, release := make(chan struct{}), make(chan struct{})
	var canceled error
	s, address := serve(t, 0, 10, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		exchangeOf(r.Context()).enterHandler("id", ServeAll, now())
		_, _ = io.Copy(io.Discard, r.Body)
		close(inHandler)
		<-release
		canceled = r.Context().Err()
		exchangeOf(r.Context()).leaveHandler()
	}))
	c := dial(t, address)
	_, _ = io.WriteString(c, postHead+postBody)
	<-inHandler
	for range 1000 { // the server begins to watch the connection at some time
		s.EndIncomplete()
	}
	close(release)
	if got := exchange(c, bufio.NewReader(c), ""); got != http.StatusOK || canceled != nil {
		t.Errorf("got status %d, context %v, want 200 and none", got, canceled)
	}
}

// Guards against a request that another gateway serves and whose caller gets no answer when this gateway ends.
func TestEndIncompleteAnswersHandOvers(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	far := newRelay(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(began)
		<-release
	}))
	near, early, address := serveRelay(t, far)
	c := newCaller(t, address)
	c.send(post("moved", "x"))
	<-began
	for len(early.results) == 0 { // the wait for the answer may not have begun
		near.EndIncomplete()
	}
	status, body, _ := c.answer()
	if status != http.StatusBadGateway || !strings.Contains(body, `"ran":"unknown"`) {
		t.Errorf("status %d, %q", status, body)
	}
	if outcome := <-early.results; !outcome.Lost || outcome.CallerDisconnected {
		t.Errorf("got outcome %+v", outcome)
	}
}
