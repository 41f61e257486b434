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

// blockingWriter is an output that takes nothing until it is opened.
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
	for range 100 { // would never end if a line waited for the output
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("%d, %v", n, err)
		}
	}
	if n := w.Dropped(); n < 90 {
		t.Errorf("%d lines left out of 100 with room for eight", n)
	}
	close(out.open)
	w.Close()
	if text := out.String(); !strings.Contains(text, "Lines left out. lines=9") || strings.Count(text, "line\n") < 8 {
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
		t.Errorf("%d lines left out of five, three are allowed", n)
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

// A flood of lines about single requests leaves room for the lines that tell of it.
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
		t.Errorf("%d of 20 lines came beside a flood, a warning %v", n, strings.Contains(text, "Overloaded."))
	}
	if n := strings.Count(text, "Flood."); n < 50 || n > 75 {
		t.Errorf("%d lines of the flood, 75 are its part", n)
	}
}
