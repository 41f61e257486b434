// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package claim ensures that a call that must not be repeated is sent by at most one router. It
// drives the state machine of core/claim against the platform's table.
//
// Each claim has a goroutine; a few others commit the claims' writes in groups.
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

// KeyPrefix is the prefix of the keys of all claim rows.
const KeyPrefix = "claim/"

const waitPollInterval = 20 * time.Millisecond

// Options are the dependencies and settings of a Service.
type Options struct {
	Clock   clock.Clock
	Table   platform.Table
	Timeout time.Duration // for each call of the table
	// Retention is the time for which a claim is kept after it has expired without an outcome.
	Retention time.Duration
	// IsDead reports whether an incarnation of a router is known to be dead.
	IsDead func(router string, incarnation uint64) bool
}

// Service runs claims.
type Service struct {
	t      *tomb.Tomb
	log    log.Logger
	opts   Options
	writes *ring.Ring[write]

	sweepAfter string // key at which the last sweep ended

	open         atomic.Int64  // claims that are not finished
	committed    atomic.Uint64 // rows written
	transactions atomic.Uint64
}

// New starts the service, which runs until the tomb dies.
func New(t *tomb.Tomb, logger log.Logger, o Options) *Service {
	s := &Service{t: t, log: logger, opts: o, writes: ring.New[write]("claims", 1024)}
	for range committers {
		t.Go(s.commit)
	}
	return s
}

// Outcome is the result of Acquire: the grant to send, or the reason for not sending.
type Outcome struct {
	Grant   *Grant // nil if the call must not be sent
	Verdict core.Verdict
	Row     core.Row
}

// Grant permits sending a call. The holder must call either Record or Release, exactly once.
type Grant struct {
	events chan core.Event
}

// Record stores the outcome of the call, with retries until the write is confirmed.
func (g *Grant) Record(row core.Row) { g.events <- core.Ended{Row: row} }

// Release gives up the claim. The call must provably not have run.
func (g *Grant) Release() { g.events <- core.NotRun{} }

// Key returns the table key of an account's idempotency key. Both parts are hashed, so that no
// key can collide with another account's row.
func Key(account, idempotencyKey string) string {
	return KeyPrefix + digest(account) + "/" + digest(idempotencyKey)
}

// Acquire claims the right to send a call. It returns when the context ends at the latest;
// pending writes continue until they are confirmed.
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

// Wait waits until all claims are finished. It returns false if the context ends first.
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

// runner executes the actions of one claim's state machine and feeds it events.
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
	// A claim outlives its caller and ends only with the router.
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

// perform executes actions. It returns true once the claim is finished.
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

// holderDead reports whether the router whose attempt holds the row is dead.
func (r *runner) holderDead() bool {
	router, incarnation, waiting := r.machine.Holder()
	return waiting && r.s.opts.IsDead(router, incarnation)
}

func (r *runner) wait(d time.Duration, dead bool) {
	if dead {
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
