// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package upstream

import (
	"errors"
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"madderway/modules/netopt"
)

const (
	chunkedHead  = "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	unframedHead = "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: 1\r\n\r\n"
	longHead     = "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: 1\r\nContent-Length: 9000000000000000000\r\n\r\n"
)

func plainRequest() *Request {
	return &Request{ID: "1", Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, MayRepeat: true, Deadline: time.Now().Add(time.Minute)}
}

// Guards against a body whose framing never ends, so that no byte of it reaches a bound on bodies.
func TestEndlessFramingOfBodyIsCut(t *testing.T) {
	const maxRead = 128 << 10 // beyond the first bytes of the body
	for _, c := range []struct{ place, begin, piece string }{
		{"chunk size", chunkedHead, "0"},
		{"chunk extension", chunkedHead + "5;a=", "x"},
		{"extensions of many chunks", chunkedHead, "1;abcdefghijklmnopqrstuvwxyz\r\na\r\n"},
		{"trailer line", chunkedHead + "0\r\nA: ", "x"},
		{"trailer lines", chunkedHead + "0\r\n", "A: b\r\n"},
		{"line after a chunk", chunkedHead + "1\r\na", "\r"},
	} {
		t.Run(c.place, func(t *testing.T) {
			target, traffic := endlessTarget(t, c.begin, c.piece), &netopt.Traffic{}
			pool := NewPool(time.Minute, 2, traffic)
			a, err := NewClient(pool, plainDialect{}, nil).Send(t.Context(), target, plainRequest())
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, a.Body); err == nil {
				t.Error("the body looks complete")
			}
			a.Close()
			if _, received := traffic.Bytes(); received > maxRead {
				t.Errorf("%d bytes were read, want at most %d", received, maxRead)
			}
			if pool.take("t") != nil {
				t.Error("the connection is kept")
			}
		})
	}
}

// Guards against a body without end that is read ahead of whoever passes it on.
func TestEndlessBodyIsReadOnDemand(t *testing.T) {
	const taken = 1 << 20
	for _, c := range []struct{ framing, begin, piece string }{
		{"length", longHead, "x"},
		{"chunks", chunkedHead, "4\r\nabcd\r\n"},
		{"one chunk", chunkedHead + "7fffffffffffffff\r\n", "x"},
		{"close", unframedHead, "x"},
	} {
		t.Run(c.framing, func(t *testing.T) {
			const maxOverhead = 3 // bytes of framing for each byte of the body
			target, traffic := endlessTarget(t, c.begin, c.piece), &netopt.Traffic{}
			pool := NewPool(time.Minute, 2, traffic)
			a, err := NewClient(pool, plainDialect{}, nil).Send(t.Context(), target, plainRequest())
			if err != nil {
				t.Fatal(err)
			}
			if n, err := io.CopyN(io.Discard, a.Body, taken); err != nil {
				t.Errorf("%d bytes, error %v", n, err)
			}
			a.Close()
			if _, received := traffic.Bytes(); received > maxOverhead*taken+4*readBuffer {
				t.Errorf("%d bytes were read for %d of the body", received, taken)
			}
			if pool.take("t") != nil {
				t.Error("the connection is kept")
			}
		})
	}
}

// Guards against an answer to another request, or a list of cached parts, that is read without end.
func TestUnusedEndlessBodiesAreCut(t *testing.T) {
	const (
		stray       = "HTTP/1.1 200 OK\r\nId: other\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
		maxOverhead = 3
	)
	for _, c := range []struct{ framing, begin, piece string }{
		{"length", longHead, "x"},
		{"chunks", chunkedHead, "4\r\nabcd\r\n"},
		{"close", unframedHead, "x"},
		{"another request's", stray, "4\r\nabcd\r\n"},
	} {
		t.Run(c.framing, func(t *testing.T) {
			target, traffic := endlessTarget(t, c.begin, c.piece), &netopt.Traffic{}
			client, bound := NewClient(NewPool(time.Minute, 2, traffic), plainDialect{}, nil), maxCachedList
			if c.begin == stray {
				bound = maxDiscard
				if _, err := client.Send(t.Context(), target, plainRequest()); err == nil {
					t.Error("an answer to another request was taken")
				}
			} else if _, err := client.CachedParts(t.Context(), target); err == nil {
				t.Error("a list without end was taken")
			}
			if _, received := traffic.Bytes(); received > uint64(maxOverhead*bound+4*readBuffer) {
				t.Errorf("%d bytes were read, want about %d", received, bound)
			}
		})
	}
}

// Guards against bytes without end after an answer, or on an idle connection, that are read or taken for
// the next answer.
func TestEndlessBytesAfterAnswerCloseConnection(t *testing.T) {
	const requests = 3
	whole := signedAnswer("1", "body")
	for name, piece := range map[string]string{"bytes": "x", "answers": whole} {
		t.Run(name, func(t *testing.T) {
			target, traffic := endlessTarget(t, whole+piece, piece), &netopt.Traffic{} // the first piece comes with the answer
			pool := NewPool(time.Minute, 2, traffic)
			client := NewClient(pool, plainDialect{}, nil)
			for range requests {
				a, err := client.Send(t.Context(), target, plainRequest())
				if err != nil {
					t.Fatal(err)
				}
				if body, err := io.ReadAll(a.Body); string(body) != "body" || err != nil {
					t.Errorf("got %q, error %v", body, err)
				}
				a.Close()
			}
			if _, received := traffic.Bytes(); received > requests*2*readBuffer {
				t.Errorf("%d bytes were read", received)
			}
		})
	}
}

// Guards against an answer without end that is read beyond the deadline of its request.
func TestEndlessAnswerEndsAtDeadline(t *testing.T) {
	for _, c := range []struct{ place, begin, piece string }{
		{"length", longHead, "x"},
		{"chunks", chunkedHead, "4\r\nabcd\r\n"},
		{"close", unframedHead, "x"},
	} {
		t.Run(c.place, func(t *testing.T) {
			target := endlessTarget(t, c.begin, c.piece)
			request := plainRequest()
			request.Deadline = time.Now().Add(100 * time.Millisecond)
			a, err := NewClient(NewPool(time.Minute, 2, &netopt.Traffic{}), plainDialect{}, nil).Send(t.Context(), target, request)
			if err != nil {
				t.Fatal(err)
			}
			defer a.Close()
			if _, err := io.Copy(io.Discard, a.Body); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("got error %v, want that of the deadline", err)
			}
		})
	}
}
