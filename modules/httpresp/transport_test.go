// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package httpresp

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"madderway/modules/httpresp/httpresptest"
)

func serve(t *testing.T, answer func(c *net.TCPConn, r *http.Request)) (url string) {
	t.Helper()
	return "http://" + httpresptest.Serve(t, answer) + "/"
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

const otherResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"

// malformedResponses are no responses although net/http takes them for some.
var malformedResponses = map[string]string{
	"status 000":           "HTTP/1.1 000 S\r\nContent-Length: 4\r\n\r\nbody",
	"status 000, no body":  "HTTP/1.1 000 S\r\nContent-Length: 0\r\n\r\n" + otherResponse,
	"status 099":           "HTTP/1.1 099 S\r\n\r\nbody",
	"status +20":           "HTTP/1.1 +20 S\r\n\r\nbody",
	"status 600":           "HTTP/1.1 600 S\r\n\r\nbody",
	"status 999":           "HTTP/1.1 999 S\r\n\r\nbody",
	"unasked upgrade":      "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nbody",
	"blank before colon":   "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nbody",
	"blank in name":        "HTTP/1.1 500 S\r\nX Y: 1\r\nContent-Length: 4\r\n\r\nbody",
	"blank, coding":        "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"blank in trailer":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Y : 1\r\n\r\n",
	"blank in interim one": "HTTP/1.1 103 S\r\nX-Y : 1\r\n\r\n" + otherResponse,
	"1.0, chunks":          "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"1.0 after interim":    "HTTP/1.1 103 S\r\n\r\nHTTP/1.0 500 S\r\ntransfer-encoding:chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"1.0, long head":       "HTTP/1.0 200 OK\r\nX-Y: " + strings.Repeat("y", 32<<10) + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"version 2.0":          "HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\nbody",
}

// Guards against a malformed response that a client takes.
func TestMalformedResponseIsNone(t *testing.T) {
	for name, text := range malformedResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			url := serve(t, func(c *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(c, text) })
			body, err := post(t, url, 1)
			if !IsErrMalformed(err) {
				t.Errorf("got %q, error %v; want an ErrMalformed", body, err)
			}
		})
	}
}

// Guards against another request on the connection of a malformed response without a body.
func TestConnectionOfMalformedResponseIsNotReused(t *testing.T) {
	const requests = 3
	var connections atomic.Int32
	url := serve(t, func(c *net.TCPConn, _ *http.Request) {
		connections.Add(1)
		for err := error(nil); err == nil; _, err = c.Read(make([]byte, 4<<10)) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Y : 1\r\nContent-Length: 0\r\n\r\n")
		}
	})
	client := &http.Client{Transport: Transport(&http.Transport{})}
	defer client.CloseIdleConnections()
	for range requests {
		resp, err := client.Get(url)
		if err == nil {
			_ = resp.Body.Close()
		}
		if !IsErrMalformed(err) {
			t.Errorf("got error %v, want an ErrMalformed", err)
		}
	}
	if n := connections.Load(); n != requests {
		t.Errorf("%d requests came on %d connections", requests, n)
	}
}

// Guards against refusing sound responses.
func TestSoundResponseIsTaken(t *testing.T) {
	for name, text := range map[string]string{
		"length":  otherResponse,
		"interim": "HTTP/1.1 103 S\r\nLink: </a>\r\n\r\n" + otherResponse,
		"chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\nX-Y: 1\r\n\r\n",
		"failure": "HTTP/1.1 599 S\r\n\r\nother",
		"folded":  "HTTP/1.1 200 OK\r\nX-Y: 1\r\n 2\r\n\r\nother",
		"1.0":     "HTTP/1.0 200 OK\r\nX-Y: Transfer-Encoding: chunked\r\n\r\nother",
	} {
		t.Run(name, func(t *testing.T) {
			url := serve(t, func(c *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(c, text) })
			if body, err := post(t, url, 1); err != nil || body != "other" {
				t.Errorf("got %q, error %v", body, err)
			}
		})
	}
}

// Guards against a field of a body that is taken for one of a head.
func TestOldHeadsEndBeforeBody(t *testing.T) {
	const field = "Transfer-Encoding: chunked\r\n\r\n"
	for text, want := range map[string]bool{
		"HTTP/1.0 200 OK\r\n" + field:                                                     true,
		"HTTP/1.0 200 OK\nTRANSFER-ENCODING : x\n\n":                                      true,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\n" + field:                        true,
		"HTTP/1.0 100 Continue\r\n" + field + "HTTP/1.1 200 OK\r\n\r\n":                   true,
		"HTTP/1.0 200 OK\r\n\r\n" + field:                                                 false,
		"HTTP/1.0 200 OK\r\n\r\nHTTP/1.0 200 OK\r\n" + field:                              false,
		"HTTP/1.1 200 OK\r\n" + field:                                                     false,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nHTTP/1.0 200 OK\r\n" + field: false,
		"": false,
	} {
		if err := CheckOldHeads([]byte(text)); IsErrMalformed(err) != want {
			t.Errorf("%q: got %v", text, err)
		}
	}
}
