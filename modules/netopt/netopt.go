// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package netopt sets the socket options that make a silent peer show within
// seconds: keep-alive probes and the time that sent bytes may stay unconfirmed.
package netopt

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	probeCount    = 3
	// unconfirmed is how long sent bytes may stay without confirmation before
	// the connection is given up.
	unconfirmed = 3 * time.Second
)

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

func control(_, _ string, c syscall.RawConn) error {
	var inner error
	err := c.Control(func(fd uintptr) {
		inner = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unconfirmed.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return inner
}

// Dialer returns a dialer whose connections have the options set.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive(), Control: control}
}

// Listen returns a TCP listener whose connections have the options set.
func Listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: control}
	return lc.Listen(context.Background(), "tcp4", address)
}

// DeadlineIn returns the time at which a deadline of a connection ends. Connections and their timers
// go by the steady clock of the runtime, which does not count suspension: such a deadline ends
// late by it. It bounds how long a read or a write may take, and promises nothing; what does is
// a timer of modules/clock, which closes the connection.
func DeadlineIn(d time.Duration) time.Time { return time.Now().Add(d) }
