// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package relay

import (
	"net"
	"slices"
	"strconv"
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
	// Least size of a buffer for pieces of a response.
	minBuffer = 4 << 10
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
	buffered    net.Buffers // bytes that the caller has not read yet
	reserved    int64       // bytes of them and of those that are being written
	buffering   bool        // writeBuffered is running
	hasDeadline bool        // writes to the caller have a deadline
	ended       bool        // no more bytes will arrive
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

// deliver writes a piece of the response to the caller, or buffers it if the caller reads slowly. A
// response that can't be buffered is given up.
func (h *Handover) deliver(piece []byte) {
	if !h.take(piece) {
		h.Cancel()
	}
}

// take returns false if the response has to be given up.
func (h *Handover) take(piece []byte) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failed || h.ended {
		return true
	}
	if h.buffering {
		return h.buffer(piece)
	}
	n, err := h.write(piece)
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		if !h.buffer(piece[n:]) {
			return false
		}
		h.buffering = true
		go h.writeBuffered()
		return true
	}
	h.failed = err != nil
	return true
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

// buffer keeps a copy of bytes for writeBuffered. It returns false if there are too many.
func (h *Handover) buffer(b []byte) bool {
	if last := len(h.buffered) - 1; last >= 0 && cap(h.buffered[last])-len(h.buffered[last]) >= len(b) {
		h.buffered[last] = append(h.buffered[last], b...)
		return true
	}
	size := int64(max(len(b), minBuffer))
	if h.reserved+size > maxBuffered || !h.s.buffers.Reserve(h.owner(), size) {
		h.s.log.Request("Response broken off, its caller reads too slowly.", "peer", h.Peer, "number", h.number, "bytes", h.bytes, "buffered", h.reserved, "buffered_for_all", h.s.buffers.Held())
		h.failed = true
		_ = h.caller.SetWriteDeadline(pastDeadline) // on failure there is no writer
		return false
	}
	h.reserved += size
	h.buffered = append(h.buffered, append(make([]byte, 0, size), b...))
	return true
}

// owner identifies the response in the quota of buffered bytes.
func (h *Handover) owner() string { return h.Peer + "/" + strconv.FormatUint(uint64(h.number), 10) }

// unreserve gives the reserved bytes of buffers back; h.mu is held.
func (h *Handover) unreserve(buffers net.Buffers) {
	size := int64(0)
	for _, b := range buffers {
		size += int64(cap(b))
	}
	h.s.buffers.Release(h.owner(), size)
	h.reserved -= size
}

// writeBuffered writes to a slow caller until its buffer is empty.
func (h *Handover) writeBuffered() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.buffered) > 0 && !h.failed {
		batch := h.buffered
		unwritten := slices.Clone(batch) // WriteTo changes it
		h.buffered = nil
		err := h.caller.SetWriteDeadline(netopt.DeadlineIn(bufferedTimeout))
		h.mu.Unlock()
		n := int64(0)
		if err == nil {
			n, err = unwritten.WriteTo(h.caller)
		}
		h.mu.Lock()
		h.unreserve(batch)
		h.bytes += n
		h.failed = h.failed || err != nil
	}
	h.unreserve(h.buffered)
	h.buffered, h.buffering = nil, false
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
