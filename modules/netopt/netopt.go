// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package netopt sets the TCP options that detect a dead peer within seconds, and
// offers helpers for connections: a byte counter, a non-consuming read and a check
// whether a server has exited.
package netopt

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// userTimeout is TCP_USER_TIMEOUT: sent data may stay unacknowledged for this long
	// before the connection is closed.
	userTimeout = 3 * time.Second
)

// MaxResponseHead bounds the bytes of a response's head that are read from another system.
const MaxResponseHead = 64 << 10

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var inner error
	err := c.Control(func(fd uintptr) {
		inner = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return inner
}

// Dialer returns a dialer for connections that detect a dead peer.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAliveConfig(), Control: setUserTimeout}
}

// Listen returns a TCP listener for connections that detect a dead peer.
func Listen(address string) (net.Listener, error) {
	return listen("tcp4", address)
}

// ListenAny is Listen for addresses of IPv4 or IPv6.
func ListenAny(address string) (net.Listener, error) { return listen("tcp", address) }

func listen(network, address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: keepAliveConfig(), Control: setUserTimeout}
	return lc.Listen(context.Background(), network, address)
}

// DeadlineIn returns the deadline for a net.Conn that is d from now. Connection deadlines use
// the runtime's monotonic clock, which stops while the machine is suspended, so they may fire
// late. Where that matters, close the connection by a timer of modules/clock.
func DeadlineIn(d time.Duration) time.Time { return time.Now().Add(d) }
