// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package engine

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a part of an answer that is taken for a whole one, because a long upload took the error of a
// reset from the reader.
func TestResetInUploadIsNeverWhole(t *testing.T) {
	const repetitions = 12
	address := cutServer(t, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart", func(c *net.TCPConn) { _ = c.SetLinger(0) })
	for _, size := range []int{64 << 10, 1 << 20, 4 << 20} {
		for _, once := range []bool{false, true} {
			t.Run(fmt.Sprintf("upload %d/once %t", size, once), func(t *testing.T) {
				t.Parallel()
				c := NewClient(time.Second)
				defer c.Close()
				for range repetitions {
					req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/a", strings.NewReader(strings.Repeat("x", size)))
					if err != nil {
						t.Fatal(err)
					}
					resp, err := c.Do(req, "t", once)
					if err != nil {
						continue
					}
					body, err := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					if err == nil {
						t.Errorf("got %q as a whole answer", body)
					}
				}
			})
		}
	}
}

// expectNone checks that no method takes an answer, given by its format.
func expectNone(t *testing.T, format string) {
	t.Helper()
	const report = `{"running":1}`
	ctx, c := t.Context(), NewClient(time.Second)
	defer c.Close()
	address := func(content string) string {
		return cutServer(t, fmt.Sprintf(format, len(content), content), func(*net.TCPConn) {})
	}
	for _, once := range []bool{false, true} {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address(report)+"/a", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := c.Do(req, "t", once)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		} else if at, ok := AsErrAttempt(err); !ok || !at.MayHaveRun {
			t.Errorf("Do: got %v, want an error that says that the request may have run", err)
		}
		if err == nil {
			t.Error("Do: taken for an answer")
		}
	}
	if l, err := c.Load(ctx, address(report)); err == nil {
		t.Errorf("Load: got %+v", l)
	}
	if events, err := c.CacheEvents(ctx, address("[]"), 0); err == nil {
		t.Errorf("CacheEvents: got %v", events)
	}
	if err := c.Send(ctx, address("{}"), Order{}); err == nil {
		t.Error("Send: the order counts as taken")
	}
	if err := c.CancelStream(ctx, address("{}"), "s"); err == nil {
		t.Error("CancelStream: the stream counts as canceled")
	}
}

// Guards against an answer with a malformed head that is taken for one, with a status that ends the caller's handler for
// instance, or for a statement that the request did not run.
func TestMalformedAnswerIsNone(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":      "HTTP/1.1 000 S\r\nContent-Length: %d\r\n\r\n",
		"status +20":      "HTTP/1.1 +20 S\r\nContent-Length: %d\r\n\r\n",
		"status 999":      "HTTP/1.1 999 S\r\nContent-Length: %d\r\n\r\n",
		"status 101":      "HTTP/1.1 101 S\r\nX-Length: %d\r\n\r\n",
		"blank in name":   "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: %d\r\n\r\n",
		"blank of length": "HTTP/1.1 200 OK\r\nContent-Length : %d\r\n\r\n",
		"blank, not run":  "HTTP/1.1 503 S\r\nX-Not-Run: 1\r\nX-Y : 1\r\nContent-Length: %d\r\n\r\n",
		"version 2.0":     "HTTP/2.0 200 OK\r\nContent-Length: %d\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			expectNone(t, head+"%s")
			c := NewClient(time.Second)
			defer c.Close()
			const event = "data: [DONE]\n\n"
			address := cutServer(t, fmt.Sprintf(head+"%s", len(event), event), func(*net.TCPConn) {})
			resp, err := c.ResumeStream(t.Context(), address, "t", "s", 0)
			if err == nil {
				_, err = NewEventReader(resp.Body, 0, nil).Next()
				_ = resp.Body.Close()
			}
			if err == nil {
				t.Error("ResumeStream: got an event")
			}
		})
	}
}

// Guards against a body that is not whole, or ends in no trailer, and is taken for a report or for a confirmation.
func TestBrokenBodyIsNone(t *testing.T) {
	for name, format := range map[string]string{
		"cut length":       "HTTP/1.1 200 OK\r\nX-Length: %d\r\nContent-Length: 1000\r\n\r\n%s",
		"cut chunks":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
		"blank in trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX-Y : 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			expectNone(t, format)
		})
	}
}

// Guards against a report followed by other bytes that is taken for one.
func TestReportWithOtherBytesIsNone(t *testing.T) {
	c := NewClient(time.Second)
	defer c.Close()
	address := cutServer(t, "HTTP/1.1 200 OK\r\n\r\n{\"running\":1}{\"running\":2}", func(*net.TCPConn) {})
	if l, err := c.Load(t.Context(), address); err == nil {
		t.Errorf("got %+v", l)
	}
}
