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
	// factor is how much more than what is accepted is asked for, so that an
	// account gets more as soon as there is more.
	factor = 2
	// slack lets accounts that ask for little through.
	slack = 40
	// half is the time in which what was counted fades to a half.
	half = time.Second
	// forget is the count below which an account is forgotten.
	forget = 0.01
)

type account struct {
	asked, accepted float64
	at              time.Time
}

func (a *account) fade(now time.Time) {
	if since := now.Sub(a.at); since > 0 {
		f := math.Exp2(-float64(since) / float64(half))
		a.asked *= f
		a.accepted *= f
		a.at = now
	}
}

// Throttle counts what each account of one gateway asks for and is given. It is
// not safe for concurrent use.
type Throttle struct {
	accounts map[string]*account
	swept    time.Time
}

// New returns a throttle that has counted nothing.
func New() *Throttle { return &Throttle{accounts: map[string]*account{}} }

func (t *Throttle) account(now time.Time, name string) *account {
	a := t.accounts[name]
	if a == nil {
		a = &account{at: now}
		t.accounts[name] = a
	}
	a.fade(now)
	return a
}

// Admit counts a request and tells whether a scheduler is to be asked; draw is
// a random number between 0 and 1.
func (t *Throttle) Admit(now time.Time, name string, draw float64) bool {
	t.sweep(now)
	a := t.account(now, name)
	refuse := (a.asked - factor*a.accepted) / (a.asked + slack)
	a.asked++
	return draw >= refuse
}

// Accepted counts a request that was placed.
func (t *Throttle) Accepted(now time.Time, name string) { t.account(now, name).accepted++ }

// Disregard takes a counted request back that is refused for a reason of its own: it is no
// demand that the account's other requests should pay for.
func (t *Throttle) Disregard(now time.Time, name string) {
	a := t.account(now, name)
	a.asked = max(a.asked-1, 0)
}

// sweep forgets accounts that have asked for nothing for long.
func (t *Throttle) sweep(now time.Time) {
	if now.Sub(t.swept) < 10*half {
		return
	}
	t.swept = now
	for name, a := range t.accounts {
		a.fade(now)
		if a.asked < forget {
			delete(t.accounts, name)
		}
	}
}
