// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package netopt

import (
	"errors"
	"net"
	"syscall"
)

// Pending is what can be read of a connection now.
type Pending int

// What can be pending.
const (
	Unknown Pending = iota // it is no TCP connection
	Nothing
	Bytes
	End // the other side has closed it, or it was reset
)

// Peek tells what can be read of a connection, and leaves it there. It does not wait.
func Peek(c net.Conn) Pending {
	if counted, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = counted.NetConn()
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return Unknown
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return End
	}
	pending := End
	var one [1]byte
	// Control does not wait for a read that is under way, as Read would.
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			pending = Nothing
		case err == nil && n > 0:
			pending = Bytes
		}
	})
	if err != nil {
		return End // it is closed here
	}
	return pending
}
