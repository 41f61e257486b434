// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"errors"
	"net"
	"time"

	"madderway/modules/clock"
	"madderway/modules/netopt"

	"madderway/services/relay"
)

const (
	// Added to the route's timeout for requests that are handed over.
	handOverSlack = time.Second
	// Timeout of requests that are handed over from a route without one.
	maxHandOver = time.Minute
	// Limit on the time until another gateway has taken a request.
	handOverTimeout = 1500 * time.Millisecond
	// A request with less time left is refused: it takes about as long to be placed and sent.
	minHandOverTime = 20 * time.Millisecond
)

// now returns the time, including time in suspension.
func now() time.Time { return clock.System{}.Now() }

// Relay hands requests over to other gateways.
type Relay interface {
	// Send hands a request over. The first relay.HeaderSize bytes of the buffer are free; the request
	// follows. The answer is written to caller; when it ends, a pending read of caller is
	// ended by a deadline. check is called right before the request is written; it may change the
	// request in place, or drop it by an error.
	Send(ctx context.Context, buffer []byte, caller net.Conn, check func() error) (*relay.Handover, error)
}

// HandOverResult is the outcome of a hand-over.
type HandOverResult struct {
	Peer               string // empty if no other gateway took the request
	Elapsed            time.Duration
	Bytes              int64 // length of the answer
	Lost               bool  // no answer came from the gateway that took the request
	CallerDisconnected bool  // the caller closed its connection
}

// SetRelay lets requests be handed over to other gateways. Call it before Serve.
func (s *Server) SetRelay(r Relay) { s.relay = r }

// HandedOver returns the number of requests in flight at other gateways.
func (s *Server) HandedOver() int { return int(s.handedOver.Load()) }

// handOverOutcome is the state of the caller's connection after a hand-over.
type handOverOutcome int

const (
	// No other gateway took the request: the HTTP server reads it.
	servedHere handOverOutcome = iota + 1
	// The caller has its answer and may send another request.
	answered
	// The connection must be closed.
	ended
)

// handOver has another gateway serve a request of which the bytes in begun were read and rest
// bytes are to come. It keeps the connection open even while few connections are free: a new one
// for each request would cost more.
func (c *callerConn) handOver(begun []byte, rest int64, decision EarlyDecision) handOverOutcome {
	c.server.handedOver.Add(1)
	defer c.server.handedOver.Add(-1)
	start, res := now(), HandOverResult{}
	defer func() {
		res.Elapsed = now().Sub(start)
		c.server.early.RecordHandOver(decision, res)
	}()
	handed, err := c.send(begun, rest, decision)
	if err != nil {
		res.CallerDisconnected = c.callerDisconnected
		res.Lost = !c.callerDisconnected && relay.IsErrMaybeSent(err)
		switch {
		case res.Lost:
			_, _ = c.countedConn.Write(c.server.early.LostAnswer(decision.ID)) // the caller may have disconnected too
			return ended
		case res.CallerDisconnected:
			return ended
		case errors.Is(err, relay.ErrCongested), errors.Is(err, relay.ErrNoTime):
			return c.refuseBusy(decision.ID)
		}
		return servedHere
	}
	c.leaveGate()
	res.Peer = handed.Peer
	end := start.Add(maxHandOver)
	if decision.Timeout > 0 {
		end = start.Add(decision.Timeout + handOverSlack)
	}
	c.awaitAnswer(handed, end)
	var whole bool
	res.Bytes, whole = handed.Result()
	res.CallerDisconnected, res.Lost = c.callerDisconnected, res.Bytes == 0
	if res.Lost && !c.callerDisconnected {
		_, _ = c.countedConn.Write(c.server.early.LostAnswer(decision.ID))
	}
	if !whole || c.callerDisconnected || c.SetReadDeadline(netopt.DeadlineIn(idleTimeout(c.limits))) != nil {
		return ended
	}
	return answered
}

// refuseBusy answers a request that was read whole but not handed over in time.
func (c *callerConn) refuseBusy(id string) handOverOutcome {
	c.buffered = nil
	if c.refuse(c.server.early.BusyAnswer(id), 0) != nil {
		return ended
	}
	return answered
}

// send reads the rest of a request and hands it over, with the time until its caller leaves. If no
// gateway takes the request, its bytes are buffered for the next reads.
func (c *callerConn) send(begun []byte, rest int64, decision EarlyDecision) (*relay.Handover, error) {
	size := relay.HeaderSize + len(begun) + int(rest)
	pooled := requestBuffers.get(size)
	defer requestBuffers.put(pooled)
	buffer := *pooled
	held := relay.HeaderSize + copy(buffer[relay.HeaderSize:], begun)
	if rest > 0 {
		if err := c.readBody(buffer[held:size], netopt.DeadlineIn(headerTimeout(c.limits))); err != nil {
			c.refuseIncomplete(err)
			c.callerDisconnected = true
			return nil, err
		}
	}
	stay := time.AfterFunc(maxSendStay, c.leaveGate)
	defer stay.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	handed, err := c.server.relay.Send(ctx, buffer[:size], c.countedConn, func() error {
		return c.checkHandOver(buffer[relay.HeaderSize:size], decision)
	})
	if errors.Is(err, relay.ErrCallerDisconnected) {
		c.callerDisconnected = true
		return nil, err
	}
	if err != nil && !relay.IsErrMaybeSent(err) {
		c.buffered = append([]byte(nil), buffer[relay.HeaderSize:size]...)
	}
	return handed, err
}

// checkHandOver returns an error if a request must not be handed over any more. Otherwise it writes the
// time that is left into the request: the gateway that takes it cannot know for how long it has waited.
func (c *callerConn) checkHandOver(request []byte, decision EarlyDecision) error {
	if c.isDisconnected() {
		return relay.ErrCallerDisconnected
	}
	if c.server.early.CheckTimeLeft(decision) != nil {
		return relay.ErrNoTime
	}
	if decision.CallerLeavesAt.IsZero() {
		return nil
	}
	remaining := decision.CallerLeavesAt.Sub(now())
	if remaining < minHandOverTime {
		return relay.ErrNoTime
	}
	c.server.early.SetRemaining(request, remaining)
	return nil
}

// awaitAnswer waits until the answer has ended, the caller has disconnected or the time is up.
func (c *callerConn) awaitAnswer(handed *relay.Handover, end time.Time) {
	if c.SetReadDeadline(netopt.DeadlineIn(end.Sub(now()))) != nil {
		c.callerDisconnected = true
		handed.Cancel()
		return
	}
	if isDone(handed) { // it may have ended before the deadline was set
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
	c.callerDisconnected = !ok || !timeout.Timeout()
	handed.Cancel()
}

func isDone(handed *relay.Handover) bool {
	select {
	case <-handed.Done():
		return true
	default:
		return false
	}
}

func (c *callerConn) awaitDone(handed *relay.Handover, end time.Time) {
	late := make(chan struct{})
	timer := clock.System{}.AfterFunc(end.Sub(now()), func() { close(late) })
	defer timer.Stop()
	select {
	case <-handed.Done():
	case <-late:
		handed.Cancel()
	}
}
