// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package log

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"madderway/modules/clock"
	"madderway/modules/ring"
)

// Budget bounds what is written to the log.
type Budget struct {
	Lines int // a second, and at once
	Bytes int // a second, and at once
	Ring  int // lines that may wait for the output
}

// DefaultBudget keeps a log readable and its cost small.
func DefaultBudget() Budget { return Budget{Lines: 200, Bytes: 64 << 10, Ring: 1024} }

// requestShare is the part of the budget that lines about single requests may take, so
// that a flood of requests does not leave out what tells of the flood.
const requestShare = 0.75

// lineKind is what a line is about.
type lineKind int

const (
	general lineKind = iota
	aboutRequest
)

// flushEvery is how often lines that were left out are told, and flushTime how
// long the end of the program waits for the output.
const (
	flushEvery = time.Second
	flushTime  = 200 * time.Millisecond
)

// AsyncWriter passes lines on to an output that may be slow or stuck: its Write
// never waits. Lines over the budget, or that find the ring full, are left out
// and counted; a line says how many.
type AsyncWriter struct {
	t      tomb.Tomb
	out    io.Writer
	clock  clock.Clock
	budget Budget
	ring   *ring.Ring[[]byte]
	flush  chan chan struct{}

	budgetSecond atomic.Int64 // second is the one that the counts below belong to.
	lines        atomic.Int64
	bytes        atomic.Int64
	leftOut      atomic.Uint64
}

// NewAsync starts a writer to out.
func NewAsync(out io.Writer, c clock.Clock, b Budget) *AsyncWriter {
	w := &AsyncWriter{out: out, clock: c, budget: b, ring: ring.New[[]byte]("log", b.Ring), flush: make(chan chan struct{})}
	w.t.Go(w.run)
	return w
}

// Write implements io.Writer. It takes one line and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if !w.takeBudget(len(line)) || !w.ring.TryPut(append([]byte(nil), line...)) {
		w.leftOut.Add(1)
	}
	return len(line), nil
}

// spent tells whether the budget that a kind of line has in this second is spent; the
// line that asks is counted as left out then.
func (w *AsyncWriter) spent(kind lineKind) bool {
	lines, bytes := int64(w.budget.Lines), int64(w.budget.Bytes)
	if kind == aboutRequest {
		lines, bytes = int64(requestShare*float64(lines)), int64(requestShare*float64(bytes))
	}
	if w.budgetSecond.Load() != w.clock.Now().Unix() || w.lines.Load() < lines && w.bytes.Load() < bytes {
		return false
	}
	w.leftOut.Add(1)
	return true
}

// takeBudget takes a line from the budget of this second.
func (w *AsyncWriter) takeBudget(size int) bool {
	now := w.clock.Now().Unix()
	if w.budgetSecond.Swap(now) != now {
		w.lines.Store(0)
		w.bytes.Store(0)
	}
	return w.lines.Add(1) <= int64(w.budget.Lines) && w.bytes.Add(int64(size)) <= int64(w.budget.Bytes)
}

// LeftOut returns how many lines were left out and not told yet.
func (w *AsyncWriter) LeftOut() uint64 { return w.leftOut.Load() }

func (w *AsyncWriter) run() error {
	tell := w.clock.After(flushEvery)
	for {
		select {
		case <-w.t.Dying():
			return nil
		case line := <-w.ring.Out():
			_, _ = w.out.Write(line)
		case <-tell:
			w.tellLeftOut()
			tell = w.clock.After(flushEvery)
		case done := <-w.flush:
			w.drain()
			close(done)
		}
	}
}

func (w *AsyncWriter) tellLeftOut() {
	if n := w.leftOut.Swap(0); n > 0 {
		fmt.Fprintf(w.out, "[log] Lines left out. lines=%d\n", n)
	}
}

func (w *AsyncWriter) drain() {
	for {
		select {
		case line := <-w.ring.Out():
			_, _ = w.out.Write(line)
		default:
			w.tellLeftOut()
			return
		}
	}
}

// Close writes what waits, unless the output is stuck, and stops the writer.
func (w *AsyncWriter) Close() {
	done := make(chan struct{})
	select {
	case w.flush <- done:
		select {
		case <-done:
		case <-time.After(flushTime):
		}
	case <-time.After(flushTime):
	}
	w.t.Kill(nil)
}
