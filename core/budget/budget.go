// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package budget limits retries to a fraction of the first attempts, so that retries do not
// multiply the load in an outage.
package budget

// Budget is a token bucket that first attempts fill and retries drain.
type Budget struct {
	tokens float64
	ratio  float64
	max    float64
}

// New returns a budget that allows ratio retries for each first attempt, and burst retries
// at once.
func New(ratio, burst float64) *Budget {
	return &Budget{tokens: burst, ratio: ratio, max: burst}
}

// Attempt records a first attempt.
func (b *Budget) Attempt() { b.tokens = min(b.tokens+b.ratio, b.max) }

// Set holds a budget for each account and each pool; use NewSet.
type Set struct {
	ratio, burst float64
	byName       map[string]*Budget
}

// NewSet returns an empty set whose budgets have this ratio and burst.
func NewSet(ratio, burst float64) *Set {
	return &Set{ratio, burst, map[string]*Budget{}}
}

func (s *Set) get(name string) *Budget {
	b, ok := s.byName[name]
	if !ok {
		b = New(s.ratio, s.burst)
		s.byName[name] = b
	}
	return b
}

// Attempt records a first attempt of an account in a pool.
func (s *Set) Attempt(account, pool string) {
	s.get("account/" + account).Attempt()
	s.get("pool/" + pool).Attempt()
}

// Retry takes a retry from the budgets of both the account and the pool. It takes none and
// returns false if either is empty.
func (s *Set) Retry(account, pool string) bool {
	a, p := s.get("account/"+account), s.get("pool/"+pool)
	if a.tokens < 1 || p.tokens < 1 {
		return false
	}
	a.tokens--
	p.tokens--
	return true
}
