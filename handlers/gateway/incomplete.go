// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import (
	"io"
	"maps"
	"net"
	"slices"

	"madderway/modules/netopt"
)

// EndIncomplete ends the reads of requests that have begun to arrive and are not whole, and the waits for
// answers to requests that were handed over. Their callers are answered. Call it repeatedly at the end of a stop,
// once the handler refuses all requests.
func (s *Server) EndIncomplete() {
	s.endsIncomplete.Store(true)
	s.connsMu.Lock()
	conns := slices.Collect(maps.Keys(s.conns))
	s.connsMu.Unlock()
	for _, c := range conns {
		c.endIncomplete()
	}
}

func (c *callerConn) endIncomplete() {
	if !c.idle.hasBegun() {
		return
	}
	c.exchange.ifIncomplete(func() {
		_ = c.countedConn.SetReadDeadline(interruptedDeadline) // fails only if the connection is closed
	})
}

// refuseIncomplete answers a request whose read failed with err because of EndIncomplete, if no handler will.
// The HTTP server closes such a connection without an answer.
func (c *callerConn) refuseIncomplete(err error) {
	timeout, ok := err.(net.Error)
	if !ok || !timeout.Timeout() || !c.server.endsIncomplete.Load() || !c.idle.hasBegun() || c.exchange.isHandled() {
		return
	}
	_ = c.countedConn.SetWriteDeadline(netopt.DeadlineIn(turnAwayTimeout))
	if _, err := io.WriteString(c.countedConn, turnAwayResponse); err == nil {
		c.exchange.settle()
	}
}
