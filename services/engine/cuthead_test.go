// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package engine

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// cutServer sends the first bytes of an answer to each request and ends the connection.
func cutServer(t *testing.T, cut string, end func(*net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, cut)
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against an answer that stops in its head, or before the end that its head announces, and is
// taken for a whole one, or for one that did not run.
func TestCutAnswerIsNeverWhole(t *testing.T) {
	const answer = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nhello"
	for name, end := range map[string]func(*net.TCPConn){
		"close":      func(*net.TCPConn) {},
		"reset":      func(c *net.TCPConn) { _ = c.SetLinger(0) },
		"half-close": func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for cut := range answer {
				checkCut(t, answer[:cut], end)
			}
		})
	}
}

func checkCut(t *testing.T, cut string, end func(*net.TCPConn)) {
	address := cutServer(t, cut, end)
	c := NewClient(time.Second)
	defer c.Close()
	for _, once := range []bool{false, true} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/a", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := c.Do(req, "t", once)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err == nil {
				t.Errorf("cut after %d bytes: got status %d as a whole answer", len(cut), resp.StatusCode)
			}
			continue
		}
		if at, ok := AsErrAttempt(err); !ok || !at.MayHaveRun {
			t.Errorf("cut after %d bytes: got %v, want an error that says that the request may have run", len(cut), err)
		}
	}
}
