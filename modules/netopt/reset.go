// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package netopt

import "net"

// SetResetOnClose sets whether closing a TCP connection resets it and drops unsent data.
func SetResetOnClose(c net.Conn, on bool) error {
	tcp, ok := unwrapTCP(c)
	if !ok {
		return nil
	}
	const systemDefault = -1 // data is sent in the background
	if on {
		return tcp.SetLinger(0)
	}
	return tcp.SetLinger(systemDefault)
}
