// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package peernet

import (
	"context"
	"net"
	"time"
)

// A connection that carries requests of callers is none of yamux: a stream of a session
// would cost a gateway that passes a thousand requests a second on more than it has, since
// each piece of an answer is one more goroutine's work and one more copy.

// RelayOptions say whom to connect to.
type RelayOptions struct {
	Auth        *Auth
	Meter       *Meter
	Address     string
	DialTimeout time.Duration
}

// DialRelay connects to a peer that takes requests of callers over. It proves who this
// process is and waits for nothing.
func DialRelay(ctx context.Context, o RelayOptions) (net.Conn, error) {
	conn, err := dialWrapped(ctx, o.Auth, o.Meter, o.Address, o.DialTimeout)
	if err != nil {
		return nil, err
	}
	if err := o.Auth.sayCarrying(conn); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}
