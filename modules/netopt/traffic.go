// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package netopt

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes that cross a process's connections, without the headers of
// packets.
type Traffic struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// Bytes returns the bytes sent and received so far.
func (t *Traffic) Bytes() (sent, received uint64) { return t.sent.Load(), t.received.Load() }

// Wrap returns a connection whose bytes are counted.
func (t *Traffic) Wrap(conn net.Conn) net.Conn { return &countedConn{conn, t} }

type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(uint64(n))
	return n, err
}

// NetConn returns the connection beneath.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side where the connection beneath can.
func (c *countedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
