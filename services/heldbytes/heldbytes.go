// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package heldbytes bounds what a process holds of answers that it has not passed on yet.
package heldbytes

import (
	"sync"

	"madderway/core/bytequota"
)

// Quota is a bound on held bytes that is shared between owners: one that holds nothing yet always finds
// some room. It is safe for concurrent use.
type Quota struct {
	mu    sync.Mutex
	quota *bytequota.Quota
}

// New returns a quota of so many bytes.
func New(limit int64) *Quota { return &Quota{quota: bytequota.New(limit)} }

// Reserve takes n bytes for an owner, or none and returns false. Call it before the buffer is made.
func (q *Quota) Reserve(owner string, n int64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quota.Reserve(owner, n)
}

// Release gives n bytes of an owner back.
func (q *Quota) Release(owner string, n int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.quota.Release(owner, n)
}

// Held returns the bytes held by all owners.
func (q *Quota) Held() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quota.Held()
}
