// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// lateStop is a gateway that stops, and the requests sent to it.
type lateStop struct {
	t    *testing.T
	site *Site
	next int
}

const (
	longPath  = "/long-work/"
	shortPath = "/short-work/"
)

// startLateStop starts a gateway whose grace is much shorter than the work for requests on longPath.
func startLateStop(t *testing.T) *lateStop {
	t.Helper()
	o := SmallSite(11, time.Second)
	o.Gateways, o.HeaderTimeout, o.Grace = 1, time.Minute, 3*time.Second
	o.Kinds = []Kind{
		{Name: "long", Path: longPath, Method: "POST", Work: 40 * time.Second, Objective: 40 * time.Second, Deadline: time.Minute, Attempts: 1},
		{Name: "short", Path: shortPath, Method: "GET", Repeatable: true, Work: time.Millisecond, Objective: time.Second, Deadline: time.Minute, Attempts: 2},
	}
	s, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	if err := s.AwaitReady(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	l := &lateStop{t: t, site: s}
	for !l.askShort().Served { // until the gateway knows the workers
	}
	return l
}

// askShort sends a request that ends soon.
func (l *lateStop) askShort() Answer {
	l.next++
	return l.site.Ask(context.Background(), 0, l.site.kinds()[1], "account-0", uint64(l.next))
}

// dial opens a connection to the gateway.
func (l *lateStop) dial() net.Conn {
	l.t.Helper()
	c, err := net.Dial("tcp4", l.site.gateways[0].setting.Callers)
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	return c
}

// text returns a request with an ID of its own. A body makes it one that must not be repeated.
func (l *lateStop) text(path, body string) string {
	l.next++
	id, method := fmt.Sprint("late-", l.next), http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	l.site.ledger.AddRequest(id, "account-0", method, path, body, body == "")
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: site.example\r\n%sAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", method, path, key, id, len(body), body)
}

// begin sends a request with long work on a new connection, except for its last bytes.
func (l *lateStop) begin(left int) begunRequest {
	l.t.Helper()
	c, text := l.dial(), l.text(longPath+"x", "book")
	_, _ = io.WriteString(c, text[:len(text)-left])
	return begunRequest{c, text, len(text) - left}
}

// stop begins the stop of the gateway once so many requests are in flight.
func (l *lateStop) stop(inFlight int) {
	g := l.site.Gateway(0)
	for g.Dump().InFlight < inFlight {
	}
	go g.Drain()
	for !g.Dump().Draining {
	}
}

// expectNotRun checks the answers to requests and that no worker ran them, and waits for the end of the stop.
func (l *lateStop) expectNotRun(requests []begunRequest) {
	l.t.Helper()
	expectAnswers(l.t, requests, http.StatusServiceUnavailable, "")
	<-l.site.Gateway(0).Dead()
	for _, r := range requests {
		if l.site.ledger.Ran(idOf(r.text)) {
			l.t.Errorf("%s was refused as not run, but ran", idOf(r.text))
		}
	}
	l.expectNoViolations()
}

func (l *lateStop) expectNoViolations() {
	l.t.Helper()
	for _, v := range l.site.Violations() {
		l.t.Error(v)
	}
}

func idOf(request string) string {
	_, after, _ := strings.Cut(request, "Attempt-Id: ")
	id, _, _ := strings.Cut(after, "\r\n")
	return id
}

// Guards against a request that is sent to a worker at the end of a stop, when its body has come, though
// its work takes longer than what is left.
func TestLateBodyInStopIsNotSentOn(t *testing.T) {
	t.Parallel()
	l := startLateStop(t)
	inBody := []begunRequest{l.begin(1), l.begin(4)}
	l.stop(len(inBody))
	for l.askShort().Served { // until new requests are refused
	}
	l.expectNotRun(inBody)
}

// Guards against requests that must not be repeated and end without an answer when the grace is over
// before their work.
func TestStopAnswersRequestsInFlightAtItsEnd(t *testing.T) {
	t.Parallel()
	l := startLateStop(t)
	sent := []begunRequest{l.begin(0), l.begin(0)}
	for !l.site.ledger.Ran(idOf(sent[0].text)) || !l.site.ledger.Ran(idOf(sent[1].text)) { // until workers have them
	}
	l.stop(len(sent))
	expectAnswers(t, sent, http.StatusBadGateway, `"ran":"unknown"`)
	<-l.site.Gateway(0).Dead()
	l.expectNoViolations()
}

// Guards against connections that end without an answer because the rest of their requests does not come
// before the end of the grace.
func TestStopAnswersIncompleteRequestsAtItsEnd(t *testing.T) {
	t.Parallel()
	l := startLateStop(t)
	kept := begunRequest{conn: l.dial(), text: l.text(shortPath+"x", "")}
	expectAnswers(t, []begunRequest{kept}, http.StatusOK, "")
	_, _ = io.WriteString(kept.conn, kept.text[:1])
	waiting := []begunRequest{l.begin(1), l.begin(4), l.begin(10), kept}
	l.stop(2)
	for i := range waiting {
		waiting[i].sent = len(waiting[i].text) // no more comes
	}
	expectAnswers(t, waiting, http.StatusServiceUnavailable, "")
	<-l.site.Gateway(0).Dead()
	l.expectNoViolations()
}
