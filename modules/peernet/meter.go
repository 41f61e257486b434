// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package peernet

import (
	"net"
	"sync/atomic"
)

// PacketOverhead is the size of a packet's IP and TCP headers, in bytes.
const PacketOverhead = 52

// Meter counts the traffic between routers at the sockets.
type Meter struct {
	Sent     atomic.Uint64 // bytes
	Received atomic.Uint64 // bytes
	Writes   atomic.Uint64 // write calls, each about one packet
}

// Bytes returns the bytes sent, including an estimate of the packet headers.
func (m *Meter) Bytes() uint64 {
	return m.Sent.Load() + PacketOverhead*m.Writes.Load()
}

type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (c meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.Received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.Sent.Add(uint64(n))
	c.meter.Writes.Add(1)
	return n, err
}
