// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"madderway/models/routing"
	"madderway/modules/httpresp/httpresptest"
)

const earlyBody = "the body, or the part of it that came"

// earlyTarget answers each upload without a length, having read some bytes of it.
type earlyTarget struct {
	status string
	read   int64
	end    func(c *net.TCPConn) // ends the connection after the answer
}

func (e earlyTarget) start(t *testing.T) *routing.Target {
	t.Helper()
	return &routing.Target{ID: "t", Address: httpresptest.Serve(t, e.answer)}
}

func (e earlyTarget) answer(c *net.TCPConn, r *http.Request) {
	if _, err := io.CopyN(io.Discard, r.Body, e.read); err != nil {
		return
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nId: 1\r\nSigned: yes\r\n\r\n%s", e.status, earlyBody); err == nil {
		e.end(c)
	}
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func upload(size int) *Request { return request("1", strings.Repeat("x", size)) }

var earlyStatuses = []string{"200 OK", "500 Internal Server Error"}

// Guards against a part of an answer that is taken for a whole one, because the upload took the error of
// the reset from the reader.
func TestResetThatEndsUploadEndsAnswer(t *testing.T) {
	for _, status := range earlyStatuses {
		t.Run(status, func(t *testing.T) {
			answered := make(chan struct{})
			target := earlyTarget{status: status, end: func(c *net.TCPConn) { <-answered; reset(c) }}.start(t)
			c, _ := newClient()
			a, err := c.Send(t.Context(), target, upload(4<<20))
			if err != nil {
				t.Fatal(err)
			}
			defer a.Close()
			close(answered)
			written := <-a.writeDone
			a.writeDone <- written
			if !errors.Is(written, syscall.ECONNRESET) {
				t.Fatalf("the upload ended with %v, want a reset", written)
			}
			if body, err := io.ReadAll(a.Body); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("got %q and error %v, want a reset", body, err)
			}
		})
	}
}

// Guards against a part of an answer that is taken for a whole one, wherever in an upload the connection is reset.
func TestResetInUploadIsNeverWhole(t *testing.T) {
	const repetitions = 12
	for _, status := range earlyStatuses {
		for _, size := range []int{1 << 10, 64 << 10, 1 << 20, 4<<20 - 1} {
			for _, read := range []int64{0, 1 << 10, 20 << 10} {
				if read > int64(size) {
					continue
				}
				for _, afterHead := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s/upload %d/read %d/after head %t", status, size, read, afterHead), func(t *testing.T) {
						t.Parallel()
						for range repetitions {
							testResetInUpload(t, status, size, read, afterHead)
						}
					})
				}
			}
		}
	}
}

func testResetInUpload(t *testing.T, status string, size int, read int64, afterHead bool) {
	t.Helper()
	answered := make(chan struct{})
	if !afterHead {
		close(answered)
	}
	target := earlyTarget{status: status, read: read, end: func(c *net.TCPConn) { <-answered; reset(c) }}.start(t)
	c, _ := newClient()
	a, err := c.Send(t.Context(), target, upload(size))
	if err != nil {
		return
	}
	defer a.Close()
	if afterHead {
		close(answered)
	}
	if body, err := io.ReadAll(a.Body); err == nil {
		t.Errorf("got status %d and %q as a whole answer", a.Status, body)
	}
}

// Guards against a whole answer that is lost, or waits for the rest of the upload, because its target ends
// it before it has read the upload.
func TestEarlyAnswerIsWhole(t *testing.T) {
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	ends := map[string]func(c *net.TCPConn){
		"reads on":        func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) },
		"never reads":     func(c *net.TCPConn) { _ = c.CloseWrite(); <-done },
		"resets after it": func(c *net.TCPConn) { _ = c.CloseWrite(); reset(c) },
	}
	for _, status := range earlyStatuses {
		for name, end := range ends {
			for _, size := range []int{1 << 10, 64 << 10, 1 << 20, 4<<20 - 1} {
				t.Run(fmt.Sprintf("%s/%s/upload %d", status, name, size), func(t *testing.T) {
					t.Parallel()
					target := earlyTarget{status: status, end: end}.start(t)
					for range 12 {
						c, _ := newClient()
						if _, body, err := sendTo(t, c, target, upload(size)); err != nil || body != earlyBody {
							t.Errorf("got %q, error %v; want %q", body, err, earlyBody)
						}
					}
				})
			}
		}
	}
}
