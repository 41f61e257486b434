// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package throttle refuses requests at the entry gateway that a scheduler would refuse
// anyway, which saves messages and memory. It uses client-side adaptive throttling: an
// account's requests are refused with the probability
//
//	(requests - acceptFactor × accepts) / (requests + slack)
package throttle

import (
	"math"
	"time"
)

const (
	// acceptFactor is how many requests are let through for each accepted one, so that an
	// account gets more as soon as capacity is free.
	acceptFactor = 2
	// slack lets accounts with few requests through.
	slack    = 40
	halfLife = time.Second
	// minRequests is the decayed count below which an account is removed.
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

// Throttle counts the requests of each account at one gateway, and those that were accepted.
// It is not safe for concurrent use.
type Throttle struct {
	accounts  map[string]*account
	lastSweep time.Time
}

// New returns an empty throttle.
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

// Admit counts a request and reports whether to ask a scheduler for it; draw is a random
// number between 0 and 1.
func (t *Throttle) Admit(now time.Time, name string, draw float64) bool {
	t.sweep(now)
	a := t.account(now, name)
	refusal := (a.requests - acceptFactor*a.accepts) / (a.requests + slack)
	a.requests++
	return draw >= refusal
}

// Accepted counts a request that a scheduler placed.
func (t *Throttle) Accepted(now time.Time, name string) { t.account(now, name).accepts++ }

// Disregard takes back a counted request that was refused for another reason, so that it
// does not throttle the account's other requests.
func (t *Throttle) Disregard(now time.Time, name string) {
	a := t.account(now, name)
	a.requests = max(a.requests-1, 0)
}

// sweep removes idle accounts, whose counts have decayed.
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
