// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package peernet

import (
	"context"
	"net"
	"time"
)

// Relayed requests use plain connections instead of yamux streams, which would add a
// goroutine switch and a copy to each piece of a response.

// RelayOptions configures DialRelay.
type RelayOptions struct {
	Auth        *Auth
	Meter       *Meter
	Address     string
	DialTimeout time.Duration
}

// DialRelay opens a connection on which to relay callers' requests to a peer. It
// authenticates this process and does not wait for a reply.
func DialRelay(ctx context.Context, o RelayOptions) (net.Conn, error) {
	conn, err := dialConn(ctx, o.Auth, o.Meter, o.Address, o.DialTimeout)
	if err != nil {
		return nil, err
	}
	if err := o.Auth.sendRelayHello(conn); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}
