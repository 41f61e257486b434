// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package trace remembers, within bounds and in memory, what a router decided
// for each request, so that an operator can have it explained.
package trace

import (
	"container/list"
	"fmt"
	"sync"
	"time"

	"madderway/modules/clock"
)

const maxEvents = 64

// Event is one decision.
type Event struct {
	At     time.Time `json:"at"`
	Router string    `json:"router"`
	Kind   string    `json:"what"`
	Detail string    `json:"detail"`
}

// Record is all that a router remembers of a request.
type Record struct {
	RequestID string  `json:"request_id"`
	Account   string  `json:"account"`
	Events    []Event `json:"events"`
}

// Recorder holds the records of the latest requests.
type Recorder struct {
	router string
	clock  clock.Clock
	size   int

	mu      sync.Mutex
	records map[string]*list.Element
	order   *list.List // of *Record, oldest first
}

// NewRecorder returns a book of a router that holds at most size records.
func NewRecorder(router string, c clock.Clock, size int) *Recorder {
	return &Recorder{router: router, clock: c, size: size, records: map[string]*list.Element{}, order: list.New()}
}

// Record adds a decision to the record of a request.
func (b *Recorder) Record(requestID, account, what, format string, args ...any) {
	ev := Event{b.clock.Now(), b.router, what, fmt.Sprintf(format, args...)}
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
