// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package relay

import (
	"sync"

	"madderway/core/bytequota"
)

// bufferQuota bounds the bytes that are buffered for callers that read slowly, and shares them between
// responses.
type bufferQuota struct {
	mu    sync.Mutex
	quota *bytequota.Quota
}

func newBufferQuota(limit int64) *bufferQuota { return &bufferQuota{quota: bytequota.New(limit)} }

func (q *bufferQuota) reserve(owner string, n int64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quota.Reserve(owner, n)
}

func (q *bufferQuota) release(owner string, n int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.quota.Release(owner, n)
}

func (q *bufferQuota) held() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quota.Held()
}
