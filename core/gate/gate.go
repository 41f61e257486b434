// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package gate bounds how many requests an overloaded gateway decides on at a time.
//
// A process with a fraction of a core takes one step of one request after the other. If all
// requests that have arrived take part, each step waits for a step of all others, and by the time of
// its last step a request is too late: work is done and nothing is finished. With few inside, those
// that have begun are finished first, and the others wait in order of arrival. If they wait for too
// long, new connections are to be turned away, which costs the least of all refusals. A Gate is a pure
// state machine; it is not safe for concurrent use.
package gate

import "time"

const (
	// maxInside is the number of requests inside. Some of them wait for the network, so that one
	// alone does not use the processor.
	maxInside = 32
	// maxWait is the wait from which the gate is full: what has waited longer would hardly be served
	// within the usual objectives.
	maxWait = 250 * time.Millisecond
)

// Gate lets requests enter in order of arrival.
type Gate[T any] struct {
	inside  int
	waiting []waiter[T]
}

type waiter[T any] struct {
	request T
	since   time.Time
}

// Enter reports whether a request is inside now. Otherwise it waits until Leave returns it.
func (g *Gate[T]) Enter(now time.Time, request T) bool {
	if g.inside < maxInside {
		g.inside++
		return true
	}
	g.waiting = append(g.waiting, waiter[T]{request, now})
	return false
}

// Leave ends the stay of a request. If another one waits, it is inside now, and is returned.
func (g *Gate[T]) Leave() (next T, ok bool) {
	if len(g.waiting) == 0 {
		g.inside--
		return next, false
	}
	next = g.waiting[0].request
	g.waiting[0] = waiter[T]{}
	g.waiting = g.waiting[1:]
	return next, true
}

// Waiting returns how many requests wait.
func (g *Gate[T]) Waiting() int { return len(g.waiting) }

// Wait returns for how long the first of those that wait has waited, or 0.
func (g *Gate[T]) Wait(now time.Time) time.Duration {
	if len(g.waiting) == 0 {
		return 0
	}
	return now.Sub(g.waiting[0].since)
}

// Full reports whether requests wait for too long to let more come.
func (g *Gate[T]) Full(now time.Time) bool { return g.Wait(now) > maxWait }
