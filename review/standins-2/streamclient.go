// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// try is one attempt of a client at a stream, and what it saw.
type try struct {
	id, gateway string
	at          time.Time
	took        time.Duration
	status      int // 0 without an answer
	retryAfter  string
	first, last int // numbers of the first and the last event that came, 0 for none
	whole       bool
	err         error
}

// streamRequest is a stream that a client asks for, or takes up again.
type streamRequest struct {
	id      string
	events  int // number of the last event
	after   int // last event that the client has, 0 for none
	resumes string
	part    uint32        // the shared part of its prompt, 0 for the usual one
	alone   bool          // the prompt shares no part with others
	gap     time.Duration // the client gives up after a pause of this length
	until   time.Time     // end of the client's deadline
}

// askStream sends a request on a new connection and reads the events. It gives the stream up after the
// pause, or at the end of the deadline.
func askStream(g *gateway, path, key string, q streamRequest) (t try) {
	t = try{id: q.id, gateway: g.name, at: time.Now()}
	defer func() { t.took = time.Since(t.at) }()
	conn, err := net.DialTimeout("tcp4", g.callers, time.Second)
	if err != nil {
		t.err = err
		return t
	}
	defer conn.Close()
	body := `{"prompt":"rebuild the rota"}`
	parts := fmt.Sprintf("%08x:800,91bd3f06:410,%08x:250", q.part+0x5c1e07a2, hash(q.id))
	if q.alone {
		parts = fmt.Sprintf("%08x:1460", hash(q.id))
	}
	var head strings.Builder
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nModel: m\r\nToken-Usage: 1460,80\r\nPrompt-Prefix: %s\r\n", path, host, q.id, parts)
	fmt.Fprintf(&head, "Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n", time.Until(q.until).Milliseconds(), key, len(body))
	if q.after > 0 {
		fmt.Fprintf(&head, "Last-Event-Id: %d\r\nResumes: %s\r\n", q.after, q.resumes)
	}
	if _, t.err = conn.Write([]byte(head.String() + "\r\n" + body)); t.err != nil {
		return t
	}
	wait := func() { _ = conn.SetReadDeadline(earlier(time.Now().Add(q.gap), q.until)) }
	wait()
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		t.err = err
		return t
	}
	defer resp.Body.Close()
	t.status, t.retryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
	if t.status != http.StatusOK || resp.Header.Get("Response-Signature") == "" {
		return t
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		wait()
		if number, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			t.last, _ = strconv.Atoi(number)
			if t.first == 0 {
				t.first = t.last
			}
		}
	}
	t.err = lines.Err()
	t.whole = t.err == nil && t.last == q.events
	return t
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// hash is the FNV-1a hash of a text.
func hash(text string) uint32 {
	h := uint32(2166136261)
	for _, c := range []byte(text) {
		h = (h ^ uint32(c)) * 16777619
	}
	return h
}
