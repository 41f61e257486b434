// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package netopt

import (
	"errors"
	"net"
	"syscall"
)

// PeekResult is what can be read of a connection now.
type PeekResult int

// What can be pending.
const (
	PeekUnknown PeekResult = iota // it is no TCP connection
	PeekEmpty
	PeekData
	PeekClosed // the other side has closed it, or it was reset
)

// Peek tells what can be read of a connection, and leaves it there. It does not wait.
func Peek(c net.Conn) PeekResult {
	if counted, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = counted.NetConn()
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return PeekUnknown
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return PeekClosed
	}
	pending := PeekClosed
	var one [1]byte
	// Control does not wait for a read that is under way, as Read would.
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			pending = PeekEmpty
		case err == nil && n > 0:
			pending = PeekData
		}
	})
	if err != nil {
		return PeekClosed // it is closed here
	}
	return pending
}
