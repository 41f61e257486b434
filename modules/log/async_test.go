// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package log

import (
	"io"
	"strings"
	"sync"
	"testing"

	"madderway/modules/clock"
)

// blockingWriter is an output whose writes block until open is closed.
type blockingWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (g *blockingWriter) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

func (g *blockingWriter) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.String()
}

func TestAsyncWriterNeverBlocksOnStuckOutput(t *testing.T) {
	out := &blockingWriter{open: make(chan struct{})}
	w := NewAsync(out, clock.NewFake(), Budget{Lines: 1000, Bytes: 1 << 20, QueueSize: 8})
	for range 100 { // more than the queue holds
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("Write: got %d, %v; want 5, nil", n, err)
		}
	}
	if n := w.Dropped(); n < 90 {
		t.Errorf("%d of 100 lines dropped with a queue of 8, want at least 90", n)
	}
	close(out.open)
	w.Close()
	if text := out.String(); !strings.Contains(text, "Log lines dropped. lines=9") || strings.Count(text, "line\n") < 8 {
		t.Errorf("the output holds %q", text)
	}
}

func TestAsyncWriterDropsLinesOverBudget(t *testing.T) {
	out := &blockingWriter{open: make(chan struct{})}
	close(out.open)
	c := clock.NewFake()
	w := NewAsync(out, c, Budget{Lines: 3, Bytes: 100, QueueSize: 100})
	for range 5 {
		_, _ = w.Write([]byte("short\n"))
	}
	if n := w.Dropped(); n != 2 {
		t.Errorf("%d of 5 lines dropped with a budget of 3, want 2", n)
	}
	c.Advance(2 * dropReportInterval)
	_, _ = w.Write([]byte(strings.Repeat("x", 101)))
	_, _ = w.Write([]byte("after\n"))
	w.Close()
	text := out.String()
	if strings.Count(text, "short\n") != 3 || strings.Contains(text, "xx") {
		t.Errorf("the output holds %q", text)
	}
}

// Guards against a flood of request lines that hides the warnings about it.
func TestRequestLinesLeaveBudgetForOthers(t *testing.T) {
	out := &blockingWriter{open: make(chan struct{})}
	close(out.open)
	w := NewAsync(out, clock.NewFake(), Budget{Lines: 100, Bytes: 1 << 20, QueueSize: 200})
	Setup(w, 0)
	defer Setup(io.Discard, 0)
	l := New("test")
	for range 1000 {
		l.Request("Flood.")
	}
	for range 20 {
		l.Info("View.")
	}
	l.Warn("Overloaded.")
	w.Close()
	text := out.String()
	if n := strings.Count(text, "View."); n != 20 || !strings.Contains(text, "Overloaded.") {
		t.Errorf("%d of 20 general lines written during a flood, warning written: %v", n, strings.Contains(text, "Overloaded."))
	}
	if n := strings.Count(text, "Flood."); n < 50 || n > 75 {
		t.Errorf("%d request lines written, want 50 to 75", n)
	}
}
