// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import (
	"io"
	"net"
	"sync"
	"time"

	"madderway/core/gate"
	"madderway/modules/netopt"
)

const (
	// promptTime limits the stay inside the gate of a request that waits for its body.
	promptTime = 5 * time.Millisecond
	// maxSendStay limits the stay inside of a request that is written to another gateway, which may
	// have stopped reading.
	maxSendStay = time.Second
)

// entryGate is a gate.Gate for goroutines. One that waits does not delay others in the scheduler.
type entryGate struct {
	mu   sync.Mutex
	gate gate.Gate[chan struct{}]
}

// enter blocks until the request is inside.
func (g *entryGate) enter() {
	entered := make(chan struct{})
	g.mu.Lock()
	inside := g.gate.Enter(now(), entered)
	g.mu.Unlock()
	if !inside {
		<-entered
	}
}

// leave lets the next one in.
func (g *entryGate) leave() {
	g.mu.Lock()
	next, ok := g.gate.Leave()
	g.mu.Unlock()
	if ok {
		close(next)
	}
}

// wait returns for how long the first of those that wait has waited.
func (g *entryGate) wait(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Wait(now)
}

// full reports whether new connections are to be turned away.
func (g *entryGate) full(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Full(now)
}

// enterGate waits until the request that was read may be decided on.
func (c *callerConn) enterGate() {
	start := now()
	c.server.gate.enter()
	c.inGate.Store(true)
	c.entryWait += now().Sub(start)
}

// leaveGate lets another request in. It does nothing if the request has left already.
func (c *callerConn) leaveGate() {
	if c.inGate.Swap(false) {
		c.server.gate.leave()
	}
}

// readBody reads a part of a request's body until a deadline. If it does not come at once, the request
// waits for it outside the gate: a slow caller must not keep others from entering.
func (c *callerConn) readBody(b []byte, deadline time.Time) error {
	if err := c.SetReadDeadline(netopt.DeadlineIn(promptTime)); err != nil {
		return err
	}
	n, err := io.ReadFull(c.countedConn, b)
	if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
		return err
	}
	c.leaveGate()
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	if _, err := io.ReadFull(c.countedConn, b[n:]); err != nil {
		return err
	}
	c.enterGate()
	return nil
}
