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
	tcp, ok := unwrapTCP(c)
	if !ok {
		return PeekUnknown
	}
	result := PeekClosed
	var one [1]byte
	// Unlike a read, control does not wait for a concurrent read. It fails if the connection is closed locally.
	_ = control(tcp, func(fd int) error {
		n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			result = PeekEmpty
		case err == nil && n > 0:
			result = PeekData
		}
		return nil
	})
	return result
}
