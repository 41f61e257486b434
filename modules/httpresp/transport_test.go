// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package httpresp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// serve starts a server that passes each request and its connection to a function, and closes the connection then.
func serve(t *testing.T, answer func(c *net.TCPConn, r *http.Request)) (url string) {
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
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					answer(c.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String() + "/"
}

func post(t *testing.T, url string, size int) (body string, err error) {
	t.Helper()
	client := &http.Client{Transport: Transport(&http.Transport{})}
	defer client.CloseIdleConnections()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		t.Fatal(err)
	}
	req.GetBody = nil
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	return string(content), err
}

const (
	early     = "HTTP/1.1 200 OK\r\n\r\nearly"
	earlyBody = "early"
)

// Guards against a part of a response that is taken for a whole one, because the upload took the error of a
// reset from the reader.
func TestResetInUploadIsNeverWhole(t *testing.T) {
	for _, size := range []int{64 << 10, 1 << 20, 4 << 20} {
		for _, read := range []int64{0, 20 << 10} {
			t.Run(fmt.Sprintf("upload %d/read %d", size, read), func(t *testing.T) {
				t.Parallel()
				url := serve(t, func(c *net.TCPConn, r *http.Request) {
					_, _ = io.CopyN(io.Discard, r.Body, read)
					_, _ = io.WriteString(c, early)
					_ = c.SetLinger(0)
				})
				for range 30 {
					if body, err := post(t, url, size); err == nil {
						t.Errorf("got %q as a whole response", body)
					}
				}
			})
		}
	}
}

// Guards against a whole response that is lost because the server ends it before it has read the upload.
func TestEarlyResponseIsWhole(t *testing.T) {
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	for name, rest := range map[string]func(c *net.TCPConn){
		"reads on":    func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) },
		"never reads": func(*net.TCPConn) { <-done },
	} {
		for _, size := range []int{64 << 10, 4 << 20} {
			t.Run(fmt.Sprintf("%s/upload %d", name, size), func(t *testing.T) {
				t.Parallel()
				url := serve(t, func(c *net.TCPConn, _ *http.Request) {
					_, _ = io.WriteString(c, early)
					_ = c.CloseWrite()
					rest(c)
				})
				for range 10 {
					if body, err := post(t, url, size); err != nil || body != earlyBody {
						t.Errorf("got %q, error %v", body, err)
					}
				}
			})
		}
	}
}
