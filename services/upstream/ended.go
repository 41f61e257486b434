// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package upstream

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"madderway/models/routing"
)

const (
	// endedTime is how long a target may take to answer a connect. A port where nobody
	// listens refuses at once, within a few milliseconds in the same region; a target that
	// gives no answer may be cut off, and counts as alive.
	endedTime = 250 * time.Millisecond
	// endedFresh is how long a finding holds for other answers of the same target that
	// break off: all its connections break within some milliseconds.
	endedFresh = 100 * time.Millisecond
)

// finding is what a connect to a target whose answer broke off has shown.
type finding struct {
	done  chan struct{} // done is closed when the rest is set.
	ended bool
	at    time.Time
}

// endings finds out whether targets have ended, once for all answers of a target that
// break off together.
type endings struct {
	mu       sync.Mutex
	findings map[string]*finding
}

// HasEnded tells whether a target whose answer broke off has ended: a target that has only
// lost a connection, or cuts its answers, still takes connects, and one that has ended
// refuses them. Known is false where the context ended first. It is asked after a failure
// only.
func (c *Client) HasEnded(ctx context.Context, t *routing.Target) (ended, known bool) {
	e := &c.endings
	e.mu.Lock()
	f := e.findings[t.ID]
	if f != nil && !f.fresh(c.pool.clock.Now()) {
		f = nil
	}
	if f == nil {
		f = &finding{done: make(chan struct{})}
		e.forget(c.pool.clock.Now())
		e.findings[t.ID] = f
		go f.find(c.pool, t.Address)
	}
	e.mu.Unlock()
	select {
	case <-f.done:
		return f.ended, true
	case <-ctx.Done():
		return false, false
	}
}

func (f *finding) find(p *Pool, address string) {
	defer close(f.done)
	ctx, cancel := context.WithTimeout(context.Background(), endedTime)
	defer cancel()
	conn, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err == nil {
		_ = conn.Close()
	}
	f.ended = errors.Is(err, syscall.ECONNREFUSED)
	f.at = p.clock.Now()
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

// forget drops the findings that hold no longer.
func (e *endings) forget(now time.Time) {
	for id, f := range e.findings {
		if !f.fresh(now) {
			delete(e.findings, id)
		}
	}
}
