// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package netopt

import (
	"errors"
	"net"
	"syscall"
)

// PeekResult is the readable state of a connection.
type PeekResult int

// The values of PeekResult.
const (
	PeekUnknown PeekResult = iota // not a TCP connection
	PeekEmpty
	PeekData
	PeekClosed // closed by the peer, reset, or closed locally
)

// Peek reports whether a connection has data to read, without consuming it or blocking.
func Peek(c net.Conn) PeekResult {
	if wrapper, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapper.NetConn()
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return PeekUnknown
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return PeekClosed
	}
	result := PeekClosed
	var one [1]byte
	// Unlike raw.Read, Control does not wait for a concurrent read.
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			result = PeekEmpty
		case err == nil && n > 0:
			result = PeekData
		}
	})
	if err != nil {
		return PeekClosed // closed locally
	}
	return result
}
