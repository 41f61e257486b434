// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package relay

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"madderway/modules/clock"
	"madderway/modules/netopt"
)

const (
	// Large enough for the events of many responses.
	readBufferSize = 64 << 10
	// Longest write of a frame.
	frameTimeout = 3 * time.Second
	// Limits of the requests that wait for a connection. After maxWait little is left of the usual
	// time to the first token.
	maxQueue = 256
	maxWait  = 500 * time.Millisecond
	// Requests that wait are written together, up to this many bytes: each system call may cost an
	// overloaded process a turn of its scheduler.
	maxBatchBytes = 256 << 10
)

// ErrCallerDisconnected is returned if the caller disconnected before its request was written.
var ErrCallerDisconnected = errors.New("the caller has left")

// ErrNoTime is returned for an unsent request if the caller would leave before it could be served.
var ErrNoTime = errors.New("too little of the caller's time is left")

// ErrCongested is returned for an unsent request if the queue is full or the wait was too long.
var ErrCongested = errors.New("requests wait for too long for the gateway")

// ErrMaybeSent is returned if the connection failed during the write of a request, so that the other
// gateway may have received it.
type ErrMaybeSent struct{ Reason error }

// Error implements error.
func (e ErrMaybeSent) Error() string { return "sent in part: " + e.Reason.Error() }

// Unwrap returns the reason.
func (e ErrMaybeSent) Unwrap() error { return e.Reason }

// IsErrMaybeSent reports whether err is an ErrMaybeSent.
func IsErrMaybeSent(err error) bool {
	var e ErrMaybeSent
	return errors.As(err, &e)
}

// tunnel is the sending end of a connection to another gateway.
type tunnel struct {
	conn     net.Conn
	clock    clock.Clock
	received atomic.Bool // whether anything arrived since the last probe
	// The configuration of the other gateway.
	configuration announcedVersion

	// Requests for writeLoop. wakeup signals new requests or control frames.
	queue  []*queuedRequest
	wakeup chan struct{}
	oldest time.Time // when the oldest unwritten request was enqueued; zero if none waits
	batch  []byte    // of writeLoop: frames that are written together

	mu         sync.Mutex
	lastNumber uint32
	inFlight   map[uint32]*Handover // by request number
	closed     bool
	// Frames without payload. They are sent before the next request, so that cancellations do not
	// wait behind requests.
	control []byte
}

// newTunnel returns a tunnel and starts its writeLoop, which ends when the tunnel is closed.
func newTunnel(conn net.Conn, c clock.Clock) *tunnel {
	t := &tunnel{conn: conn, clock: c, inFlight: map[uint32]*Handover{}, wakeup: make(chan struct{}, 1), configuration: announcedVersion{first: make(chan struct{})}}
	go t.writeLoop()
	return t
}

func (t *tunnel) isClosed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closed
}

// queuedRequest is a request that waits to be written.
type queuedRequest struct {
	frame      []byte
	enqueuedAt time.Time
	check      func() error // called right before the write; an error drops the request
	result     chan error
}

// send enqueues a request and waits until it is written or given up. The frame's header is written
// into the buffer.
func (t *tunnel) send(h *Handover, buffer []byte, check func() error) error {
	o := &queuedRequest{frame: buffer, enqueuedAt: t.clock.Now(), check: check, result: make(chan error, 1)}
	if err := t.enqueue(h, o); err != nil {
		return err
	}
	t.wake()
	err := <-o.result
	if err != nil {
		t.remove(h)
	}
	return err
}

func (t *tunnel) enqueue(h *Handover, o *queuedRequest) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.closed:
		return net.ErrClosed
	case len(t.queue) >= maxQueue:
		return ErrCongested
	}
	t.lastNumber++
	h.number = t.lastNumber
	t.inFlight[h.number] = h
	putHeader(o.frame, kindEnd, h.number, len(o.frame)-HeaderSize)
	t.queue = append(t.queue, o)
	if t.oldest.IsZero() {
		t.oldest = o.enqueuedAt
	}
	return nil
}

// wake makes writeLoop check for work.
func (t *tunnel) wake() {
	select {
	case t.wakeup <- struct{}{}:
	default:
	}
}

// writeLoop writes requests and control frames until the connection is closed. A single goroutine
// writes: with one per request and a lock, each write would wait until the scheduler of an
// overloaded process runs the next goroutine, although the connection is idle.
func (t *tunnel) writeLoop() {
	for range t.wakeup {
		queue, closed := t.takeQueue()
		for len(queue) > 0 {
			n := t.writeRequests(queue)
			queue = queue[n:]
			t.updateOldest(queue)
		}
		if !closed {
			closed = t.writeControl() != nil
		}
		if closed {
			t.close()
			t.failQueue()
			return
		}
	}
}

// oldestWait returns the age of the oldest unwritten request.
func (t *tunnel) oldestWait(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || t.oldest.IsZero() {
		return 0
	}
	return now.Sub(t.oldest)
}

func (t *tunnel) takeQueue() (queue []*queuedRequest, closed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue, t.queue = t.queue, nil
	return queue, t.closed
}

// updateOldest sets oldest from the requests that writeLoop has taken or, if there are none left, from
// the queue.
func (t *tunnel) updateOldest(taken []*queuedRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(taken) == 0 {
		taken = t.queue
	}
	t.oldest = time.Time{}
	if len(taken) > 0 {
		t.oldest = taken[0].enqueuedAt
	}
}

// failQueue fails the requests left in the queue of a closed tunnel.
func (t *tunnel) failQueue() {
	queue, _ := t.takeQueue()
	reportAll(queue, net.ErrClosed)
}

// writeRequests writes pending control frames, then requests from the head of the queue in a single
// write. It returns how many requests it has written or dropped, at least one.
func (t *tunnel) writeRequests(queue []*queuedRequest) int {
	if err := t.writeControl(); err != nil {
		return reportAll(queue, err)
	}
	t.batch = t.batch[:0]
	written := make([]*queuedRequest, 0, len(queue))
	n := 0
	for ; n < len(queue) && (n == 0 || len(t.batch)+len(queue[n].frame) <= maxBatchBytes); n++ {
		o := queue[n]
		if err := t.checkRequest(o); err != nil {
			o.result <- err
			continue
		}
		t.batch = append(t.batch, o.frame...)
		written = append(written, o)
	}
	if len(written) == 0 {
		return n
	}
	sent, err := t.writeFrames(t.batch)
	for _, o := range written {
		o.result <- writeResult(len(o.frame), sent, err)
		sent -= len(o.frame)
	}
	return n
}

// writeResult returns the result of a frame of this size, given how many of its bytes and of those after
// it were written until err. A frame that was written whole may be answered already.
func writeResult(size, sent int, err error) error {
	switch {
	case err == nil || sent >= size:
		return nil
	case sent > 0:
		return ErrMaybeSent{err}
	default:
		return err
	}
}

// reportAll ends the wait of the requests and returns their number.
func reportAll(requests []*queuedRequest, err error) int {
	for _, o := range requests {
		o.result <- err
	}
	return len(requests)
}

// checkRequest returns an error if a request must not be written, because its check fails or it has
// waited for longer than maxWait.
func (t *tunnel) checkRequest(o *queuedRequest) error {
	if t.isClosed() {
		return net.ErrClosed
	}
	if err := o.check(); err != nil {
		return err
	}
	if t.clock.Now().Sub(o.enqueuedAt) > maxWait {
		return ErrCongested
	}
	return nil
}

// writeControl writes the pending control frames.
func (t *tunnel) writeControl() error {
	t.mu.Lock()
	b := t.control
	t.control = nil
	t.mu.Unlock()
	if len(b) == 0 {
		return nil
	}
	_, err := t.writeFrames(b)
	return err
}

// writeFrames writes frames and closes the tunnel on failure. It returns how many bytes were written.
func (t *tunnel) writeFrames(b []byte) (n int, err error) {
	if err = t.conn.SetWriteDeadline(netopt.DeadlineIn(frameTimeout)); err == nil {
		n, err = t.conn.Write(b)
	}
	if err != nil {
		t.close()
	}
	return n, err
}

// sendControl enqueues a frame without payload.
func (t *tunnel) sendControl(k kind, number uint32) error {
	var b [HeaderSize]byte
	putHeader(b[:], k, number, 0)
	t.mu.Lock()
	closed := t.closed
	t.control = append(t.control, b[:]...)
	t.mu.Unlock()
	if closed {
		return net.ErrClosed
	}
	t.wake()
	return nil
}

// remove drops a request; frames of its response that still arrive are ignored.
func (t *tunnel) remove(h *Handover) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inFlight, h.number)
}

func (t *tunnel) find(number uint32) *Handover {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight[number]
}

// readLoop delivers responses until the connection fails.
func (t *tunnel) readLoop() {
	buffer := make([]byte, readBufferSize)
	var d decoder
	for {
		n, err := t.conn.Read(buffer)
		if n > 0 {
			t.received.Store(true)
			if feedErr := d.feed(buffer[:n], t.handleFrame); feedErr != nil {
				err = feedErr
			}
		}
		if err != nil {
			t.close()
			return
		}
	}
}

func (t *tunnel) handleFrame(f frame, piece []byte, last bool) {
	if f.kind == kindProbe {
		t.configuration.observe(piece, last)
		return
	}
	h := t.find(f.number)
	if h == nil {
		return
	}
	if len(piece) > 0 {
		h.deliver(piece)
	}
	if !last || f.kind == kindData {
		return
	}
	t.remove(h)
	h.end(f.kind == kindEnd)
}

// close closes the connection and aborts all responses in flight.
func (t *tunnel) close() {
	t.mu.Lock()
	aborted := t.inFlight
	t.inFlight, t.closed = map[uint32]*Handover{}, true
	t.mu.Unlock()
	_ = t.conn.Close()
	t.configuration.isFirst.Do(func() { close(t.configuration.first) })
	t.wake()
	for _, h := range aborted {
		h.end(false)
	}
}

// probeLoop sends probes while requests are in flight. It closes the connection if the other gateway
// is silent meanwhile, or if the connection is unused for idleTimeout.
func (t *tunnel) probeLoop(c clock.Clock) {
	silent, unused := 0, time.Duration(0)
	for {
		<-c.After(probeInterval)
		t.mu.Lock()
		closed, used := t.closed, len(t.inFlight) > 0
		t.mu.Unlock()
		if closed {
			return
		}
		silent++
		if t.received.Swap(false) || !used {
			silent = 0
		}
		unused += probeInterval
		if used {
			unused = 0
		}
		if silent >= maxMissedProbes || unused >= idleTimeout || used && t.sendControl(kindProbe, 0) != nil {
			t.close()
			return
		}
	}
}
