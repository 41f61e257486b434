// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package relay

import (
	"net"
	"sync"
	"time"

	"madderway/modules/netopt"
)

const (
	// Longest write of a piece of a response before the rest is buffered: responses to other callers
	// arrive on the same connection.
	pieceTimeout = 20 * time.Millisecond
	// Bytes of a response that are written without a deadline. They fit into the smallest socket
	// buffer, most responses are shorter, and setting a deadline for each write is expensive.
	untimedBytes = 8 << 10
	// Limits for a caller that reads slowly.
	maxBuffered     = 1 << 20
	bufferedTimeout = 10 * time.Second
)

// pastDeadline ends reads and writes at once.
var pastDeadline = time.Unix(1, 0)

// Handover is a request that another gateway serves.
type Handover struct {
	Peer string

	s      *Service
	tunnel *tunnel
	number uint32
	caller net.Conn
	done   chan struct{}

	mu          sync.Mutex
	buffered    []byte // bytes that the caller has not read yet
	buffering   bool   // writeBuffered is running
	hasDeadline bool   // writes to the caller have a deadline
	ended       bool   // no more bytes will arrive
	complete    bool
	failed      bool // the caller did not take the response
	bytes       int64
}

// Done returns a channel that is closed when the response has ended.
func (h *Handover) Done() <-chan struct{} { return h.done }

// Result returns, after Done, the number of bytes sent to the caller and whether the response is
// complete.
func (h *Handover) Result() (bytes int64, complete bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bytes, h.complete && !h.failed
}

// Cancel gives the request up: the caller has disconnected or its time is over.
func (h *Handover) Cancel() {
	h.tunnel.remove(h)
	_ = h.tunnel.sendControl(kindCancel, h.number) // fails only if the connection is closed
	h.end(false)
}

// deliver writes a piece of the response to the caller, or buffers it if the caller reads slowly.
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
		if err := h.caller.SetWriteDeadline(netopt.DeadlineIn(pieceTimeout)); err != nil {
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

// writeBuffered writes to a slow caller until its buffer is empty.
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

// end records that no more bytes will arrive.
func (h *Handover) end(complete bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return
	}
	h.ended, h.complete = true, complete
	if !h.buffering {
		h.finish()
	}
}

// finish completes the handover; h.mu is held.
func (h *Handover) finish() {
	if h.hasDeadline && h.caller.SetWriteDeadline(time.Time{}) != nil {
		h.failed = true
	}
	close(h.done)
	_ = h.caller.SetReadDeadline(pastDeadline) // on failure there is no reader
	h.s.finished(h.Peer)
}
