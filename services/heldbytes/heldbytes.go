// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package heldbytes bounds what a process holds of answers that it has not passed on yet.
package heldbytes

import (
	"io"
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

// The buffer of an answer starts with firstBuffer bytes and grows by bufferGrowth as it comes.
const (
	firstBuffer  = 4 << 10
	bufferGrowth = 4
)

// Holder counts what is held for one owner, such as of one answer. It is not safe for concurrent use. The
// zero value has no bound.
type Holder struct {
	quota *Quota
	owner string
	bytes int64
}

// Holder returns a holder of which nothing is held yet.
func (q *Quota) Holder(owner string) Holder { return Holder{quota: q, owner: owner} }

// Reserve takes n bytes, or none and returns false. Call it before the buffer is made.
func (h *Holder) Reserve(n int64) bool {
	if h.quota == nil {
		return true
	}
	if !h.quota.Reserve(h.owner, n) {
		return false
	}
	h.bytes += n
	return true
}

// GiveBack releases n of the bytes.
func (h *Holder) GiveBack(n int64) {
	if h.quota == nil || n == 0 {
		return
	}
	h.quota.Release(h.owner, n)
	h.bytes -= n
}

// Release gives all bytes back.
func (h *Holder) Release() { h.GiveBack(h.bytes) }

// Read reads to the end, or until limit bytes have come or no more may be held. more reports that the end
// has not come.
func (h *Holder) Read(r io.Reader, limit int) (body []byte, more bool, err error) {
	for {
		if len(body) == cap(body) {
			if len(body) >= limit {
				return body, true, nil
			}
			size := min(max(firstBuffer, bufferGrowth*cap(body)), limit)
			if !h.Reserve(int64(size)) {
				return body, true, nil
			}
			grown := append(make([]byte, 0, size), body...)
			h.GiveBack(int64(cap(body)))
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, false, nil
		}
		if err != nil {
			return body, false, err
		}
	}
}
