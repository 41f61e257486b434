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
	// relaySlack is what a request that was handed over may take beyond the time-out of its
	// route, relayMost what it may take where the route has none.
	relaySlack = time.Second
	relayMost  = time.Minute
	// handOverTime is how long it may take to hand a request over.
	handOverTime = 1500 * time.Millisecond
)

// now returns the time with that in suspension counted.
func now() time.Time { return clock.System{}.Now() }

// Relay hands requests over to other gateways.
type Relay interface {
	// Send hands a request over. The first relay.HeadSize bytes of the buffer are free, the
	// request follows. The answer goes to the caller; when it is over, waiting reads of the
	// caller are ended by a deadline. Left tells whether the caller has left.
	Send(ctx context.Context, buffer []byte, caller net.Conn, left func() bool) (*relay.Handover, error)
}

// HandedTo tells how handing a request over came out.
type HandedTo struct {
	Peer  string // Peer is empty where no other gateway took the request.
	After time.Duration
	Bytes int64 // Bytes are those of the answer.
	Lost  bool  // Lost tells that the answer ended before it began.
	Gone  bool  // Gone tells that the caller has left.
}

// SetRelay lets requests be handed over to other gateways. It is called before Serve.
func (s *Server) SetRelay(r Relay) { s.relay = r }

// Relaying returns how many requests other gateways serve for this one.
func (s *Server) Relaying() int { return int(s.relaying.Load()) }

// handedOver is what has become of a request that was to be handed over.
type handedOver int

const (
	// servedHere tells that no gateway took it: the HTTP server reads it.
	servedHere handedOver = iota + 1
	// answered tells that the caller has its answer and may send another request.
	answered
	// ended tells that the caller's connection is to be closed.
	ended
)

// handOver has another gateway serve a request, of which some bytes have been read and so
// many are to come. Its answer ends the connection nowhere, also where little room is left
// for others: a flood of which each request takes a connection of its own had 12,224 and 12,902
// of 28,104 requests in time, one whose connections stay 16,734.
func (c *callerConn) handOver(begun []byte, rest int64, j Judgement) handedOver {
	c.server.relaying.Add(1)
	defer c.server.relaying.Add(-1)
	start, to := now(), HandedTo{}
	defer func() {
		to.After = now().Sub(start)
		c.server.early.Told(j, to)
	}()
	handed, err := c.send(begun, rest)
	if err != nil {
		to.Gone = c.gone
		to.Lost = !c.gone && relay.IsErrMaybeSent(err)
		switch {
		case to.Lost:
			_, _ = c.counted.Write(c.server.early.Lost(j.ID)) // the caller may be gone, too
			return ended
		case to.Gone:
			return ended
		case errors.Is(err, relay.ErrCongested):
			return c.refuseBusy(j.ID)
		}
		return servedHere
	}
	to.Peer = handed.Peer
	end := start.Add(relayMost)
	if j.Within > 0 {
		end = start.Add(j.Within + relaySlack)
	}
	c.await(handed, end)
	var whole bool
	to.Bytes, whole = handed.Result()
	to.Gone, to.Lost = c.gone, to.Bytes == 0
	if to.Lost && !c.gone {
		_, _ = c.counted.Write(c.server.early.Lost(j.ID))
	}
	if !whole || c.gone || c.SetReadDeadline(netopt.DeadlineIn(idleTime(c.limits))) != nil {
		return ended
	}
	return answered
}

// refuseBusy answers a request that was read whole and waited for too long to be handed over.
func (c *callerConn) refuseBusy(id string) handedOver {
	c.ahead = nil
	if c.refuse(c.server.early.Busy(id), 0) != nil {
		return ended
	}
	return answered
}

// send reads the rest of a request and hands it over. Where no gateway takes it, its bytes
// are those that are read next.
func (c *callerConn) send(begun []byte, rest int64) (*relay.Handover, error) {
	size := relay.HeaderSize + len(begun) + int(rest)
	pooled := requests.get(size)
	defer requests.put(pooled)
	buffer := *pooled
	held := relay.HeaderSize + copy(buffer[relay.HeaderSize:], begun)
	if rest > 0 {
		err := c.SetReadDeadline(netopt.DeadlineIn(headerTime(c.limits)))
		if err == nil {
			_, err = io.ReadFull(c.counted, buffer[held:size])
		}
		if err != nil {
			c.gone = true
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverTime)
	defer cancel()
	handed, err := c.server.relay.Send(ctx, buffer[:size], c.counted, c.hasLeft)
	if errors.Is(err, relay.ErrCallerDisconnected) {
		c.gone = true
		return nil, err
	}
	if err != nil && !relay.IsErrMaybeSent(err) {
		c.ahead = append([]byte(nil), buffer[relay.HeaderSize:size]...)
	}
	return handed, err
}

// await waits until an answer is over, the caller has left, or it is time to give up.
func (c *callerConn) await(handed *relay.Handover, end time.Time) {
	if c.SetReadDeadline(netopt.DeadlineIn(end.Sub(now()))) != nil {
		c.gone = true
		handed.Cancel()
		return
	}
	if isOver(handed) { // before that deadline was set
		return
	}
	var one [1]byte
	n, err := c.counted.Read(one[:])
	if n > 0 { // the next request begins
		c.ahead = append(c.ahead, one[0])
		c.awaitOver(handed, end)
		return
	}
	if isOver(handed) {
		return
	}
	timeout, ok := err.(net.Error)
	c.gone = !ok || !timeout.Timeout()
	handed.Cancel()
}

func isOver(handed *relay.Handover) bool {
	select {
	case <-handed.Done():
		return true
	default:
		return false
	}
}

func (c *callerConn) awaitOver(handed *relay.Handover, end time.Time) {
	late := make(chan struct{})
	timer := clock.System{}.AfterFunc(end.Sub(now()), func() { close(late) })
	defer timer.Stop()
	select {
	case <-handed.Done():
	case <-late:
		handed.Cancel()
	}
}
