// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"io"
	"math"
	"net"
	"os"
	"time"

	"madderway/models/routing"
	"madderway/modules/httphead"
	"madderway/modules/netopt"
)

// callerConn is a connection of a caller. At the beginning of each request it looks at the
// head itself while requests are judged early; the bytes of all that it does not refuse or
// hand over are the HTTP server's. Where the server has read beyond the end of a request, or
// the end is not plain, all that follows is the server's, too: what this connection reads next
// may be the middle of a request.
type callerConn struct {
	*countedConn
	server        *Server
	limits        routing.Limits
	buffered      []byte        // ahead has been read of the next request.
	stopWatch     chan struct{} // stop ends a read that looks only whether the caller has left.
	callerLeft    bool          // gone tells that the caller has left during a request that was handed over.
	answeredEarly bool          // early tells that the last request was answered without the HTTP server, whose deadlines do not hold.
	inServer      bool          // served tells that the HTTP server reads a request, or all that is to come.
	unread        int64         // left is how much of its request the server has not read; negative where it has read more.
	admitted      bool          // admitted tells that the request which the HTTP server reads was counted and admitted.
}

// unknownLength is what is left of a request whose end is not known.
const unknownLength = math.MaxInt64

// onIdle tells that the HTTP server has ended a request and waits for the next one.
func (c *callerConn) onIdle() { c.inServer, c.admitted = c.unread != 0, false }

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && !t.After(time.Now()) {
		c.stopWatching()
	}
	return c.countedConn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.stopWatching()
	return c.countedConn.Close()
}

func (c *callerConn) stopWatching() {
	select {
	case c.stopWatch <- struct{}{}:
	default:
	}
}

// watchForClose reads a byte for the HTTP server, which wants to know whether the caller leaves while
// a request is served. A byte that comes begins the next request: it is kept until that is
// read, and the server learns that it must wait no longer.
func (c *callerConn) watchForClose(p []byte) (int, error) {
	select {
	case <-c.stopWatch: // of an earlier look
	default:
	}
	n, err := c.countedConn.Read(p)
	if n == 0 {
		return n, err
	}
	c.buffered = append(c.buffered, p[0])
	<-c.stopWatch
	return 0, os.ErrDeadlineExceeded
}

// readNext reads what has come, behind what was read ahead.
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

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		if c.inServer && c.unread == 0 && len(p) == 1 && len(c.buffered) == 0 {
			return c.watchForClose(p)
		}
		n, err := c.readNext(p)
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
			return n, c.passToServer(Undecided, unknownLength)
		}
		if head.ContentLength > maxEarlyBody || !c.server.admitsEarly() {
			return n, c.passToServer(Undecided, rest)
		}
		if c.hasLeft() {
			return 0, io.EOF
		}
		closes := c.server.isCrowded()
		j := c.server.early.AdmitEarly(&head, EarlyOptions{ClosesConn: closes, CanHandOver: c.server.relay != nil})
		switch j.Verdict {
		case HandedOver:
			switch c.handOver(p[:n], rest, j) {
			case ended:
				return 0, io.EOF
			case servedHere:
				return c.returnToServer(p)
			}
			c.answeredEarly = true
		case Refused:
			if err := c.refuse(j.Answer, rest); err != nil {
				return 0, err
			}
			if closes {
				return 0, io.EOF
			}
		default:
			return n, c.passToServer(j.Verdict, rest)
		}
	}
}

// hasLeft tells whether the caller has closed the connection. A process that is late reads
// requests whose callers have given up; what is done for them is done for nobody.
func (c *callerConn) hasLeft() bool {
	return len(c.buffered) == 0 && netopt.Peek(c.countedConn.Conn) == netopt.PeekClosed
}

// returnToServer leaves a request to the HTTP server that was read to be handed over.
func (c *callerConn) returnToServer(p []byte) (int, error) {
	whole := int64(len(c.buffered))
	c.inServer = true
	n, err := c.readNext(p)
	if err != nil {
		return n, err
	}
	return n, c.passToServer(Admitted, whole-int64(n))
}

// passToServer leaves this request, of which so much is left, to the HTTP server.
func (c *callerConn) passToServer(v Verdict, left int64) error {
	c.inServer, c.unread, c.admitted = true, left, v == Admitted
	if !c.answeredEarly {
		return nil
	}
	c.answeredEarly = false
	return c.SetReadDeadline(netopt.DeadlineIn(headerTimeout(c.limits)))
}

// refuse reads the rest of a request and answers it.
func (c *callerConn) refuse(answer []byte, rest int64) error {
	c.answeredEarly = true
	if err := c.discard(rest); err != nil {
		return err
	}
	if _, err := c.countedConn.Write(answer); err != nil {
		return err
	}
	return c.SetReadDeadline(netopt.DeadlineIn(idleTimeout(c.limits)))
}

// discard reads so many bytes that nobody looks at.
func (c *callerConn) discard(rest int64) error {
	if rest == 0 {
		return nil
	}
	if err := c.SetReadDeadline(netopt.DeadlineIn(headerTimeout(c.limits))); err != nil {
		return err
	}
	buffer := discardBuffers.Get().(*[discardBufferSize]byte)
	defer discardBuffers.Put(buffer)
	for rest > 0 {
		n, err := c.countedConn.Read(buffer[:min(rest, discardBufferSize)])
		rest -= int64(n)
		if err != nil {
			return err
		}
	}
	return nil
}

// connKey is the key of a request's context under which its connection stands.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// callerHasLeft tells whether the caller of a request has closed its connection.
func callerHasLeft(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	return ok && c.hasLeft()
}

// callerHasClosed tells whether the caller of a request has closed its connection, also while
// the HTTP server reads from it.
func callerHasClosed(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	return ok && netopt.Peek(c.countedConn.Conn) == netopt.PeekClosed
}

// consumeAdmitted tells whether a request was counted and admitted before the HTTP server
// parsed it.
func consumeAdmitted(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok || !c.admitted {
		return false
	}
	c.admitted = false
	return true
}
