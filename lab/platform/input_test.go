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
)

// startSmallSite starts a small site without clients or faults.
func startSmallSite(t *testing.T) *Site {
	t.Helper()
	return startSite(t, SmallSite(5, time.Second))
}

// readyTimeout bounds the start of a site, however slow the process is.
const readyTimeout = time.Minute

// startSite starts a site and waits until it is ready.
func startSite(t *testing.T, o Options) *Site {
	t.Helper()
	s, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	if err := s.AwaitReady(readyTimeout); err != nil {
		t.Fatal(err)
	}
	return s
}

// sendRaw sends bytes to a gateway and returns the status of the first answer, or 0 if the connection
// ends without one.
func sendRaw(t *testing.T, s *Site, text string) int {
	t.Helper()
	c, err := net.Dial("tcp4", s.gateways[0].setting.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	go func() { _, _ = io.WriteString(c, text) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

const key = "Authorization: Bearer key-of-account-0\r\n"

// Malformed and unauthorized requests get a specific status and never reach a worker.
func TestBadInputReachesNoWorker(t *testing.T) {
	t.Parallel()
	s := startSmallSite(t)
	for _, c := range []struct {
		name string
		text string
		want int
	}{
		{"no protocol", "rubbish\r\n\r\n", 400},
		{"two lengths", "POST /submit/x HTTP/1.1\r\nHost: site.example\r\n" + key + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		{"bad length", "POST /submit/x HTTP/1.1\r\nHost: site.example\r\n" + key + "Content-Length: -1\r\n\r\n", 400},
		{"bad coding", "POST /submit/x HTTP/1.1\r\nHost: site.example\r\n" + key + "Transfer-Encoding: odd\r\n\r\n", 501},
		{"no host", "GET /look/x HTTP/1.1\r\n\r\n", 400},
		{"blank in a header name", "GET /look/x HTTP/1.1\r\nHost: site.example\r\nBad Name: x\r\n\r\n", 400},
		{"unknown host", "GET /look/x HTTP/1.1\r\nHost: other.example\r\n" + key + "\r\n", 404},
		{"unknown path", "GET /nothing/ HTTP/1.1\r\nHost: site.example\r\n" + key + "\r\n", 404},
		{"no key", "GET /look/x HTTP/1.1\r\nHost: site.example\r\n\r\n", 401},
		{"unknown key", "GET /look/x HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer x\r\n\r\n", 401},
		{"long header", "GET /look/x HTTP/1.1\r\nHost: site.example\r\n" + key + "Long: " + strings.Repeat("x", 17<<10) + "\r\n\r\n", 431},
		{"long body", "POST /submit/x HTTP/1.1\r\nHost: site.example\r\n" + key + fmt.Sprintf("Content-Length: %d\r\n\r\n", 2<<20), 413},
		{"long body in chunks", "POST /submit/x HTTP/1.1\r\nHost: site.example\r\n" + key + "Transfer-Encoding: chunked\r\n\r\n200000\r\n" + strings.Repeat("x", 0x200000) + "\r\n0\r\n\r\n", 413},
	} {
		if got := sendRaw(t, s, c.text); got != c.want {
			t.Errorf("%s: status %d, want %d", c.name, got, c.want)
		}
	}
	for _, b := range s.ledger.Violations() {
		t.Error(b)
	}
}

// Request smuggling: with Transfer-Encoding and Content-Length both set, bytes after the body must
// never reach a worker as a request of their own.
func TestRequestSmuggling(t *testing.T) {
	t.Parallel()
	s := startSmallSite(t)
	inner := "GET /look/hidden HTTP/1.1\r\nHost: site.example\r\n" + key + "Attempt-Id: hidden\r\n\r\n"
	body := "5\r\nhello\r\n0\r\n\r\n" + inner
	s.ledger.AddRequest("outer", "account-0", "POST", "/submit/x", "hello", false)
	_ = sendRaw(t, s, "POST /submit/x HTTP/1.1\r\nHost: site.example\r\n"+key+"Attempt-Id: outer\r\nConnection: close\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n"+body)
	for _, b := range s.ledger.Violations() {
		t.Error(b)
	}
}

// A request whose body is cut off must not reach a worker.
func TestIncompleteRequestReachesNoWorker(t *testing.T) {
	t.Parallel()
	s := startSmallSite(t)
	c, err := net.Dial("tcp4", s.gateways[0].setting.Callers)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "POST /submit/x HTTP/1.1\r\nHost: site.example\r\n"+key+"Attempt-Id: torn\r\nContent-Length: 100\r\n\r\nhalf")
	_ = c.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, c)
	_ = c.Close()
	for _, b := range s.ledger.Violations() {
		t.Error(b)
	}
}

// A gateway that has no configuration is not ready and refuses requests as not run.
func TestGatewayWithoutConfigurationRefuses(t *testing.T) {
	t.Parallel()
	o := SmallSite(5, time.Second)
	s := &Site{opts: o, number: int(siteCount.Add(1)), store: NewStore(), ledger: NewLedger(), cancel: func() {}}
	t.Cleanup(s.Close)
	s.store.SetMode("", StoreBusy)
	if err := s.startGateways(); err != nil {
		t.Fatal(err)
	}
	if s.gateways[0].running.Ready() {
		t.Error("ready without a configuration")
	}
	if got := sendRaw(t, s, "GET /look/x HTTP/1.1\r\nHost: site.example\r\n"+key+"\r\n"); got != 503 {
		t.Errorf("status %d, want 503", got)
	}
}
