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
	// readBufferSize is how much is read of a connection at once: the events of many answers.
	readBufferSize = 64 << 10
	// frameTimeout is how long the other gateway may take to read a frame.
	frameTimeout = 3 * time.Second
	// chunkTimeout is how long a caller may take to read a piece of an answer before the rest
	// is kept for it: other callers' answers come on the same connection.
	chunkTimeout = 20 * time.Millisecond
	// untimedBytes is how much of an answer is written without that limit: the least buffer that
	// the system has for a connection takes more. Most answers are shorter, and a limit for
	// each piece took 8 % of the time of a gateway that hands a thousand requests a second
	// over.
	untimedBytes = 8 << 10
	// maxQueue is how many requests may wait for a connection, maxWait for how long: by then
	// little is left of the time in which most callers want the first part of an answer.
	maxQueue = 256
	maxWait  = 500 * time.Millisecond
	// maxBuffered is the most that is kept for a caller that reads slowly, keptTime how long it
	// may take to read it.
	maxBuffered     = 1 << 20
	bufferedTimeout = 10 * time.Second
)

// ErrCallerDisconnected tells that a request was not handed over since its caller had left.
var ErrCallerDisconnected = errors.New("the caller has left")

// ErrCongested tells that a request was not sent since others wait for the connection for too long.
var ErrCongested = errors.New("requests wait for too long for the gateway")

// ErrMaybeSent tells that a request may have reached the other gateway, whose connection broke.
type ErrMaybeSent struct{ Reason error }

// Error implements error.
func (e ErrMaybeSent) Error() string { return "sent in part: " + e.Reason.Error() }

// Unwrap returns the reason.
func (e ErrMaybeSent) Unwrap() error { return e.Reason }

// IsErrMaybeSent reports whether err is an ErrSent.
func IsErrMaybeSent(err error) bool {
	var e ErrMaybeSent
	return errors.As(err, &e)
}

// pastDeadline is a deadline that is over.
var pastDeadline = time.Unix(1, 0)

// tunnel is the near end of a connection to another gateway.
type tunnel struct {
	conn     net.Conn
	clock    clock.Clock
	received atomic.Bool // heard tells that something has come since the last probe.

	// queue holds requests that the writer has not taken yet, work tells it that there are some
	// or signals.
	queue  []*queuedRequest
	wakeup chan struct{}
	oldest time.Time // first is when the first was enqueued that is not written; zero where none waits.

	mu         sync.Mutex
	lastNumber uint32
	inFlight   map[uint32]*Handover // handed are the requests whose answers are not over.
	closed     bool
	// control are frames without bytes that go out before the next request: the message that a
	// caller has left does not wait behind the requests of others.
	control []byte
}

// newTunnel starts a tunnel's writer, which ends when the tunnel is closed.
func newTunnel(conn net.Conn, c clock.Clock) *tunnel {
	t := &tunnel{conn: conn, clock: c, inFlight: map[uint32]*Handover{}, wakeup: make(chan struct{}, 1)}
	go t.writeLoop()
	return t
}

func (t *tunnel) isClosed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closed
}

// queuedRequest is a request that waits for being written.
type queuedRequest struct {
	frame        []byte
	enqueuedAt   time.Time   // since is when it was enqueued.
	disconnected func() bool // left tells whether the caller has left.
	result       chan error  // done gets what came of it.
}

// send sends a request, unless the caller has left when its turn comes; its head is written
// into the buffer.
func (t *tunnel) send(h *Handover, buffer []byte, left func() bool) error {
	o := &queuedRequest{frame: buffer, enqueuedAt: t.clock.Now(), disconnected: left, result: make(chan error, 1)}
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

// wake has the writer look for work.
func (t *tunnel) wake() {
	select {
	case t.wakeup <- struct{}{}:
	default:
	}
}

// writeLoop writes what waits until the connection is closed. It is the only goroutine that does: if
// each request were written by its own, under a lock, a process that is short of time would writeLoop
// one whenever the next goroutine in the line comes to run, and requests would wait for an idle
// connection until their callers leave.
func (t *tunnel) writeLoop() {
	for range t.wakeup {
		queue, closed := t.takeQueue()
		for i, o := range queue {
			err := t.writeRequest(o)
			t.updateOldest(queue[i+1:])
			o.result <- err
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

// oldestWait returns for how long the first of the requests waits that are not written yet.
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

// updateOldest notes since when the next request waits: one of these that the writer has taken, or
// the first in the queue.
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

// failQueue gives up what was enqueued before the connection was closed.
func (t *tunnel) failQueue() {
	queue, _ := t.takeQueue()
	for _, o := range queue {
		o.result <- net.ErrClosed
	}
}

// writeRequest writes a request, unless its caller has left, and the signals that have come.
func (t *tunnel) writeRequest(o *queuedRequest) error {
	if t.isClosed() {
		return net.ErrClosed
	}
	if err := t.writeControl(); err != nil {
		return err
	}
	if o.disconnected() {
		return ErrCallerDisconnected
	}
	if t.clock.Now().Sub(o.enqueuedAt) > maxWait {
		return ErrCongested
	}
	if err := t.writeFrames(o.frame); err != nil {
		return ErrMaybeSent{err}
	}
	return nil
}

// writeControl writes the signals that wait.
func (t *tunnel) writeControl() error {
	t.mu.Lock()
	b := t.control
	t.control = nil
	t.mu.Unlock()
	if len(b) == 0 {
		return nil
	}
	return t.writeFrames(b)
}

func (t *tunnel) writeFrames(b []byte) error {
	err := t.conn.SetWriteDeadline(netopt.DeadlineIn(frameTimeout))
	if err == nil {
		_, err = t.conn.Write(b)
	}
	if err != nil {
		t.close()
	}
	return err
}

// sendControl sends a frame without bytes.
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

// remove drops a request; what still comes of its answer is passed over.
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

// readLoop passes answers on until the connection ends; those that are not over then are broken.
func (t *tunnel) readLoop() {
	buffer := make([]byte, readBufferSize)
	var d decoder
	for {
		n, err := t.conn.Read(buffer)
		if n > 0 {
			t.received.Store(true)
			if wrong := d.feed(buffer[:n], t.handleFrame); wrong != nil {
				err = wrong
			}
		}
		if err != nil {
			t.close()
			return
		}
	}
}

func (t *tunnel) handleFrame(f frame, piece []byte, last bool) {
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

// close ends the connection and all that is under way on it.
func (t *tunnel) close() {
	t.mu.Lock()
	broken := t.inFlight
	t.inFlight, t.closed = map[uint32]*Handover{}, true
	t.mu.Unlock()
	_ = t.conn.Close()
	t.wake()
	for _, h := range broken {
		h.end(false)
	}
}

// probeLoop ends the connection where the other gateway is silent, or nothing is handed over for
// long.
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

// Handover is a request that another gateway serves.
type Handover struct {
	Peer string

	s      *Service
	tunnel *tunnel
	number uint32
	caller net.Conn
	done   chan struct{}

	mu          sync.Mutex
	buffered    []byte // kept is what the caller has not read yet, written by a goroutine of its own.
	buffering   bool   // slow tells that there is such a goroutine.
	hasDeadline bool   // timed tells that writes to the caller have a deadline.
	ended       bool   // over tells that nothing more comes.
	complete    bool
	failed      bool // gone tells that the caller does not take the answer.
	bytes       int64
}

// Done returns a channel that is closed when the answer is over.
func (h *Handover) Done() <-chan struct{} { return h.done }

// Result returns, after Done, how many bytes the caller was sent, and whether that is all of
// the answer.
func (h *Handover) Result() (bytes int64, whole bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bytes, h.complete && !h.failed
}

// Cancel gives the request up: the caller has left, or its time is over.
func (h *Handover) Cancel() {
	h.tunnel.remove(h)
	_ = h.tunnel.sendControl(kindCancel, h.number) // where that fails the connection is closed
	h.end(false)
}

// deliver gives the caller a piece of the answer.
func (h *Handover) deliver(piece []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failed || h.ended {
		return
	}
	if h.buffering {
		h.buffer(piece)
		return
	}
	n, err := h.write(piece)
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		h.buffering = true
		h.buffer(piece[n:])
		go h.writeBuffered()
		return
	}
	h.failed = err != nil
}

func (h *Handover) write(b []byte) (int, error) {
	if h.bytes+int64(len(b)) > untimedBytes {
		h.hasDeadline = true
		if err := h.caller.SetWriteDeadline(netopt.DeadlineIn(chunkTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := h.caller.Write(b)
	h.bytes += int64(n)
	return n, err
}

func (h *Handover) buffer(b []byte) {
	if h.buffered = append(h.buffered, b...); len(h.buffered) > maxBuffered {
		h.failed = true
	}
}

// writeBuffered writes what was kept until nothing is left.
func (h *Handover) writeBuffered() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.buffered) > 0 && !h.failed {
		b := h.buffered
		h.buffered = nil
		h.mu.Unlock()
		err := h.caller.SetWriteDeadline(netopt.DeadlineIn(bufferedTimeout))
		n := 0
		if err == nil {
			n, err = h.caller.Write(b)
		}
		h.mu.Lock()
		h.bytes += int64(n)
		h.failed = h.failed || err != nil
	}
	h.buffering = false
	if h.ended {
		h.finish()
	}
}

// end notes that the answer is over.
func (h *Handover) end(whole bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return
	}
	h.ended, h.complete = true, whole
	if !h.buffering {
		h.finish()
	}
}

// finish wakes whoever waits for the end; the lock is held.
func (h *Handover) finish() {
	if h.hasDeadline && h.caller.SetWriteDeadline(time.Time{}) != nil {
		h.failed = true
	}
	close(h.done)
	_ = h.caller.SetReadDeadline(pastDeadline) // where that fails nobody reads
	h.s.finished(h.Peer)
}
