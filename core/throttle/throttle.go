// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package throttle refuses at the entry gateway what a scheduler would refuse
// anyway. An account that floods is asked for no more than some multiple of
// what it is given; the rest is refused at once, which costs neither messages
// nor memory. The share refused follows the known rule of adaptive throttling:
// (asked - factor x accepted) / (asked + slack).
package throttle

import (
	"math"
	"time"
)

const (
	// acceptFactor is how much more than what is accepted is asked for, so that an
	// account gets more as soon as there is more.
	acceptFactor = 2
	// slack lets accounts that ask for little through.
	slack = 40
	// halfLife is the time in which what was counted fades to a halfLife.
	halfLife = time.Second
	// minRequests is the count below which an account is forgotten.
	minRequests = 0.01
)

type account struct {
	requests, accepts float64
	updated           time.Time
}

func (a *account) decay(now time.Time) {
	if since := now.Sub(a.updated); since > 0 {
		f := math.Exp2(-float64(since) / float64(halfLife))
		a.requests *= f
		a.accepts *= f
		a.updated = now
	}
}

// Throttle counts what each account of one gateway asks for and is given. It is
// not safe for concurrent use.
type Throttle struct {
	accounts  map[string]*account
	lastSweep time.Time
}

// New returns a throttle that has counted nothing.
func New() *Throttle { return &Throttle{accounts: map[string]*account{}} }

func (t *Throttle) account(now time.Time, name string) *account {
	a := t.accounts[name]
	if a == nil {
		a = &account{updated: now}
		t.accounts[name] = a
	}
	a.decay(now)
	return a
}

// Admit counts a request and tells whether a scheduler is to be asked; draw is
// a random number between 0 and 1.
func (t *Throttle) Admit(now time.Time, name string, draw float64) bool {
	t.sweep(now)
	a := t.account(now, name)
	refuse := (a.requests - acceptFactor*a.accepts) / (a.requests + slack)
	a.requests++
	return draw >= refuse
}

// Accepted counts a request that was placed.
func (t *Throttle) Accepted(now time.Time, name string) { t.account(now, name).accepts++ }

// Disregard takes a counted request back that is refused for a reason of its own: it is no
// demand that the account's other requests should pay for.
func (t *Throttle) Disregard(now time.Time, name string) {
	a := t.account(now, name)
	a.requests = max(a.requests-1, 0)
}

// sweep forgets accounts that have asked for nothing for long.
func (t *Throttle) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < 10*halfLife {
		return
	}
	t.lastSweep = now
	for name, a := range t.accounts {
		a.decay(now)
		if a.requests < minRequests {
			delete(t.accounts, name)
		}
	}
}
