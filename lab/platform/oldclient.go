// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
)

// oldTransport sends requests by HTTP/1.0, each on a connection of its own. A body without a length
// ends with the connection, and only a reset shows that it is not complete.
type oldTransport struct{}

// RoundTrip implements http.RoundTripper.
func (oldTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(r.Context(), "tcp4", r.URL.Host)
	if err != nil {
		return nil, err
	}
	var text bytes.Buffer
	if err := r.Write(&text); err != nil {
		_ = conn.Close()
		return nil, err
	}
	request := bytes.Replace(text.Bytes(), []byte(" HTTP/1.1\r\n"), []byte(" HTTP/1.0\r\n"), 1)
	if _, err := conn.Write(request); err != nil {
		_ = conn.Close()
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	resp.Body = closingBody{resp.Body, conn}
	return resp, nil
}

// closingBody closes the connection with the body.
type closingBody struct {
	io.Reader
	conn net.Conn
}

// Close implements io.Closer.
func (b closingBody) Close() error { return b.conn.Close() }
