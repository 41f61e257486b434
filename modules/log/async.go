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
	"madderway/modules/saturate"
)

// Budget limits the log's output and its buffer.
type Budget struct {
	Lines     int // per second, also the burst
	Bytes     int // per second, also the burst
	QueueSize int // lines buffered for the output
}

// DefaultBudget returns the budget of a router process.
func DefaultBudget() Budget { return Budget{Lines: 200, Bytes: 64 << 10, QueueSize: 1024} }

// requestShare is the fraction of the budget open to lines about single requests, so
// that a flood of requests cannot crowd out the warnings about it.
const requestShare = 0.75

type lineKind int

const (
	generalLine lineKind = iota
	requestLine
)

const (
	dropReportInterval = time.Second
	closeTimeout       = 200 * time.Millisecond // for a flush to a stuck output
)

// AsyncWriter writes lines to an output that may be slow or stuck. Write never
// blocks: lines over the budget or beyond the full queue are dropped, and a line in
// the log reports their number.
type AsyncWriter struct {
	t      tomb.Tomb
	out    io.Writer
	clock  clock.Clock
	budget Budget
	ring   *ring.Ring[[]byte]
	flush  chan chan struct{}

	budgetSecond atomic.Int64 // Unix second that lines and bytes count for
	lines        atomic.Int64
	bytes        atomic.Int64
	dropped      atomic.Uint64
}

// NewAsync returns a started writer to out; Close stops it.
func NewAsync(out io.Writer, c clock.Clock, b Budget) *AsyncWriter {
	w := &AsyncWriter{out: out, clock: c, budget: b, ring: ring.New[[]byte]("log", b.QueueSize), flush: make(chan chan struct{})}
	w.t.Go(w.run)
	return w
}

// Write implements io.Writer for one line. It never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if !w.takeBudget(len(line)) || !w.ring.TryPut(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// dropIfOverBudget reports whether this second's budget for the kind of line is used up, and if so
// counts the line as dropped.
func (w *AsyncWriter) dropIfOverBudget(kind lineKind) bool {
	lines, bytes := int64(w.budget.Lines), int64(w.budget.Bytes)
	if kind == requestLine {
		lines, bytes = saturate.Int64(requestShare*float64(lines)), saturate.Int64(requestShare*float64(bytes))
	}
	if w.budgetSecond.Load() != w.clock.Now().Unix() || w.lines.Load() < lines && w.bytes.Load() < bytes {
		return false
	}
	w.dropped.Add(1)
	return true
}

// takeBudget charges a line to this second's budget and reports whether it fits.
func (w *AsyncWriter) takeBudget(size int) bool {
	now := w.clock.Now().Unix()
	if w.budgetSecond.Swap(now) != now {
		w.lines.Store(0)
		w.bytes.Store(0)
	}
	return w.lines.Add(1) <= int64(w.budget.Lines) && w.bytes.Add(int64(size)) <= int64(w.budget.Bytes)
}

// Dropped returns the number of dropped lines that were not reported yet.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

func (w *AsyncWriter) run() error {
	reportDue := w.clock.After(dropReportInterval)
	for {
		select {
		case <-w.t.Dying():
			return nil
		case line := <-w.ring.Out():
			_, _ = w.out.Write(line)
		case <-reportDue:
			w.reportDropped()
			reportDue = w.clock.After(dropReportInterval)
		case done := <-w.flush:
			w.drain()
			close(done)
		}
	}
}

func (w *AsyncWriter) reportDropped() {
	if n := w.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w.out, "[log] Log lines dropped. lines=%d\n", n)
	}
}

func (w *AsyncWriter) drain() {
	for {
		select {
		case line := <-w.ring.Out():
			_, _ = w.out.Write(line)
		default:
			w.reportDropped()
			return
		}
	}
}

// Close stops the writer after writing the queued lines, for closeTimeout at most.
func (w *AsyncWriter) Close() {
	done := make(chan struct{})
	select {
	case w.flush <- done:
		select {
		case <-done:
		case <-time.After(closeTimeout):
		}
	case <-time.After(closeTimeout):
	}
	w.t.Kill(nil)
}
