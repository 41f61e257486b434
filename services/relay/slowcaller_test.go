// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package relay

import (
	"net"
	"os"
	"runtime"
	"sync"
	"testing"
	"time"

	"madderway/modules/clock"
	"madderway/services/heldbytes"
)

// stalledCaller is a connection whose other end reads nothing.
type stalledCaller struct {
	net.Conn
	timedOut  bool
	interrupt sync.Once
	released  chan struct{}
}

func newStalledCaller() *stalledCaller { return &stalledCaller{released: make(chan struct{})} }

// Write times out at once the first time, and then waits for a deadline in the past.
func (c *stalledCaller) Write([]byte) (int, error) {
	if c.timedOut {
		<-c.released
	}
	c.timedOut = true
	return 0, os.ErrDeadlineExceeded
}

func (c *stalledCaller) SetReadDeadline(time.Time) error { return nil }

func (c *stalledCaller) SetWriteDeadline(deadline time.Time) error {
	if deadline.Equal(pastDeadline) {
		c.interrupt.Do(func() { close(c.released) })
	}
	return nil
}

// isDone reports whether the response has ended.
func (h *Handover) isDone() bool {
	select {
	case <-h.Done():
		return true
	default:
		return false
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against answers without end for callers that read nothing: each was buffered up to a bound of its
// own, all together up to none, and its request ran on.
func TestAnswersForStalledCallersAreBoundedTogether(t *testing.T) {
	const (
		callers = 200
		limit   = 8 << 20
		piece   = 32 << 10
		pieces  = maxBuffered / 2 / piece // of each answer, before any is too long
	)
	s := newService(t, key, clock.System{})
	s.buffers = heldbytes.New(limit)
	near, far := net.Pipe()
	defer far.Close()
	tun := newTunnel(near, clock.System{})
	defer tun.close()
	before := heapBytes()
	handOver := func(number int) *Handover {
		return &Handover{s: s, Peer: "far", tunnel: tun, caller: newStalledCaller(), number: uint32(number), done: make(chan struct{})}
	}
	handed := make([]*Handover, callers)
	for i := range handed {
		handed[i] = handOver(i)
	}
	for range pieces {
		for _, h := range handed {
			h.deliver(make([]byte, piece))
		}
	}
	if held := heapBytes() - before; held > 2*limit {
		t.Errorf("%d answers hold %d MB, want %d MB at most", callers, held>>20, limit>>20)
	}
	slow := handOver(callers)
	if slow.deliver(make([]byte, untimedBytes)); slow.isDone() {
		t.Error("the answer for another slow caller has no room")
	}
	handed = append(handed, slow)
	for _, h := range handed {
		for range 2 * pieces {
			h.deliver(make([]byte, piece))
		}
	}
	for _, h := range handed {
		<-h.Done()
		if _, complete := h.Result(); complete {
			t.Error("a broken answer looks complete")
		}
	}
	if held := s.buffers.Held(); held != 0 {
		t.Errorf("%d bytes are counted after the last answer", held)
	}
}
