// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package loopback gives each process of the laboratory loopback addresses of its own, so that
// processes that run at the same time do not take each other's ports.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"
)

const (
	// networks is the number of networks 127.n.0.0/16 that are used, from n = 1.
	networks = 250
	// A process holds a listener at claimHost and claimPort of its network. Sites use lower third bytes.
	claimHost = "255.254"
	claimPort = 8000
)

// claim is a network of one process, as long as its listener is open.
type claim struct {
	network  int
	listener net.Listener
}

// claimFrom claims the first free network, counting from one on. If there is none the claim has no
// listener, and whoever listens in the network may find an address taken.
func claimFrom(first int) claim {
	for i := range networks {
		n := 1 + (first+i)%networks
		if l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%s:%d", n, claimHost, claimPort)); err == nil {
			return claim{n, l}
		}
	}
	return claim{network: 1 + first%networks}
}

// own is the claim of this process, which ends with it.
var own = sync.OnceValue(func() claim { return claimFrom(os.Getpid()) })

// Address returns an address in the network of this process. Sites with different numbers have
// different addresses.
func Address(site, host, port int) string {
	const sites = 250
	return fmt.Sprintf("127.%d.%d.%d:%d", own().network, site%sites, host, port)
}
