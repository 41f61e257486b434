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
	"madderway/modules/saturate"
)

// Guard protects a gateway from overload. It observes how late the process runs its work, and
// decides for each request whether to serve it, hand it over or refuse it.
type Guard struct {
	log   log.Logger
	clock clock.Clock

	opts GuardOptions
	// whether some requests are handed over or refused for lack of processor time
	overloaded atomic.Bool
	lastLate   atomic.Int64 // the last observed lateness, in nanoseconds

	mu       sync.Mutex
	governor *overload.Governor
	link     *overload.Link
	duties   overload.Duties
	lateness latenessStats
}

// latenessStats summarize the lateness of the process since the last log line.
type latenessStats struct {
	samples       int
	sum           time.Duration
	worst         time.Duration
	handOverDelay time.Duration // the longest delay of requests before they were handed over
	entryWait     time.Duration // the longest wait of requests before they were decided on
}

func (l *latenessStats) add(lateness, handOverDelay, entryWait time.Duration) {
	l.samples++
	l.handOverDelay = max(l.handOverDelay, handOverDelay)
	l.entryWait = max(l.entryWait, entryWait)
	l.sum += lateness
	l.worst = max(l.worst, lateness)
}

func (l *latenessStats) mean() time.Duration {
	if l.samples == 0 {
		return 0
	}
	return l.sum / time.Duration(l.samples)
}

// GuardOptions are the inputs of a Guard and its callback.
type GuardOptions struct {
	// Bytes returns the bytes sent and received by the machine since its start. LinkMbps is
	// the capacity of its link in megabits per second, 0 if unknown.
	Bytes    func() (sent, received uint64)
	LinkMbps float64
	// HandOverAvailable reports whether another gateway takes requests; nil if nothing is
	// handed over.
	HandOverAvailable func() bool
	// HandOverDelay returns how long requests wait to be handed over; nil if nothing is.
	HandOverDelay func(now time.Time) time.Duration
	// EntryWait returns for how long requests wait to be decided on; nil if none does.
	EntryWait func(now time.Time) time.Duration
	// Overdue returns how late the next call of ObserveLateness is.
	Overdue func(now time.Time) time.Duration
	// OnDutiesChanged is called when the gateway stops or resumes scheduling for others.
	// linkFull reports whether it stops for its network link.
	OnDutiesChanged func(keepsUp, linkFull bool)
	// Draw returns random numbers from 0 to 1; nil for those of package rand.
	Draw func() float64
}

// NewGuard returns a guard that admits all requests.
func NewGuard(logger log.Logger, c clock.Clock, o GuardOptions) *Guard {
	if o.Draw == nil {
		o.Draw = rand.Float64
	}
	return &Guard{log: logger, clock: c, opts: o, governor: overload.New(), link: overload.NewLink(o.LinkMbps)}
}

// ObserveLateness takes the lateness of the process: how long its work waited before it ran.
func (g *Guard) ObserveLateness(lateness time.Duration) {
	now := g.clock.Now()
	g.lastLate.Store(int64(lateness))
	sent, received := g.opts.Bytes()
	handOverAvailable := g.opts.HandOverAvailable != nil && g.opts.HandOverAvailable()
	// Requests that wait to be decided on or to be handed over are a sign of overload too.
	var queued, entering time.Duration
	if g.opts.HandOverDelay != nil {
		queued = g.opts.HandOverDelay(now)
	}
	if g.opts.EntryWait != nil {
		entering = g.opts.EntryWait(now)
	}
	g.mu.Lock()
	g.lateness.add(lateness, queued, entering)
	g.governor.SetHandOverAvailable(handOverAvailable)
	use := g.link.Observe(now, sent, received)
	changed := g.governor.Observe(now, max(lateness, queued, entering))
	share, own, refused := g.governor.AcceptedShare(), g.governor.ServedShare(), g.governor.Refused()
	g.overloaded.Store(own < 1 || g.governor.Bursting(now))
	keepsUp, changedDuties := g.duties.Observe(now, own, use)
	g.mu.Unlock()
	if changedDuties {
		g.log.Info("Scheduling for other gateways changed.", "keeps_up", keepsUp, "late", lateness, "link", percent(use), "share", share, "own", own)
		g.opts.OnDutiesChanged(keepsUp, overload.Full(use))
	}
	switch {
	case !changed:
	case own < 1:
		g.log.Warn("Overloaded, some requests are handed over or refused.", "late", lateness, "link", percent(use), "share", share, "own", own, "hand_over_available", handOverAvailable)
	default:
		g.log.Info("No longer overloaded.", "refused_total", refused)
	}
}

// Lateness returns for how long work waits now before it runs.
func (g *Guard) Lateness() time.Duration {
	return max(time.Duration(g.lastLate.Load()), g.opts.Overdue(g.clock.Now()))
}

// minOverdue is the least delay of the next lateness report that counts as lateness before the
// report: a process that stands still reports nothing.
const minOverdue = 100 * time.Millisecond

// admit decides on a request of an account; movable reports whether it can be handed over.
func (g *Guard) admit(account string, movable bool) overload.Verdict {
	now := g.clock.Now()
	if overdue := g.opts.Overdue(now); overdue >= minOverdue {
		g.ObserveLateness(overdue)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	verdict := g.governor.Admit(now, account, g.opts.Draw(), movable)
	if g.governor.Bursting(now) {
		g.overloaded.Store(true) // until the next report of lateness
	}
	return verdict
}

// Retry times of requests refused for overload, spread by half to either side. From
// shortRetryShare of admitted requests on, a retry is likely to succeed: it comes after
// baseRetryAfter divided by the share, often still within the objective. Below, most retries
// would be refused again, and a refusal takes a quarter of the processor time of a stream, so that
// all retries together would take more than they bring: retries come after the time in which the
// gateway admits as many requests as it refused in longRetryUnit, before callers give up.
const (
	shortRetryShare = 0.2
	baseRetryAfter  = 50 * time.Millisecond
	longRetryUnit   = time.Second
	maxRetryAfter   = 10 * time.Second
)

func (g *Guard) retryAfter() time.Duration {
	g.mu.Lock()
	share := g.governor.AcceptedShare()
	g.mu.Unlock()
	after := min(saturate.Duration(float64(longRetryUnit)*(1-share)/share), maxRetryAfter)
	if share >= shortRetryShare {
		after = saturate.Duration(float64(baseRetryAfter) / share)
	}
	return saturate.Duration((0.5 + g.opts.Draw()) * float64(after))
}

// resetStats returns the state of the guard as log values, and starts a new second.
func (g *Guard) resetStats() []any {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.lateness
	g.lateness = latenessStats{}
	serve, handOver, refuse, arriving := g.governor.Costs()
	return []any{"arriving", math.Round(arriving), "serve_takes", serve.Round(time.Microsecond), "hand_over_takes", handOver.Round(time.Microsecond), "refuse_takes", refuse.Round(time.Microsecond), "share", percent(g.governor.AcceptedShare()), "own", percent(g.governor.ServedShare()), "late_mean", l.mean().Round(time.Millisecond), "late_worst", l.worst.Round(time.Millisecond), "hand_over_queued", l.handOverDelay.Round(time.Millisecond), "entry_wait", l.entryWait.Round(time.Millisecond)}
}

// percent rounds a share to two decimals for log lines.
func percent(share float64) float64 { return math.Round(100*share) / 100 }

// Overloaded reports whether requests are handed over or refused for lack of processor time.
func (g *Guard) Overloaded() bool { return g.overloaded.Load() }

func (g *Guard) writeMetrics(w io.Writer) {
	g.mu.Lock()
	share, own, refused := g.governor.AcceptedShare(), g.governor.ServedShare(), g.governor.Refused()
	g.mu.Unlock()
	sent, received := g.opts.Bytes()
	fmt.Fprintf(w, "madderway_gateway_bytes_total{direction=\"sent\"} %d\nmadderway_gateway_bytes_total{direction=\"received\"} %d\n", sent, received)
	fmt.Fprintf(w, "madderway_gateway_admitted_share %v\nmadderway_gateway_own_share %v\nmadderway_gateway_overload_refused_total %d\n", share, own, refused)
}
