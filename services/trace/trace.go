// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package trace keeps the decisions about the latest requests of a router in memory, for
// operators. It also finds the lines about a request in logs.
package trace

import (
	"container/list"
	"fmt"
	"sync"
	"time"

	"madderway/modules/clock"
)

const maxEvents = 64

// Event is a decision about a request.
type Event struct {
	At     time.Time `json:"at"`
	Router string    `json:"router"`
	Kind   string    `json:"what"`
	Detail string    `json:"detail"`
}

// Record holds the decisions about a request.
type Record struct {
	RequestID string  `json:"request_id"`
	Account   string  `json:"account"`
	Events    []Event `json:"events"`
}

// Recorder holds the records of the latest requests. It is safe for concurrent use.
type Recorder struct {
	router string
	clock  clock.Clock
	size   int

	mu      sync.Mutex
	records map[string]*list.Element
	order   *list.List // of *Record, oldest first
}

// NewRecorder returns a recorder of a router for at most size records.
func NewRecorder(router string, c clock.Clock, size int) *Recorder {
	return &Recorder{router: router, clock: c, size: size, records: map[string]*list.Element{}, order: list.New()}
}

// Add adds a decision to the record of a request. The oldest record is evicted if there are
// too many.
func (b *Recorder) Add(requestID, account, kind, format string, args ...any) {
	ev := Event{b.clock.Now(), b.router, kind, fmt.Sprintf(format, args...)}
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.records[requestID]
	if !ok {
		b.evict()
		at = b.order.PushBack(&Record{RequestID: requestID, Account: account})
		b.records[requestID] = at
	}
	r := at.Value.(*Record)
	if len(r.Events) < maxEvents {
		r.Events = append(r.Events, ev)
	}
}

func (b *Recorder) evict() {
	for b.order.Len() >= b.size {
		oldest := b.order.Front()
		delete(b.records, oldest.Value.(*Record).RequestID)
		b.order.Remove(oldest)
	}
}

// Find returns a copy of the record of a request.
func (b *Recorder) Find(requestID string) (Record, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.records[requestID]
	if !ok {
		return Record{}, false
	}
	r := *at.Value.(*Record)
	r.Events = append([]Event(nil), r.Events...)
	return r, true
}

// Len returns the number of records.
func (b *Recorder) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.order.Len()
}
