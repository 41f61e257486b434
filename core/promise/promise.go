// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package promise remembers refused requests and schedules the times at which they may return.
// Without it, callers that were refused together return together, into a queue that is full
// again, and count as new.
package promise

import (
	"container/list"
	"time"

	"madderway/modules/saturate"
)

const (
	// MaxPromises bounds the table; the oldest promise gives way.
	MaxPromises = 8192
	// MinDelay is the shortest time until a return; decisions and queues change in about that time.
	MinDelay = 100 * time.Millisecond
	// patienceShare is the part of their remaining time for which callers wait for a return.
	patienceShare = 1.0 / 3
	// defaultPatience and defaultLife apply if the caller's deadline is unknown.
	defaultPatience = 4 * time.Second
	defaultLife     = 12 * time.Second
	// pastDeadline is added to the deadline if no room comes before it.
	pastDeadline = 50 * time.Millisecond
	// minWork is booked for prompts that are cached: their responses need the engines too.
	minWork = 64
	// earlySlack is the deviation of a caller's timer and of a time that was handed over.
	earlySlack = 20 * time.Millisecond
)

// Key identifies a request in all its attempts: the last part of its prompt, or 0 if unknown.
type Key uint64

// Promise is a time at which a refused request was told to return.
type Promise struct {
	Key      Key
	Account  string
	First    time.Time // first attempt
	At       time.Time
	Deadline time.Time // the promise ends with it
	Room     Room
}

// Room classifies the capacity expected at a promised time.
type Room uint8

// What is expected at a promised time.
const (
	NoRoom     Room = iota // nothing before the deadline, which the time lies past
	UnsureRoom             // room comes too late to wait for; another attempt may be lucky
	SureRoom
)

// Due reports whether the time for the return has come.
func (p *Promise) Due(now time.Time) bool { return !now.Before(p.At.Add(-earlySlack)) }

// Refusal describes a request that is refused.
type Refusal struct {
	Key       Key
	Account   string
	First     time.Time     // first attempt, now for a new request
	Work      float64       // prompt tokens that an engine would have to prefill
	Remaining time.Duration // time to the caller's deadline, 0 if unknown
	// NotBefore is the time at which the account's share has made up for its lead over others.
	NotBefore time.Time
	// Unsure is the earliest return if there is room, but later than the caller would wait.
	Unsure time.Time
}

// Counts are totals since the start of a table.
type Counts struct {
	Promised  uint64 // refusals with a time at which room was expected
	Unsure    uint64 // refusals with a time at which there may be room
	NoRoom    uint64 // refusals with a time past the deadline
	Returned  uint64
	Early     uint64 // returns before their time
	Kept      uint64 // placed after a return in time
	Broken    uint64 // refused again after a return in time
	Displaced uint64 // dropped for newer ones as the table was full
}

// id names a request: accounts may send the same prompt.
type id struct {
	account string
	key     Key
}

// Table holds the promises of a cell. It is not safe for concurrent use.
type Table struct {
	promises map[id]*list.Element // values of order
	order    *list.List           // *Promise, the oldest first
	accounts map[string]int       // promises of each account
	schedule schedule
	counts   Counts
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{promises: map[id]*list.Element{}, order: list.New(), accounts: map[string]int{}}
}

// Counts returns the totals since the start.
func (t *Table) Counts() Counts { return t.counts }

// Len returns the number of promises.
func (t *Table) Len() int { return t.order.Len() }

// Find returns the promise to a request, or nil.
func (t *Table) Find(now time.Time, account string, key Key) *Promise {
	e := t.promises[id{account, key}]
	if e == nil {
		return nil
	}
	p := e.Value.(*Promise)
	if !now.Before(p.Deadline) {
		t.drop(e)
		return nil
	}
	return p
}

// Refuse decides when a refused request may return, and remembers it. A promise whose time has
// not come stays as it is: an early return changes nothing. It reports whether the promise is new.
func (t *Table) Refuse(now time.Time, r Refusal, c Capacity) (p Promise, isNew bool) {
	if old := t.Find(now, r.Account, r.Key); old != nil {
		if old.Room == SureRoom && !old.Due(now) {
			return *old, false
		}
		t.drop(t.promises[id{r.Account, r.Key}])
	}
	p = t.promise(now, r, c)
	switch p.Room {
	case SureRoom:
		t.counts.Promised++
	case UnsureRoom:
		t.counts.Unsure++
	case NoRoom:
		t.counts.NoRoom++
	}
	t.Add(p)
	return p, true
}

// promise finds the earliest room within the caller's patience. Nothing is booked for a later
// time, as the caller would come earlier.
func (t *Table) promise(now time.Time, r Refusal, c Capacity) Promise {
	p := Promise{Key: r.Key, Account: r.Account, First: r.First, Deadline: now.Add(r.Remaining)}
	patience := saturate.Duration(patienceShare * float64(r.Remaining))
	latest := p.Deadline
	if r.Remaining <= 0 {
		p.Deadline, patience, latest = r.First.Add(defaultLife), defaultPatience, now.Add(defaultPatience)
	}
	from := now.Add(MinDelay)
	if r.NotBefore.After(from) {
		from = r.NotBefore
	}
	accounts := len(t.accounts)
	if t.accounts[r.Account] == 0 {
		accounts++
	}
	at, found := t.schedule.reserve(from, now.Add(patience), max(r.Work, minWork), lane{account: r.Account, accounts: accounts, capacity: c})
	switch {
	case found:
		p.At, p.Room = at, SureRoom
	case c.Left(from, latest)-t.schedule.booked(from) >= r.Work:
		p.At, p.Room = spread(r.Key, r.Unsure, r.Unsure.Add(now.Add(patience).Sub(r.Unsure)/2)), UnsureRoom
	default:
		p.At, p.Room = latest.Add(pastDeadline), NoRoom
	}
	return p
}

// Add remembers a promise, of this or an earlier scheduler. The oldest one gives way if the
// table is full.
func (t *Table) Add(p Promise) {
	name := id{p.Account, p.Key}
	if p.Key == 0 || t.promises[name] != nil {
		return
	}
	if t.order.Len() >= MaxPromises {
		t.drop(t.order.Front())
		t.counts.Displaced++
	}
	t.promises[name] = t.order.PushBack(&p)
	t.accounts[p.Account]++
}

// Returned counts the return of a request.
func (t *Table) Returned(early bool) {
	t.counts.Returned++
	if early {
		t.counts.Early++
	}
}

// Broke counts a request that is refused again after its return in time.
func (t *Table) Broke() { t.counts.Broken++ }

// Served drops the promise to a request that was placed; kept tells that it returned in time.
func (t *Table) Served(account string, key Key, kept bool) {
	if kept {
		t.counts.Kept++
	}
	if e := t.promises[id{account, key}]; e != nil {
		t.drop(e)
	}
}

// Expire drops the promises whose deadline has passed.
func (t *Table) Expire(now time.Time) {
	for e := t.order.Front(); e != nil; {
		next := e.Next()
		if !now.Before(e.Value.(*Promise).Deadline) {
			t.drop(e)
		}
		e = next
	}
}

// Outstanding returns the newest promises of times with room, at most limit.
func (t *Table) Outstanding(limit int) []Promise {
	var out []Promise
	for e := t.order.Back(); e != nil && len(out) < limit; e = e.Prev() {
		if p := e.Value.(*Promise); p.Room == SureRoom {
			out = append(out, *p)
		}
	}
	return out
}

// Restored returns a promise that another scheduler made. What it was told leaves the deadline out.
func Restored(key Key, account string, first, at time.Time) Promise {
	return Promise{Key: key, Account: account, First: first, At: at, Deadline: first.Add(defaultLife), Room: SureRoom}
}

func (t *Table) drop(e *list.Element) {
	p := t.order.Remove(e).(*Promise)
	delete(t.promises, id{p.Account, p.Key})
	t.accounts[p.Account]--
	if t.accounts[p.Account] == 0 {
		delete(t.accounts, p.Account)
	}
}

// spread returns a time for a request between two times, so that those that are refused together
// do not return together.
func spread(key Key, from, until time.Time) time.Time {
	const bits = 16
	part := uint64(key) * 0x9E3779B97F4A7C15 >> (64 - bits)
	return from.Add(max(until.Sub(from), 0) * time.Duration(part) >> bits)
}
