// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"madderway/modules/clock"
	"madderway/modules/netopt"

	"madderway/services/relay"
)

const (
	// handOverSlack is what a request that was handed over may take beyond the time-out of its
	// route, relayMost what it may take where the route has none.
	handOverSlack = time.Second
	maxHandOver   = time.Minute
	// handOverTimeout is how long it may take to hand a request over.
	handOverTimeout = 1500 * time.Millisecond
)

// now returns the time with that in suspension counted.
func now() time.Time { return clock.System{}.Now() }

// Relay hands requests over to other gateways.
type Relay interface {
	// Send hands a request over. The first relay.HeadSize bytes of the buffer are free, the
	// request follows. The answer goes to the caller; when it is over, waiting reads of the
	// caller are ended by a deadline. Left tells whether the caller has left.
	Send(ctx context.Context, buffer []byte, caller net.Conn, left func() bool) (*relay.Handed, error)
}

// HandOverResult tells how handing a request over came out.
type HandOverResult struct {
	Peer       string // Peer is empty where no other gateway took the request.
	Elapsed    time.Duration
	Bytes      int64 // Bytes are those of the answer.
	Lost       bool  // Lost tells that the answer ended before it began.
	CallerLeft bool  // Gone tells that the caller has left.
}

// SetRelay lets requests be handed over to other gateways. It is called before Serve.
func (s *Server) SetRelay(r Relay) { s.relay = r }

// HandedOver returns how many requests other gateways serve for this one.
func (s *Server) HandedOver() int { return int(s.handedOver.Load()) }

// handOverOutcome is what has become of a request that was to be handed over.
type handOverOutcome int

const (
	// servedHere tells that no gateway took it: the HTTP server reads it.
	servedHere handOverOutcome = iota + 1
	// answered tells that the caller has its answer and may send another request.
	answered
	// ended tells that the caller's connection is to be closed.
	ended
)

// handOver has another gateway serve a request, of which some bytes have been read and so
// many are to come. Its answer ends the connection nowhere, also where little room is left
// for others: a flood of which each request takes a connection of its own had 12,224 and 12,902
// of 28,104 requests in time, one whose connections stay 16,734.
func (c *callerConn) handOver(begun []byte, rest int64, j EarlyDecision) handOverOutcome {
	c.server.handedOver.Add(1)
	defer c.server.handedOver.Add(-1)
	start, to := now(), HandOverResult{}
	defer func() {
		to.Elapsed = now().Sub(start)
		c.server.early.NoteHandedOver(j, to)
	}()
	handed, err := c.send(begun, rest)
	if err != nil {
		to.CallerLeft = c.callerLeft
		to.Lost = !c.callerLeft && relay.IsErrSent(err)
		switch {
		case to.Lost:
			_, _ = c.countedConn.Write(c.server.early.LostAnswer(j.ID)) // the caller may be gone, too
			return ended
		case to.CallerLeft:
			return ended
		case errors.Is(err, relay.ErrFull):
			return c.refuseBusy(j.ID)
		}
		return servedHere
	}
	to.Peer = handed.Peer
	end := start.Add(maxHandOver)
	if j.Timeout > 0 {
		end = start.Add(j.Timeout + handOverSlack)
	}
	c.awaitAnswer(handed, end)
	var whole bool
	to.Bytes, whole = handed.Result()
	to.CallerLeft, to.Lost = c.callerLeft, to.Bytes == 0
	if to.Lost && !c.callerLeft {
		_, _ = c.countedConn.Write(c.server.early.LostAnswer(j.ID))
	}
	if !whole || c.callerLeft || c.SetReadDeadline(netopt.DeadlineIn(idleTimeout(c.limits))) != nil {
		return ended
	}
	return answered
}

// refuseBusy answers a request that was read whole and waited for too long to be handed over.
func (c *callerConn) refuseBusy(id string) handOverOutcome {
	c.buffered = nil
	if c.refuse(c.server.early.BusyAnswer(id), 0) != nil {
		return ended
	}
	return answered
}

// send reads the rest of a request and hands it over. Where no gateway takes it, its bytes
// are those that are read next.
func (c *callerConn) send(begun []byte, rest int64) (*relay.Handed, error) {
	size := relay.HeadSize + len(begun) + int(rest)
	pooled := requestBuffers.get(size)
	defer requestBuffers.put(pooled)
	buffer := *pooled
	held := relay.HeadSize + copy(buffer[relay.HeadSize:], begun)
	if rest > 0 {
		err := c.SetReadDeadline(netopt.DeadlineIn(headerTimeout(c.limits)))
		if err == nil {
			_, err = io.ReadFull(c.countedConn, buffer[held:size])
		}
		if err != nil {
			c.callerLeft = true
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	handed, err := c.server.relay.Send(ctx, buffer[:size], c.countedConn, c.hasLeft)
	if errors.Is(err, relay.ErrLeft) {
		c.callerLeft = true
		return nil, err
	}
	if err != nil && !relay.IsErrSent(err) {
		c.buffered = append([]byte(nil), buffer[relay.HeadSize:size]...)
	}
	return handed, err
}

// awaitAnswer waits until an answer is over, the caller has left, or it is time to give up.
func (c *callerConn) awaitAnswer(handed *relay.Handed, end time.Time) {
	if c.SetReadDeadline(netopt.DeadlineIn(end.Sub(now()))) != nil {
		c.callerLeft = true
		handed.Cancel()
		return
	}
	if isDone(handed) { // before that deadline was set
		return
	}
	var one [1]byte
	n, err := c.countedConn.Read(one[:])
	if n > 0 { // the next request begins
		c.buffered = append(c.buffered, one[0])
		c.awaitDone(handed, end)
		return
	}
	if isDone(handed) {
		return
	}
	timeout, ok := err.(net.Error)
	c.callerLeft = !ok || !timeout.Timeout()
	handed.Cancel()
}

func isDone(handed *relay.Handed) bool {
	select {
	case <-handed.Done():
		return true
	default:
		return false
	}
}

func (c *callerConn) awaitDone(handed *relay.Handed, end time.Time) {
	late := make(chan struct{})
	timer := clock.System{}.AfterFunc(end.Sub(now()), func() { close(late) })
	defer timer.Stop()
	select {
	case <-handed.Done():
	case <-late:
		handed.Cancel()
	}
}
