// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package netopt

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"madderway/modules/clock"
)

const (
	// connectTimeout bounds the probe. A closed port refuses within milliseconds; a server that
	// does not respond may be partitioned and counts as alive.
	connectTimeout = 250 * time.Millisecond
	// probeTTL is the time for which other broken responses of the same server reuse the
	// result: the connections of an exited server break within milliseconds of each other.
	probeTTL = 100 * time.Millisecond
	// closingTime is longer than the kernel takes to close all sockets of a killed process, in any
	// order: the listening one may accept a connection after others were closed.
	closingTime = 20 * time.Millisecond
)

// probe is one connection attempt to a server whose response broke off.
type probe struct {
	done   chan struct{} // closed once the fields below are set
	exited bool
	doneAt time.Time
}

// ExitDetector checks whether a server process has exited after one of its responses broke off.
// Responses that break off together share one probe.
type ExitDetector struct {
	dialer *net.Dialer
	clock  clock.Clock

	mu     sync.Mutex
	probes map[string]*probe
}

// NewExitDetector returns a detector without results.
func NewExitDetector() *ExitDetector {
	return &ExitDetector{dialer: Dialer(connectTimeout), clock: clock.System{}, probes: map[string]*probe{}}
}

// Exited reports whether the server process with this ID has exited: its port refuses
// connections then, while a server that only lost a connection still accepts them. known is
// false if the context ended first. Call it only after a failed response.
func (e *ExitDetector) Exited(ctx context.Context, id, address string) (exited, known bool) {
	return e.probeFor(id, address).wait(ctx)
}

// ExitedNow is Exited for a response that may have been complete. Earlier probes do not tell: the server
// may have exited or been started again since.
func (e *ExitDetector) ExitedNow(ctx context.Context, address string) (exited, known bool) {
	p := &probe{done: make(chan struct{})}
	go e.connect(p, address, true)
	return p.wait(ctx)
}

func (p *probe) wait(ctx context.Context) (exited, known bool) {
	select {
	case <-p.done:
		return p.exited, true
	case <-ctx.Done():
		return false, false
	}
}

// probeFor returns the current probe of a server, or starts one.
func (e *ExitDetector) probeFor(id, address string) *probe {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	if p := e.probes[id]; p != nil && p.fresh(now) {
		return p
	}
	for other, p := range e.probes {
		if !p.fresh(now) {
			delete(e.probes, other)
		}
	}
	p := &probe{done: make(chan struct{})}
	e.probes[id] = p
	go e.connect(p, address, false)
	return p
}

func (e *ExitDetector) connect(p *probe, address string, justEnded bool) {
	defer close(p.done)
	var closedEarly bool
	p.exited, closedEarly = e.dial(address, justEnded)
	if closedEarly {
		p.exited, _ = e.dial(address, false)
	}
	p.doneAt = e.clock.Now()
}

// dial connects to a server and reports whether its port refused that. With watch set it also reports
// whether the server closed the connection within closingTime.
func (e *ExitDetector) dial(address string, watch bool) (refused, closedEarly bool) {
	conn, err := e.dialer.Dial("tcp4", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED), watch && errors.Is(err, syscall.ECONNRESET)
	}
	defer conn.Close()
	if !watch || conn.SetReadDeadline(time.Now().Add(closingTime)) != nil {
		return false, false
	}
	_, err = conn.Read(make([]byte, 1))
	return false, errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

// fresh reports whether the probe is running or its result is still usable.
func (p *probe) fresh(now time.Time) bool {
	select {
	case <-p.done:
		return now.Sub(p.doneAt) < probeTTL
	default:
		return true
	}
}
