// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package ring provides bounded queues between goroutines that count the values they
// hold and drop.
package ring

import "sync/atomic"

// Ring is a bounded FIFO queue, safe for concurrent use.
type Ring[T any] struct {
	name    string
	ch      chan T
	dropped atomic.Uint64
}

// New returns a ring with a capacity of size values; name identifies it in dumps.
func New[T any](name string, size int) *Ring[T] {
	return &Ring[T]{name: name, ch: make(chan T, size)}
}

// TryPut adds v without blocking. If the ring is full, it counts v as dropped and
// reports false.
func (r *Ring[T]) TryPut(v T) bool {
	select {
	case r.ch <- v:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Put adds v and blocks while the ring is full, until done is closed. It reports
// whether v was added.
func (r *Ring[T]) Put(done <-chan struct{}, v T) bool {
	select {
	case r.ch <- v:
		return true
	default:
	}
	select {
	case r.ch <- v:
		return true
	case <-done:
		return false
	}
}

// Out returns the receiving end.
func (r *Ring[T]) Out() <-chan T { return r.ch }

// State is a snapshot of a ring for state dumps.
type State struct {
	Name    string `json:"name"`
	Length  int    `json:"length"`
	Size    int    `json:"size"`
	Dropped uint64 `json:"dropped_total"`
}

// State returns a snapshot of the ring.
func (r *Ring[T]) State() State {
	return State{r.name, len(r.ch), cap(r.ch), r.dropped.Load()}
}
