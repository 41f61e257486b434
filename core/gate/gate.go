// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package gate bounds how many requests an overloaded gateway decides on at a time.
//
// Without a bound each step of a request (read, decide, hand over) waits for a step of all others, and by
// its last step a request is too late: a livelock. With few inside, requests that have begun are
// finished first, and the others wait in order of arrival. While they wait for too long, new connections
// are to be turned away unread, the cheapest refusal. A Gate is a pure state machine; it is not safe
// for concurrent use.
package gate

import "time"

const (
	// maxInside limits the requests inside. Several are needed to use the processor, since some wait
	// for the network.
	maxInside = 32
	// The gate is full if a request has waited for longer than maxWait: little would be left of the
	// usual objectives.
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
