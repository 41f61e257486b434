// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"madderway/modules/setting"
)

// Guards against a planned stop that cuts off a request of which a part has come when the last one in
// flight has ended.
func TestStopCutsNoBegunRequest(t *testing.T) {
	t.Parallel()
	o := SmallSite(5, time.Second)
	o.HeaderTimeout = time.Minute // only the stop closes the idle connection, however slow the process is
	s := startSite(t, o)
	head := "POST /submit/x HTTP/1.1\r\nHost: site.example\r\n" + key + "Attempt-Id: begun-0\r\nContent-Length: 4\r\n\r\n"
	request := head + "book"
	next := 0
	withID := func() string {
		next++
		id := fmt.Sprint("begun-", next)
		s.ledger.AddRequest(id, "account-0", "POST", "/submit/x", "book", false)
		return strings.Replace(request, "begun-0", id, 1)
	}
	address := s.gateways[0].setting.Callers
	open := func(sent int) begunRequest {
		c, err := net.Dial("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		text := withID()
		_, _ = io.WriteString(c, text[:sent])
		return begunRequest{c, text, sent}
	}
	idle := open(0)
	inHead := []begunRequest{open(1), open(len(head) - 1)}
	inBody := []begunRequest{open(len(head)), open(len(request) - 1)}
	for s.Gateway(0).Dump().InFlight < len(inBody) || s.Gateway(0).Dump().CallerConnections < len(inBody)+len(inHead)+1 { // until all are read
	}
	s.Gateway(0).Reload(shortLinger(s.gateways[0].setting))
	go s.Gateway(0).Drain()
	for !s.Gateway(0).Dump().Draining { // until the stop has begun
	}
	expectAnswers(t, inBody, http.StatusOK, "")
	if _, err := idle.conn.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("an idle connection: got %v, want it closed", err)
	}
	expectAnswers(t, inHead, http.StatusServiceUnavailable, `"ran":"no"`)
	<-s.Gateway(0).Dead()
	for _, b := range s.ledger.Violations() {
		t.Error(b)
	}
}

// begunRequest is a request of which the first bytes were sent.
type begunRequest struct {
	conn net.Conn
	text string
	sent int
}

// expectAnswers sends the rest of requests and checks the answers.
func expectAnswers(t *testing.T, requests []begunRequest, status int, content string) {
	t.Helper()
	for _, r := range requests {
		_, _ = io.WriteString(r.conn, r.text[r.sent:])
		resp, err := http.ReadResponse(bufio.NewReader(r.conn), nil)
		if err != nil {
			t.Errorf("%d of %d bytes sent before: got %v, want an answer", r.sent, len(r.text), err)
			continue
		}
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != status || !strings.Contains(string(body), content) {
			t.Errorf("%d of %d bytes sent before: got %d, %s, want %d", r.sent, len(r.text), resp.StatusCode, body, status)
		}
	}
}

// shortLinger returns settings with which a stop waits for the balancer for a moment only.
func shortLinger(s *setting.Gateway) *setting.Gateway {
	short := *s
	short.Linger.Duration = 200 * time.Millisecond
	return &short
}
