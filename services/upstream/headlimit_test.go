// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"madderway/models/routing"
	"madderway/modules/netopt"
)

// endlessTarget answers each request with a text, and then with a piece that it repeats until the
// connection is closed.
func endlessTarget(t *testing.T, begin, piece string) *routing.Target {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	const pieces = 1 << 10
	many := strings.Repeat(piece, pieces)
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
				for text := begin; err == nil; text = many {
					_, err = io.WriteString(c, text)
				}
			}()
		}
	}()
	return &routing.Target{ID: "t", Address: l.Addr().String()}
}

// A target whose head never ends must not fill the memory of a gateway: one such answer would end its
// process.
func TestEndlessHeadIsCut(t *testing.T) {
	const slack = 2 * readBuffer
	for _, c := range []struct{ place, begin, piece string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"header line", "HTTP/1.1 200 OK\r\nA: ", "x"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		{"no answer", "", "\r\n"},
	} {
		t.Run(c.place, func(t *testing.T) {
			target, traffic := endlessTarget(t, c.begin, c.piece), &netopt.Traffic{}
			client := NewClient(NewPool(time.Minute, 2, traffic), plainDialect{}, nil)
			_, err := client.Send(t.Context(), target, &Request{ID: "1", Method: "GET", URI: "/", Host: "h", Header: http.Header{}, Deadline: time.Now().Add(time.Minute)})
			if e, ok := AsErrExchange(err); !ok || !e.Sent {
				t.Errorf("error %v, want an ErrExchange of a request that was sent", err)
			}
			if _, err := client.CachedParts(t.Context(), target); err == nil {
				t.Error("CachedParts takes an endless head")
			}
			if _, received := traffic.Bytes(); received > 2*(netopt.MaxResponseHead+slack) {
				t.Errorf("%d bytes of two heads were read, want at most %d each", received, netopt.MaxResponseHead)
			}
		})
	}
}

// The bound on a head must not end a body or the next head of a connection.
func TestHeadLimitDoesNotCountBodies(t *testing.T) {
	l := &headLimiter{r: strings.NewReader(strings.Repeat("x", 6*netopt.MaxResponseHead))}
	for range 2 {
		l.startHead()
		if n, err := io.CopyN(io.Discard, l, netopt.MaxResponseHead); err != nil {
			t.Fatalf("%d bytes of a head, error %v", n, err)
		}
		l.endHead()
		if n, err := io.CopyN(io.Discard, l, netopt.MaxResponseHead+1); err != nil {
			t.Fatalf("%d bytes of a body, error %v", n, err)
		}
	}
	l.startHead()
	if n, err := io.Copy(io.Discard, l); n != netopt.MaxResponseHead || !errors.Is(err, errHeadTooLarge) {
		t.Errorf("%d bytes of a head, error %v, want %d and errHeadTooLarge", n, err, netopt.MaxResponseHead)
	}
}

// A refusal whose body does not come must not hold the request back from the next target.
func TestDiscardBodyEndsWithoutTheBody(t *testing.T) {
	target := startTarget(t, func(int, int, string) scriptedAnswer {
		return scriptedAnswer{text: "HTTP/1.1 503 No\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 9\r\n\r\nhalf"}
	})
	client := NewClient(NewPool(time.Minute, 2, &netopt.Traffic{}), plainDialect{}, nil)
	a, err := client.Send(t.Context(), target.target(), &Request{ID: "1", Method: "GET", URI: "/", Host: "h", Header: http.Header{}, Deadline: time.Now().Add(time.Hour)})
	if err != nil {
		t.Fatal(err)
	}
	a.DiscardBody(1<<10, time.Millisecond)
	a.Close()
	if c := client.pool.take("t"); c != nil {
		t.Error("a connection with an unread body is kept")
	}
}
