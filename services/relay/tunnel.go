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
	// readSize is how much is read of a connection at once: the events of many answers.
	readSize = 64 << 10
	// frameTime is how long the other gateway may take to read a frame.
	frameTime = 3 * time.Second
	// pieceTime is how long a caller may take to read a piece of an answer before the rest
	// is kept for it: other callers' answers come on the same connection.
	pieceTime = 20 * time.Millisecond
	// freeBytes is how much of an answer is written without that limit: the least buffer that
	// the system has for a connection takes more. Most answers are shorter, and a limit for
	// each piece took 8 % of the time of a gateway that hands a thousand requests a second
	// over.
	freeBytes = 8 << 10
	// maxQueue is how many requests may wait for a connection, maxWait for how long: by then
	// little is left of the time in which most callers want the first part of an answer.
	maxQueue = 256
	maxWait  = 500 * time.Millisecond
	// maxKept is the most that is kept for a caller that reads slowly, keptTime how long it
	// may take to read it.
	maxKept  = 1 << 20
	keptTime = 10 * time.Second
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

// longAgo is a deadline that is over.
var longAgo = time.Unix(1, 0)

// tunnel is the near end of a connection to another gateway.
type tunnel struct {
	conn  net.Conn
	clock clock.Clock
	heard atomic.Bool // heard tells that something has come since the last probe.

	// queue holds requests that the writer has not taken yet, work tells it that there are some
	// or signals.
	queue []*outgoing
	work  chan struct{}
	first time.Time // first is when the first was enqueued that is not written; zero where none waits.

	mu     sync.Mutex
	next   uint32
	handed map[uint32]*Handover // handed are the requests whose answers are not over.
	closed bool
	// signals are frames without bytes that go out before the next request: the message that a
	// caller has left does not wait behind the requests of others.
	signals []byte
}

// newTunnel starts a tunnel's writer, which ends when the tunnel is closed.
func newTunnel(conn net.Conn, c clock.Clock) *tunnel {
	t := &tunnel{conn: conn, clock: c, handed: map[uint32]*Handover{}, work: make(chan struct{}, 1)}
	go t.write()
	return t
}

func (t *tunnel) isClosed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closed
}

// outgoing is a request that waits for being written.
type outgoing struct {
	frame []byte
	since time.Time   // since is when it was enqueued.
	left  func() bool // left tells whether the caller has left.
	done  chan error  // done gets what came of it.
}

// send sends a request, unless the caller has left when its turn comes; its head is written
// into the buffer.
func (t *tunnel) send(h *Handover, buffer []byte, left func() bool) error {
	o := &outgoing{frame: buffer, since: t.clock.Now(), left: left, done: make(chan error, 1)}
	if err := t.enqueue(h, o); err != nil {
		return err
	}
	t.wake()
	err := <-o.done
	if err != nil {
		t.forget(h)
	}
	return err
}

func (t *tunnel) enqueue(h *Handover, o *outgoing) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.closed:
		return net.ErrClosed
	case len(t.queue) >= maxQueue:
		return ErrCongested
	}
	t.next++
	h.number = t.next
	t.handed[h.number] = h
	putHeader(o.frame, kindEnd, h.number, len(o.frame)-HeaderSize)
	t.queue = append(t.queue, o)
	if t.first.IsZero() {
		t.first = o.since
	}
	return nil
}

// wake has the writer look for work.
func (t *tunnel) wake() {
	select {
	case t.work <- struct{}{}:
	default:
	}
}

// write writes what waits until the connection is closed. It is the only goroutine that does: if
// each request were written by its own, under a lock, a process that is short of time would write
// one whenever the next goroutine in the line comes to run, and requests would wait for an idle
// connection until their callers leave.
func (t *tunnel) write() {
	for range t.work {
		queue, closed := t.takeQueue()
		for i, o := range queue {
			err := t.writeRequest(o)
			t.setFirst(queue[i+1:])
			o.done <- err
		}
		if !closed {
			closed = t.writeSignals() != nil
		}
		if closed {
			t.close()
			t.endQueue()
			return
		}
	}
}

// waiting returns for how long the first of the requests waits that are not written yet.
func (t *tunnel) waiting(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || t.first.IsZero() {
		return 0
	}
	return now.Sub(t.first)
}

func (t *tunnel) takeQueue() (queue []*outgoing, closed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue, t.queue = t.queue, nil
	return queue, t.closed
}

// setFirst notes since when the next request waits: one of these that the writer has taken, or
// the first in the queue.
func (t *tunnel) setFirst(taken []*outgoing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(taken) == 0 {
		taken = t.queue
	}
	t.first = time.Time{}
	if len(taken) > 0 {
		t.first = taken[0].since
	}
}

// endQueue gives up what was enqueued before the connection was closed.
func (t *tunnel) endQueue() {
	queue, _ := t.takeQueue()
	for _, o := range queue {
		o.done <- net.ErrClosed
	}
}

// writeRequest writes a request, unless its caller has left, and the signals that have come.
func (t *tunnel) writeRequest(o *outgoing) error {
	if t.isClosed() {
		return net.ErrClosed
	}
	if err := t.writeSignals(); err != nil {
		return err
	}
	if o.left() {
		return ErrCallerDisconnected
	}
	if t.clock.Now().Sub(o.since) > maxWait {
		return ErrCongested
	}
	if err := t.writeNow(o.frame); err != nil {
		return ErrMaybeSent{err}
	}
	return nil
}

// writeSignals writes the signals that wait.
func (t *tunnel) writeSignals() error {
	t.mu.Lock()
	b := t.signals
	t.signals = nil
	t.mu.Unlock()
	if len(b) == 0 {
		return nil
	}
	return t.writeNow(b)
}

func (t *tunnel) writeNow(b []byte) error {
	err := t.conn.SetWriteDeadline(netopt.DeadlineIn(frameTime))
	if err == nil {
		_, err = t.conn.Write(b)
	}
	if err != nil {
		t.close()
	}
	return err
}

// signal sends a frame without bytes.
func (t *tunnel) signal(k kind, number uint32) error {
	var b [HeaderSize]byte
	putHeader(b[:], k, number, 0)
	t.mu.Lock()
	closed := t.closed
	t.signals = append(t.signals, b[:]...)
	t.mu.Unlock()
	if closed {
		return net.ErrClosed
	}
	t.wake()
	return nil
}

// forget drops a request; what still comes of its answer is passed over.
func (t *tunnel) forget(h *Handover) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.handed, h.number)
}

func (t *tunnel) find(number uint32) *Handover {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.handed[number]
}

// read passes answers on until the connection ends; those that are not over then are broken.
func (t *tunnel) read() {
	buffer := make([]byte, readSize)
	var d decoder
	for {
		n, err := t.conn.Read(buffer)
		if n > 0 {
			t.heard.Store(true)
			if wrong := d.feed(buffer[:n], t.take); wrong != nil {
				err = wrong
			}
		}
		if err != nil {
			t.close()
			return
		}
	}
}

func (t *tunnel) take(f frame, piece []byte, last bool) {
	h := t.find(f.number)
	if h == nil {
		return
	}
	if len(piece) > 0 {
		h.pass(piece)
	}
	if !last || f.kind == kindData {
		return
	}
	t.forget(h)
	h.end(f.kind == kindEnd)
}

// close ends the connection and all that is under way on it.
func (t *tunnel) close() {
	t.mu.Lock()
	broken := t.handed
	t.handed, t.closed = map[uint32]*Handover{}, true
	t.mu.Unlock()
	_ = t.conn.Close()
	t.wake()
	for _, h := range broken {
		h.end(false)
	}
}

// probe ends the connection where the other gateway is silent, or nothing is handed over for
// long.
func (t *tunnel) probe(c clock.Clock) {
	silent, unused := 0, time.Duration(0)
	for {
		<-c.After(probeInterval)
		t.mu.Lock()
		closed, used := t.closed, len(t.handed) > 0
		t.mu.Unlock()
		if closed {
			return
		}
		silent++
		if t.heard.Swap(false) || !used {
			silent = 0
		}
		unused += probeInterval
		if used {
			unused = 0
		}
		if silent >= maxMissedProbes || unused >= idleTimeout || used && t.signal(kindProbe, 0) != nil {
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

	mu    sync.Mutex
	kept  []byte // kept is what the caller has not read yet, written by a goroutine of its own.
	slow  bool   // slow tells that there is such a goroutine.
	timed bool   // timed tells that writes to the caller have a deadline.
	over  bool   // over tells that nothing more comes.
	whole bool
	gone  bool // gone tells that the caller does not take the answer.
	bytes int64
}

// Done returns a channel that is closed when the answer is over.
func (h *Handover) Done() <-chan struct{} { return h.done }

// Result returns, after Done, how many bytes the caller was sent, and whether that is all of
// the answer.
func (h *Handover) Result() (bytes int64, whole bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bytes, h.whole && !h.gone
}

// Cancel gives the request up: the caller has left, or its time is over.
func (h *Handover) Cancel() {
	h.tunnel.forget(h)
	_ = h.tunnel.signal(kindCancel, h.number) // where that fails the connection is closed
	h.end(false)
}

// pass gives the caller a piece of the answer.
func (h *Handover) pass(piece []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gone || h.over {
		return
	}
	if h.slow {
		h.keep(piece)
		return
	}
	n, err := h.write(piece)
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		h.slow = true
		h.keep(piece[n:])
		go h.writeKept()
		return
	}
	h.gone = err != nil
}

func (h *Handover) write(b []byte) (int, error) {
	if h.bytes+int64(len(b)) > freeBytes {
		h.timed = true
		if err := h.caller.SetWriteDeadline(netopt.DeadlineIn(pieceTime)); err != nil {
			return 0, err
		}
	}
	n, err := h.caller.Write(b)
	h.bytes += int64(n)
	return n, err
}

func (h *Handover) keep(b []byte) {
	if h.kept = append(h.kept, b...); len(h.kept) > maxKept {
		h.gone = true
	}
}

// writeKept writes what was kept until nothing is left.
func (h *Handover) writeKept() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.kept) > 0 && !h.gone {
		b := h.kept
		h.kept = nil
		h.mu.Unlock()
		err := h.caller.SetWriteDeadline(netopt.DeadlineIn(keptTime))
		n := 0
		if err == nil {
			n, err = h.caller.Write(b)
		}
		h.mu.Lock()
		h.bytes += int64(n)
		h.gone = h.gone || err != nil
	}
	h.slow = false
	if h.over {
		h.finish()
	}
}

// end notes that the answer is over.
func (h *Handover) end(whole bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over {
		return
	}
	h.over, h.whole = true, whole
	if !h.slow {
		h.finish()
	}
}

// finish wakes whoever waits for the end; the lock is held.
func (h *Handover) finish() {
	if h.timed && h.caller.SetWriteDeadline(time.Time{}) != nil {
		h.gone = true
	}
	close(h.done)
	_ = h.caller.SetReadDeadline(longAgo) // where that fails nobody reads
	h.s.ended(h.Peer)
}
