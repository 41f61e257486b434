// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package relay

import (
	"net"
	"testing"

	"madderway/modules/clock"
)

// Guards against a part of an answer that counts as whole, because the connection between two gateways ended in it.
func TestAnswerCutBetweenGatewaysIsNotComplete(t *testing.T) {
	const part = "HTTP/1.1 200 OK\r\n\r\npart"
	for name, end := range map[string]func(c *net.TCPConn) error{
		"close":      (*net.TCPConn).Close,
		"half-close": (*net.TCPConn).CloseWrite,
		"reset": func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			far, own := connectionPair(t)
			near, _ := connectionPair(t)
			tunnel := newTunnel(own, clock.System{})
			go tunnel.readLoop()
			h := &Handover{s: newService(t, key, clock.System{}), Peer: "far", caller: near, tunnel: tunnel, done: make(chan struct{})}
			if err := tunnel.send(h, make([]byte, HeaderSize+1), neverDisconnects); err != nil {
				t.Fatal(err)
			}
			frame := append(make([]byte, HeaderSize), part...)
			putHeader(frame, kindData, h.number, len(part))
			if _, err := far.Write(frame); err != nil {
				t.Fatal(err)
			}
			if err := end(far.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			<-h.Done()
			if bytes, complete := h.Result(); complete {
				t.Errorf("%d bytes count as a complete answer", bytes)
			}
		})
	}
}
