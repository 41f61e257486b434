// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"io"
	"math"
	"net"
	"os"
	"sync/atomic"
	"time"

	"madderway/models/routing"
	"madderway/modules/httphead"
	"madderway/modules/netopt"
)

// callerConn is a connection of a caller. While requests are decided early, it parses the
// header of each request itself and passes those that it neither refuses nor hands over to
// the HTTP server. If the server has read beyond the end of a request, or the end is unknown,
// the server gets all that follows: the next read might start in the middle of a request.
type callerConn struct {
	*countedConn
	server             *Server
	limits             routing.Limits
	buffered           []byte        // bytes of the next request
	stopWatch          chan struct{} // ends watchForClose
	callerDisconnected bool          // during a hand-over
	answeredEarly      bool          // the last request bypassed the HTTP server, whose deadlines are not set
	inServer           bool          // the HTTP server reads a request, or all that follows
	unread             int64         // bytes of its request that the HTTP server has not read; negative if it has read more
	admitted           bool          // the request in the HTTP server was counted and admitted
	inGate             atomic.Bool   // the request is inside the server's gate
	entryWait          time.Duration // the time that the request has waited to enter it
	readDeadline       time.Time     // in force unless closeIfIdle has interrupted a read
	idle               idleState
	exchange           exchangeState
}

// unknownLength is the unread part of a request whose end is not known.
const unknownLength = math.MaxInt64

// onIdle is called when the HTTP server has ended a request and waits for the next one.
func (c *callerConn) onIdle() {
	c.inServer, c.admitted = c.unread != 0, false
	c.idle.answered()
	c.exchange.reset() // after answered: only a connection whose request has begun counts as incomplete
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.readDeadline = t
	err := c.countedConn.SetReadDeadline(t)
	// A watch that begins between the two drops the signal, and must then find the deadline.
	if !t.IsZero() && !t.After(time.Now()) {
		c.stopWatching()
	}
	return err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.stopWatching()
	if c.server.forget(c) && c.idle.hasBegun() {
		c.server.unanswered.report(&c.exchange, c.RemoteAddr().String(), c.server.isClosed())
	}
	return c.countedConn.Close()
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	n, err := c.countedConn.Write(p)
	c.exchange.noteWrite(err)
	return n, err
}

// interruptedDeadline makes a pending read return at once.
var interruptedDeadline = time.Unix(1, 0)

// closeIfIdle makes the connection close unless a byte of a next request has come. It reports whether
// the connection seems idle; its reader decides.
func (c *callerConn) closeIfIdle() bool {
	return c.idle.interrupt(c.hasUnread, func() {
		_ = c.countedConn.SetReadDeadline(interruptedDeadline) // fails only if the connection is closed
	})
}

// hasUnread reports whether bytes wait to be read.
func (c *callerConn) hasUnread() bool { return netopt.Peek(c.countedConn.Conn) == netopt.PeekData }

func (c *callerConn) stopWatching() {
	select {
	case c.stopWatch <- struct{}{}:
	default:
	}
}

// watchForClose reads a byte for the HTTP server, which wants to know whether the caller disconnects
// while a request is served. A byte that arrives belongs to the next request: it is buffered,
// and the server gets a timeout once it stops waiting.
func (c *callerConn) watchForClose(p []byte) (int, error) {
	select {
	case <-c.stopWatch: // left from an earlier watch
	default:
	}
	n, err := c.countedConn.Read(p)
	if n == 0 {
		c.exchange.noteRead(err)
		return n, err
	}
	c.buffered = append(c.buffered, p[0])
	<-c.stopWatch
	return 0, os.ErrDeadlineExceeded
}

// readNext reads the buffered bytes, then the connection.
func (c *callerConn) readNext(p []byte) (int, error) {
	if len(c.buffered) == 0 {
		return c.countedConn.Read(p)
	}
	taken := copy(p, c.buffered)
	c.buffered = c.buffered[taken:]
	if taken == len(p) || c.inServer {
		return taken, nil
	}
	n, err := c.countedConn.Read(p[taken:])
	return taken + n, err
}

// readUnlessIdle reads the next bytes. It returns io.EOF if the connection is to be closed as idle.
// fresh tells that the first byte of a request may come.
func (c *callerConn) readUnlessIdle(p []byte, fresh bool) (int, error) {
	for {
		if !c.idle.startRead(fresh) {
			return 0, io.EOF
		}
		n, err := c.readNext(p)
		c.exchange.noteRead(err)
		verdict := c.idle.endRead(n, c.hasUnread)
		if verdict == readGoesOn {
			return n, err
		}
		if verdict == readEnds {
			return 0, io.EOF
		}
		if err := c.countedConn.SetReadDeadline(c.readDeadline); n > 0 || err != nil {
			return n, err
		}
	}
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		// The HTTP server reads a single byte only while it watches for a close during a request.
		watches := c.inServer && len(p) == 1
		if watches && c.unread == 0 && len(c.buffered) == 0 {
			return c.watchForClose(p)
		}
		n, err := c.readUnlessIdle(p, len(c.buffered) == 0 && !watches)
		c.refuseIncomplete(err)
		if c.inServer {
			c.unread -= int64(n)
			return n, err
		}
		if err != nil || n == 0 {
			return n, err
		}
		head, plain := httphead.Parse(p[:n])
		rest := head.ContentLength - int64(n-head.Length)
		if !plain || rest < 0 {
			return n, c.passRequest(Undecided, unknownLength)
		}
		if head.ContentLength > maxEarlyBody || !c.server.admitsEarly() {
			return n, c.passRequest(Undecided, rest)
		}
		c.entryWait = 0
		c.enterGate()
		if c.isDisconnected() {
			c.leaveGate()
			c.exchange.noteRead(io.EOF)
			return 0, io.EOF
		}
		closes := c.server.isCrowded()
		decision := c.server.early.AdmitEarly(&head, EarlyOptions{ClosesConn: closes, CanHandOver: c.server.relay != nil, Waited: c.entryWait})
		switch decision.Verdict {
		case HandedOver:
			outcome := c.handOver(p[:n], rest, decision)
			c.leaveGate()
			switch outcome {
			case ended:
				c.exchange.settle()
				return 0, io.EOF
			case servedHere:
				return c.returnToServer(p)
			}
			c.answeredEarly = true
			c.idle.answered()
		case Refused:
			err := c.refuse(decision.Answer, rest)
			c.leaveGate()
			if err != nil {
				return 0, err
			}
			if closes {
				c.exchange.settle()
				return 0, io.EOF
			}
			c.idle.answered()
		default:
			c.leaveGate()
			return n, c.passRequest(decision.Verdict, rest)
		}
	}
}

// isDisconnected reports whether the caller has closed the connection. A process that is late
// would otherwise serve requests whose callers have given up.
func (c *callerConn) isDisconnected() bool {
	return len(c.buffered) == 0 && netopt.Peek(c.countedConn.Conn) == netopt.PeekClosed
}

// returnToServer passes a request that was read for a hand-over to the HTTP server.
func (c *callerConn) returnToServer(p []byte) (int, error) {
	whole := int64(len(c.buffered))
	c.inServer = true
	n, err := c.readNext(p)
	if err != nil {
		return n, err
	}
	return n, c.passRequest(Admitted, whole-int64(n))
}

// passRequest leaves a request with so many unread bytes to the HTTP server.
func (c *callerConn) passRequest(v Verdict, left int64) error {
	c.inServer, c.unread, c.admitted = true, left, v == Admitted
	if !c.answeredEarly {
		return nil
	}
	c.answeredEarly = false
	return c.SetReadDeadline(netopt.DeadlineIn(headerTimeout(c.limits)))
}

// refuse discards the rest of a request and writes the answer.
func (c *callerConn) refuse(answer []byte, rest int64) error {
	c.answeredEarly = true
	if err := c.discard(rest); err != nil {
		c.refuseIncomplete(err)
		return err
	}
	if _, err := c.countedConn.Write(answer); err != nil {
		return err
	}
	return c.SetReadDeadline(netopt.DeadlineIn(idleTimeout(c.limits)))
}

// discard reads and drops the rest of a request.
func (c *callerConn) discard(rest int64) error {
	if rest == 0 {
		return nil
	}
	deadline := netopt.DeadlineIn(headerTimeout(c.limits))
	buffer := discardBuffers.Get().(*[discardBufferSize]byte)
	defer discardBuffers.Put(buffer)
	for rest > 0 {
		n := min(rest, discardBufferSize)
		if err := c.readBody(buffer[:n], deadline); err != nil {
			return err
		}
		rest -= n
	}
	return nil
}

// connKey is the context key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// callerIsDisconnected reports whether the caller has closed its connection and sent nothing more.
func callerIsDisconnected(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	return ok && c.isDisconnected()
}

// callerConnClosed reports whether the caller has closed its connection, even while the HTTP
// server reads from it.
func callerConnClosed(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	return ok && netopt.Peek(c.countedConn.Conn) == netopt.PeekClosed
}

// setResetOnClose sets whether the close of a request's connection resets it, also if this process
// ends first. A response of HTTP/1.0 without a length ends with its connection, so that an orderly
// close would make a broken one look complete.
func setResetOnClose(ctx context.Context, on bool) {
	if c, ok := ctx.Value(connKey{}).(*callerConn); ok {
		_ = netopt.SetResetOnClose(c.countedConn.Conn, on) // fails only if the connection is closed
	}
}

// consumeAdmitted reports, once for each request, whether it was admitted before the HTTP
// server parsed it, and for how long it had waited until then.
func consumeAdmitted(ctx context.Context) (waited time.Duration, admitted bool) {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok || !c.admitted {
		return 0, false
	}
	c.admitted = false
	return c.entryWait, true
}
