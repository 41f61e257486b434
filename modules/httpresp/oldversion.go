// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package httpresp

import (
	"bytes"
	"net"
	"strings"
	"sync"
)

// OldVersion begins a head of HTTP/1.0.
const OldVersion = "HTTP/1.0 "

// CheckOldHeads returns an ErrMalformed if a head of HTTP/1.0 names a Transfer-Encoding (RFC 9112, section 6.1), since
// HTTP/1.0 has no chunks. net/http removes the field, so that Check does not find it. The bytes are the heads of a
// response, interim ones first, and may go on with its body.
func CheckOldHeads(heads []byte) error {
	inHead, old, interim := false, false, false
	for line := range bytes.Lines(heads) {
		text := strings.TrimRight(string(line), "\r\n")
		switch {
		case !inHead:
			_, status, _ := strings.Cut(text, " ")
			inHead, old, interim = true, strings.HasPrefix(text, OldVersion), strings.HasPrefix(status, "1")
		case text == "" && !interim:
			return nil
		case text == "":
			inHead = false
		case old && isTransferEncoding(text):
			return ErrMalformed{"HTTP/1.0 with a Transfer-Encoding"}
		}
	}
	return nil
}

func isTransferEncoding(line string) bool {
	name, _, _ := strings.Cut(line, ":")
	return strings.EqualFold(strings.TrimSpace(name), "Transfer-Encoding")
}

// headConn keeps the bytes of the heads of a response. Of the body it keeps no more than http.Transport reads ahead.
type headConn struct {
	net.Conn
	mu      sync.Mutex
	keeping bool
	kept    []byte
}

// NetConn returns the wrapped connection.
func (c *headConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.keeping {
		c.kept = append(c.kept, p[:n]...)
	}
	return n, err
}

// keep begins to keep what is read.
func (c *headConn) keep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keeping, c.kept = true, nil
}

// take returns what has been kept and keeps no more.
func (c *headConn) take() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.kept
	c.keeping, c.kept = false, nil
	return kept
}
