// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package netopt

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"madderway/modules/clock"
)

const (
	// endedTime is how long a server may take to answer a connect. A port where nobody
	// listens refuses at once, within a few milliseconds in the same region; a server that
	// gives no answer may be cut off, and counts as alive.
	endedTime = 250 * time.Millisecond
	// endedFresh is how long a finding holds for other answers of the same server that
	// break off: all its connections break within some milliseconds.
	endedFresh = 100 * time.Millisecond
)

// finding is what a connect to a server whose answer broke off has shown.
type finding struct {
	done  chan struct{} // done is closed when the rest is set.
	ended bool
	at    time.Time
}

// ExitDetector finds out whether servers have ended, once for all answers of a server that break
// off together.
type ExitDetector struct {
	dialer *net.Dialer
	clock  clock.Clock

	mu       sync.Mutex
	findings map[string]*finding
}

// NewExitDetector returns an Endings that has found out nothing.
func NewExitDetector() *ExitDetector {
	return &ExitDetector{dialer: Dialer(endedTime), clock: clock.System{}, findings: map[string]*finding{}}
}

// Ended tells whether the server of this ID, whose answer broke off, has ended: one that has
// only lost a connection, or cuts its answers, still takes connects, and one that has ended
// refuses them. Known is false where the context ended first. It is asked after a failure only.
func (e *ExitDetector) Ended(ctx context.Context, id, address string) (ended, known bool) {
	f := e.find(id, address)
	select {
	case <-f.done:
		return f.ended, true
	case <-ctx.Done():
		return false, false
	}
}

// find returns the finding about a server, and begins one where none holds.
func (e *ExitDetector) find(id, address string) *finding {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	if f := e.findings[id]; f != nil && f.fresh(now) {
		return f
	}
	for other, f := range e.findings {
		if !f.fresh(now) {
			delete(e.findings, other)
		}
	}
	f := &finding{done: make(chan struct{})}
	e.findings[id] = f
	go e.connect(f, address)
	return f
}

func (e *ExitDetector) connect(f *finding, address string) {
	defer close(f.done)
	conn, err := e.dialer.Dial("tcp4", address)
	if err == nil {
		_ = conn.Close()
	}
	f.ended = errors.Is(err, syscall.ECONNREFUSED)
	f.at = e.clock.Now()
}

// fresh tells whether a finding is under way or still holds.
func (f *finding) fresh(now time.Time) bool {
	select {
	case <-f.done:
		return now.Sub(f.at) < endedFresh
	default:
		return true
	}
}
