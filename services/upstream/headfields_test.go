// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"madderway/models/routing"
	"madderway/modules/netopt"
)

// manyFields returns n header lines that differ.
func manyFields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\n", i)
	}
	return b.String()
}

// Guards against heads within the bound on their bytes that take many times as much memory once they are
// parsed.
func TestHeadOfManyFieldsIsCut(t *testing.T) {
	const (
		heads    = 100
		eachMore = 256 << 10 // a head of the greatest size and the buffers of its connection
		status   = "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: 1\r\n"
	)
	for name, head := range map[string]string{
		"without its end": status + manyFields(netopt.MaxResponseHead/8),
		"complete":        status + manyFields(netopt.MaxResponseHead/8) + "\r\nbody",
		"short lines":     status + manyFields(2*maxHeadLines) + "\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			var settled, done sync.WaitGroup
			release := make(chan struct{})
			address := holdingTarget(t, head)
			before := heapBytes()
			for range heads {
				settled.Add(1)
				done.Add(1)
				go func() {
					defer done.Done()
					client := NewClient(NewPool(time.Minute, 2, &netopt.Traffic{}), plainDialect{}, nil)
					target := &routing.Target{ID: "t", Address: address}
					a, err := client.Send(t.Context(), target, &Request{ID: "1", Method: "GET", URI: "/", Host: "h", Header: http.Header{}, Deadline: time.Now().Add(time.Minute)})
					if !strings.Contains(fmt.Sprint(err), errHeadTooManyLines.Error()) {
						t.Errorf("got error %v, want %v", err, errHeadTooManyLines)
					}
					settled.Done()
					<-release
					if err == nil {
						a.Close()
					}
				}()
			}
			settled.Wait()
			if held := heapBytes() - before; held > heads*eachMore {
				t.Errorf("%d heads hold %d KB each, want %d KB at most", heads, held/heads>>10, eachMore>>10)
			}
			close(release)
			done.Wait()
		})
	}
}

// Guards against a head that is refused for the lines of the body that came with it.
func TestLinesOfBodyDoNotCount(t *testing.T) {
	body := strings.Repeat("\n", 4*maxHeadLines)
	target := startTarget(t, func(int, int, string) scriptedAnswer {
		return scriptedAnswer{text: fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\nSigned: 1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)}
	})
	client := NewClient(NewPool(time.Minute, 2, &netopt.Traffic{}), plainDialect{}, nil)
	for range 3 { // on one connection
		a, err := client.Send(t.Context(), target.target(), &Request{ID: "1", Method: "GET", URI: "/", Host: "h", Header: http.Header{}, Deadline: time.Now().Add(time.Hour)})
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(a.Body); err != nil || string(got) != body {
			t.Errorf("got %d bytes of the body, error %v", len(got), err)
		}
		a.Close()
	}
}

// holdingTarget answers each request with a text and keeps the connection until the other side closes it.
func holdingTarget(t *testing.T, text string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, text)
					_, _ = io.Copy(io.Discard, c)
				}
			}()
		}
	}()
	return l.Addr().String()
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
