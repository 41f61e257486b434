// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package client

import (
	"io"
	"net"
	"net/http"
	"testing"

	"madderway/modules/httpresp/httpresptest"
)

// Guards against an answer that is malformed or not whole and is taken for the router's.
func TestBrokenAnswerIsNone(t *testing.T) {
	const body = `{"version":1}`
	for name, text := range map[string]string{
		"status 000":       "HTTP/1.1 000 S\r\nContent-Length: 13\r\n\r\n" + body,
		"status 101":       "HTTP/1.1 101 S\r\n\r\n" + body,
		"blank in name":    "HTTP/1.1 200 OK\r\nX-Y : 1\r\nContent-Length: 13\r\n\r\n" + body,
		"blank in trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nd\r\n" + body + "\r\n0\r\nX-Y : 1\r\n\r\n",
		"cut length":       "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n" + body,
		"cut chunks":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nd\r\n" + body,
		"cut, no length":   "HTTP/1.1 200 OK\r\n\r\n" + body[:len(body)-1],
	} {
		t.Run(name, func(t *testing.T) {
			address := httpresptest.Serve(t, func(c *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(c, text) })
			if got, err := New(address, "token").Get(t.Context()); err == nil {
				t.Errorf("got %+v", got)
			}
		})
	}
}
