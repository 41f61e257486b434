// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package router

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// Guards against callers that read nothing and hold their answers for ever: without a timeout of unsent
// data a write to them never ends, and the bytes are lacking for others.
func TestConnectionsOfStalledCallersEnd(t *testing.T) {
	listeners, err := listen("127.0.0.1:0", "[::1]:0")
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range listeners {
		defer l.Close()
		caller, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer caller.Close()
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		raw, err := conn.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		timeout := 0
		if controlErr := raw.Control(func(fd uintptr) {
			timeout, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		}); controlErr != nil || err != nil || timeout <= 0 {
			t.Errorf("%s: got a timeout of %d ms for unsent data, errors %v, %v", l.Addr(), timeout, controlErr, err)
		}
	}
}
