// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package bytequota bounds the bytes that a process holds for requests, and shares them between
// client accounts.
//
// An account may hold four times as much as is free. One account alone gets four fifths of the limit,
// two get four ninths each, and so on, so that some is always left for one that holds nothing yet.
package bytequota

// freeFactor is how many times the free bytes an account may hold.
const freeFactor = 4

// Quota is a bound on held bytes. It is not safe for concurrent use.
type Quota struct {
	limit, held int64
	accounts    map[string]int64 // bytes held, no zeros
}

// New returns a quota of so many bytes.
func New(limit int64) *Quota { return &Quota{limit: limit, accounts: map[string]int64{}} }

// Held returns the bytes held for all accounts.
func (q *Quota) Held() int64 { return q.held }

// Reserve takes n bytes for an account, or none and returns false.
func (q *Quota) Reserve(account string, n int64) bool {
	held := q.accounts[account]
	if n < 0 || held+n > freeFactor*(q.limit-q.held-n) {
		return false
	}
	q.set(account, held+n)
	q.held += n
	return true
}

// Release gives n bytes of an account back.
func (q *Quota) Release(account string, n int64) {
	n = min(n, q.accounts[account])
	q.set(account, q.accounts[account]-n)
	q.held -= n
}

func (q *Quota) set(account string, n int64) {
	if n == 0 {
		delete(q.accounts, account)
		return
	}
	q.accounts[account] = n
}
