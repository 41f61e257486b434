// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"madderway/models/routing"
)

// ending is a way in which a target stops in the middle of an answer.
type ending string

const (
	endByClose     ending = "close"
	endByReset     ending = "reset"
	endByHalfClose ending = "half-close" // the target goes on reading
)

// cutTarget answers each request with the first bytes of an answer and then ends the connection. On a
// kept connection a whole answer comes before.
func cutTarget(t *testing.T, cut string, kept bool, end ending) *routing.Target {
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
			go answerCut(c.(*net.TCPConn), cut, kept, end)
		}
	}()
	return &routing.Target{ID: "t", Address: l.Addr().String()}
}

func answerCut(c *net.TCPConn, cut string, kept bool, end ending) {
	defer c.Close()
	r := bufio.NewReader(c)
	for first := true; ; first = false {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if first && kept {
			_, _ = io.WriteString(c, signedAnswer(req.Header.Get("Id"), "whole"))
			continue
		}
		_, _ = io.WriteString(c, cut)
		switch end {
		case endByReset:
			_ = c.SetLinger(0)
		case endByHalfClose:
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, r)
		}
		return
	}
}

// cutAnswers are whole answers to the request "2", with the number of bytes from which the end of the
// connection cannot be told from that of the answer.
func cutAnswers() map[string]struct {
	text  string
	whole int
} {
	head := "HTTP/1.1 200 OK\r\nId: 2\r\nSigned: yes\r\n"
	length := head + "Content-Length: 5\r\n\r\nhello"
	chunks := head + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n5\r\nhello\r\n0\r\nSum: 7\r\n\r\n"
	empty := head + "Content-Length: 0\r\n\r\n"
	return map[string]struct {
		text  string
		whole int
	}{
		"length":   {length, len(length)},
		"chunks":   {chunks, len(chunks)},
		"empty":    {empty, len(empty)},
		"unframed": {head + "\r\nhello", len(head) + 2},
		"interim":  {"HTTP/1.1 100 Continue\r\n\r\n" + "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + length, len("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n") + len(length)},
	}
}

// Guards against an answer that stops at any byte, in its head too, and is taken for a whole one.
func TestCutAnswerIsNeverWhole(t *testing.T) {
	for name, answer := range cutAnswers() {
		for _, end := range []ending{endByClose, endByReset, endByHalfClose} {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/kept %t", name, end, kept), func(t *testing.T) {
					t.Parallel()
					for cut := range answer.whole {
						checkCut(t, answer.text[:cut], kept, end)
					}
				})
			}
		}
	}
}

func checkCut(t *testing.T, cut string, kept bool, end ending) {
	target := cutTarget(t, cut, kept, end)
	c, pool := newClient()
	defer pool.CloseIdle()
	if kept {
		if status, body, err := sendTo(t, c, target, request("1", "")); err != nil || status != http.StatusOK || body != "whole" {
			t.Fatalf("first answer: %d, %q, %v", status, body, err)
		}
	}
	status, body, err := sendTo(t, c, target, request("2", ""))
	if err == nil {
		t.Errorf("cut after %q: got status %d and body %q as a whole answer", cut[max(len(cut)-30, 0):], status, body)
	}
	if status == 0 {
		if e, ok := AsErrExchange(err); !ok || !e.Sent {
			t.Errorf("cut after %q: got %v, want an error that says that the request was sent", cut[max(len(cut)-30, 0):], err)
		}
	}
}

func sendTo(t *testing.T, c *Client, target *routing.Target, r *Request) (status int, body string, err error) {
	t.Helper()
	a, err := c.Send(t.Context(), target, r)
	if err != nil {
		return 0, "", err
	}
	defer a.Close()
	var text strings.Builder
	_, err = io.Copy(&text, a.Body)
	return a.Status, text.String(), err
}
