// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package claim runs the claims of calls that must not be repeated against the
// platform's table: one goroutine for each claim, one that commits the writes
// of many of them in a group.
package claim

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	core "madderway/core/claim"
	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/modules/ring"
	"madderway/services/platform"
)

// KeyPrefix stands before the keys of all claim rows.
const KeyPrefix = "claim/"

const waitPollInterval = 20 * time.Millisecond

// Options are the parts of a Service.
type Options struct {
	Clock   clock.Clock
	Table   platform.Table
	Timeout time.Duration
	// IsDead tells whether an incarnation of a router is known to be dead.
	IsDead func(router string, incarnation uint64) bool
}

// Service runs claims.
type Service struct {
	t      *tomb.Tomb
	log    log.Logger
	opts   Options
	writes *ring.Ring[write]

	sweepAfter string // sweepAfter is the key that the last sweep ended at.

	open         atomic.Int64  // open counts the claims that are not closed.
	committed    atomic.Uint64 // committed counts rows written.
	transactions atomic.Uint64 // batches counts transactions.
}

// New starts the service; it ends with the tomb.
func New(t *tomb.Tomb, logger log.Logger, o Options) *Service {
	s := &Service{t: t, log: logger, opts: o, writes: ring.New[write]("claims", 1024)}
	for range committers {
		t.Go(s.commit)
	}
	return s
}

// Outcome is what Acquire gave: the right to send, or what to tell the caller.
type Outcome struct {
	Grant   *Grant // Held is set where the call may be sent.
	Verdict core.Verdict
	Row     core.Row
}

// Grant is the right to send a call. Exactly one of Record and Release must be
// called.
type Grant struct {
	events chan core.Event
}

// Record writes the outcome of the call until it is confirmed.
func (h *Grant) Record(row core.Row) { h.events <- core.Ended{Row: row} }

// Release gives the claim up; only for a call that provably did not run.
func (h *Grant) Release() { h.events <- core.NotRun{} }

// Key returns the table's key of an account's idempotency key. The parts are
// hashed, so that no key can name another account's row.
func Key(account, idempotencyKey string) string {
	return KeyPrefix + digest(account) + "/" + digest(idempotencyKey)
}

// Acquire claims the right to send. It returns at the context's end at the
// latest; what is left to write goes on until it is confirmed.
func (s *Service) Acquire(ctx context.Context, key string, row core.Row) Outcome {
	answer := make(chan Outcome, 1)
	r := &runner{
		s: s, key: key, machine: core.New(row), answer: answer,
		external: make(chan core.Event, 1), internal: make(chan core.Event, 4),
	}
	s.open.Add(1)
	s.t.Go(func() error {
		defer s.open.Add(-1)
		r.run(ctx)
		return nil
	})
	return <-answer
}

// Wait waits until no claim has anything left to write, or the context ends;
// it reports whether that is so.
func (s *Service) Wait(ctx context.Context) bool {
	for s.open.Load() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-s.opts.Clock.After(waitPollInterval):
		}
	}
	return true
}

// runner steps one machine.
type runner struct {
	s        *Service
	key      string
	machine  *core.Claim
	answer   chan Outcome
	answered bool
	external chan core.Event
	internal chan core.Event
}

func (r *runner) run(ctx context.Context) {
	// A claim outlives its caller; only the router's end stops it.
	if r.perform(r.machine.Step(core.Begin{})) {
		return
	}
	deadline := ctx.Done()
	for {
		var ev core.Event
		select {
		case <-r.s.t.Dying():
			r.reply(Outcome{Verdict: core.VerdictUnavailable})
			return
		case <-deadline:
			deadline = nil
			ev = core.Deadline{}
		case ev = <-r.external:
		case ev = <-r.internal:
		}
		if r.perform(r.machine.Step(ev)) {
			return
		}
	}
}

// perform carries actions out; it reports whether the claim is closed.
func (r *runner) perform(actions []core.Action) (closed bool) {
	for _, a := range actions {
		switch a := a.(type) {
		case core.Write:
			r.s.enqueue(write{r.key, a, r.internal})
		case core.ReadRow:
			go r.read()
		case core.Wait:
			go r.wait(a.For, r.holderDead())
		case core.Send:
			r.reply(Outcome{Grant: &Grant{r.external}})
		case core.Reply:
			r.reply(Outcome{Verdict: a.Verdict, Row: a.Row})
		case core.Finish:
			closed = true
		}
	}
	return closed
}

func (r *runner) reply(o Outcome) {
	if r.answered {
		return
	}
	r.answered = true
	r.answer <- o
}

func (r *runner) send(ev core.Event) {
	select {
	case r.internal <- ev:
	case <-r.s.t.Dying():
	}
}

// holderDead tells whether the router is dead that holds another attempt.
func (r *runner) holderDead() bool {
	router, incarnation, waiting := r.machine.Holder()
	return waiting && r.s.opts.IsDead(router, incarnation)
}

func (r *runner) wait(d time.Duration, gone bool) {
	if gone {
		r.send(core.HolderDead{})
		return
	}
	select {
	case <-r.s.opts.Clock.After(d):
		r.send(core.Waited{})
	case <-r.s.t.Dying():
	}
}

func (r *runner) read() {
	ctx, cancel := context.WithTimeout(r.s.t.Context(context.Background()), r.s.opts.Timeout)
	defer cancel()
	row, err := r.s.opts.Table.Get(ctx, r.key)
	if err != nil {
		r.send(core.Read{})
		return
	}
	current, err := decode(row)
	r.send(core.Read{OK: err == nil, Current: current})
}

func decode(row platform.Row) (core.Versioned, error) {
	v := core.Versioned{Version: row.Version}
	if row.Version == 0 {
		return v, nil
	}
	return v, json.Unmarshal(row.Value, &v.Row)
}
