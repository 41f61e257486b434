// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"madderway/core/overload"
	"madderway/modules/clock"
	"madderway/modules/log"
)

// Guard keeps a gateway from taking more than it can serve in time. It is told
// how late the process comes to its work, and asked for each request that would
// stay for long.
type Guard struct {
	log   log.Logger
	clock clock.Clock

	opts GuardOptions
	// overloaded tells that some requests are handed over or refused for want of processor time.
	overloaded atomic.Bool

	mu       sync.Mutex
	governor *overload.Governor
	link     *overload.Link
	duties   overload.Duties
	lateness latenessStats
}

// latenessStats is how late the process came to its work since the last line.
type latenessStats struct {
	samples       int
	sum           time.Duration
	worst         time.Duration
	handOverDelay time.Duration // queued is the longest that requests waited to be handed over.
}

func (l *latenessStats) add(lateness, queued time.Duration) {
	l.samples++
	l.handOverDelay = max(l.handOverDelay, queued)
	l.sum += lateness
	l.worst = max(l.worst, lateness)
}

func (l *latenessStats) mean() time.Duration {
	if l.samples == 0 {
		return 0
	}
	return l.sum / time.Duration(l.samples)
}

// GuardOptions are what a Guard sees of the gateway, and tells it.
type GuardOptions struct {
	// Bytes tells what has crossed the machine's link so far, LinkMbps how many
	// megabits it carries in a second, 0 where that is not known.
	Bytes    func() (sent, received uint64)
	LinkMbps float64
	// HandOverAvailable tells whether there is another gateway to hand requests over to; nil where
	// nothing is handed over.
	HandOverAvailable func() bool
	// HandOverDelay tells for how long requests wait that are to be handed over; nil where nothing is.
	HandOverDelay func(now time.Time) time.Duration
	// Overdue tells how late the next report of lateness already is.
	Overdue func(now time.Time) time.Duration
	// OnDutiesChanged is called when the gateway can no longer schedule for others, with
	// whether that is for its link, and when it can again.
	OnDutiesChanged func(keepsUp, linkFull bool)
}

// NewGuard returns a guard that admits everything.
func NewGuard(logger log.Logger, c clock.Clock, o GuardOptions) *Guard {
	return &Guard{log: logger, clock: c, opts: o, governor: overload.New(), link: overload.NewLink(o.LinkMbps)}
}

// ObserveLateness takes how late the process has come to its work.
func (g *Guard) ObserveLateness(lateness time.Duration) {
	now := g.clock.Now()
	sent, received := g.opts.Bytes()
	relief := g.opts.HandOverAvailable != nil && g.opts.HandOverAvailable()
	// What was admitted and waits for another gateway is as much a sign of too much work as
	// what waits for this process: callers left while their requests stood there.
	queued := time.Duration(0)
	if g.opts.HandOverDelay != nil {
		queued = g.opts.HandOverDelay(now)
	}
	g.mu.Lock()
	g.lateness.add(lateness, queued)
	g.governor.SetHandOverAvailable(relief)
	use := g.link.Observe(now, sent, received)
	changed := g.governor.Observe(now, max(lateness, queued))
	share, own, refused := g.governor.AcceptedShare(), g.governor.ServedShare(), g.governor.Refused()
	g.overloaded.Store(own < 1)
	keepsUp, moved := g.duties.Observe(now, own, use)
	g.mu.Unlock()
	if moved {
		g.log.Info("Scheduling for others changed.", "keeps_up", keepsUp, "late", lateness, "link", percent(use), "share", share, "own", own)
		g.opts.OnDutiesChanged(keepsUp, overload.Full(use))
	}
	switch {
	case !changed:
	case own < 1:
		g.log.Warn("Overloaded, handing over or refusing some requests.", "late", lateness, "link", percent(use), "share", share, "own", own, "relief", relief)
	default:
		g.log.Info("No longer overloaded.", "refused since the start", refused)
	}
}

// minOverdue is how late a report of lateness must be to count before it has come: a
// process that is late by seconds reports nothing in that time.
const minOverdue = 100 * time.Millisecond

// admit tells what becomes of a request of an account; movable tells whether it can be
// handed over.
func (g *Guard) admit(account string, movable bool) overload.Verdict {
	now := g.clock.Now()
	if overdue := g.opts.Overdue(now); overdue >= minOverdue {
		g.ObserveLateness(overdue)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.governor.Admit(now, account, rand.Float64(), movable)
}

// When a request that was refused for want of processor time may come back, spread by a
// half to either side. The balancer brings it to this gateway again. Where shortRetryShare or
// more is admitted it comes after baseRetryAfter over the share, and may still be served within
// its objective. Where less is, most would be refused again, and a refusal takes a quarter
// of the processor time of a stream: all returns together would take more than they bring.
// They come after the time in which as much is admitted as was refused in longRetryUnit, four
// seconds and more, maxRetryAfter at most: as long as the most patient callers wait.
const (
	shortRetryShare = 0.2
	baseRetryAfter  = 50 * time.Millisecond
	longRetryUnit   = time.Second
	maxRetryAfter   = 10 * time.Second
)

// retryAfter returns when a request that was refused may come back.
func (g *Guard) retryAfter() time.Duration {
	g.mu.Lock()
	share := g.governor.AcceptedShare()
	g.mu.Unlock()
	after := min(time.Duration(float64(longRetryUnit)*(1-share)/share), maxRetryAfter)
	if share >= shortRetryShare {
		after = time.Duration(float64(baseRetryAfter) / share)
	}
	return time.Duration((0.5 + rand.Float64()) * float64(after))
}

// resetStats returns the share that is admitted now, what that was concluded from, and how late
// the process has come to its work since the last call, for the line of a second.
func (g *Guard) resetStats() []any {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.lateness
	g.lateness = latenessStats{}
	serve, handOver, refuse, arriving := g.governor.Costs()
	return []any{"arriving", math.Round(arriving), "serve_takes", serve.Round(time.Microsecond), "hand_over_takes", handOver.Round(time.Microsecond), "refuse_takes", refuse.Round(time.Microsecond), "share", percent(g.governor.AcceptedShare()), "own", percent(g.governor.ServedShare()), "late_mean", l.mean().Round(time.Millisecond), "late_worst", l.worst.Round(time.Millisecond), "hand_over_queued", l.handOverDelay.Round(time.Millisecond)}
}

// percent rounds a share to hundredths, for log lines.
func percent(share float64) float64 { return math.Round(100*share) / 100 }

// Overloaded tells whether the gateway is short of processor time.
func (g *Guard) Overloaded() bool { return g.overloaded.Load() }

func (g *Guard) writeMetrics(w io.Writer) {
	g.mu.Lock()
	share, own, refused := g.governor.AcceptedShare(), g.governor.ServedShare(), g.governor.Refused()
	g.mu.Unlock()
	sent, received := g.opts.Bytes()
	fmt.Fprintf(w, "madderway_gateway_bytes_total{direction=\"sent\"} %d\nmadderway_gateway_bytes_total{direction=\"received\"} %d\n", sent, received)
	fmt.Fprintf(w, "madderway_gateway_admitted_share %v\nmadderway_gateway_own_share %v\nmadderway_gateway_overload_refused_total %d\n", share, own, refused)
}
