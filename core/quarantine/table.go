// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"slices"
	"time"
)

const (
	// maxRecords bounds the table, maxOfAccount the records of one account, so that one
	// that sends many such requests does not push out what is known of others. A record
	// takes some 300 bytes.
	maxRecords    = 1024
	maxPerAccount = 64
	// maxNameLen bounds the names in records of other gateways.
	maxNameLen = 200
	// massDeaths targets that end within massSpan, as this gateway sees it, end for a reason
	// that lies outside their requests: a data hall that is lost, or a cut that answers
	// every connect. Only those before them accuse anybody.
	massDeaths = 3
	massWindow = 300 * time.Millisecond
	// trialRetryAfter is when the caller of a request may come back of which another try is
	// under way: most end within a second, whatever their end.
	trialRetryAfter = time.Second
)

// Standing is what is thought of a request.
type Standing uint8

// The standings.
const (
	Unsuspected Standing = iota // no target has ended under it, or it has gone through since
	Suspect                     // one has
	OnTrial                     // two have: it runs once at a time
	Quarantined                 // three have: it is not sent
)

// String returns the name of the standing.
func (s Standing) String() string {
	return [...]string{"unsuspected", "suspect", "on_trial", "quarantined"}[s]
}

// targetDeath is the end of a target as this gateway has seen it.
type targetDeath struct {
	at       time.Time
	isolated bool // accuses tells that the target did not end together with many others.
}

// Table holds what a gateway remembers. It is not safe for concurrent use.
type Table struct {
	records      map[Fingerprint]*Record
	outlines     map[uint64]int // outlines counts the records of each outline.
	accounts     map[string]int // accounts counts the records of each account.
	targetDeaths map[string]targetDeath
	trials       map[Fingerprint]bool
	digest       uint64 // digest is that of the shared records.
	changed      time.Time
}

// New returns an empty table.
func New() *Table {
	return &Table{
		records: map[Fingerprint]*Record{}, outlines: map[uint64]int{}, accounts: map[string]int{},
		targetDeaths: map[string]targetDeath{}, trials: map[Fingerprint]bool{},
	}
}

// Len returns how many requests are remembered.
func (t *Table) Len() int { return len(t.records) }

// Knows tells whether any request of this outline is remembered.
func (t *Table) Knows(outline uint64) bool { return t.outlines[outline] > 0 }

// TargetDied takes that a target has ended under a request that was sent to it then. It returns
// the record where that accuses the request. A request that was sent when the target had
// ended already, or whose target ended together with many others, is not accused.
func (t *Table) TargetDied(now time.Time, id Identity, target string, sent time.Time) (Record, bool) {
	e, seen := t.targetDeaths[target]
	if !seen || now.Sub(e.at) >= minLifetime && sent.After(e.at) {
		e = targetDeath{at: now, isolated: t.recentDeaths(now) < massDeaths-1}
		t.targetDeaths[target] = e
	}
	if !e.isolated || sent.After(e.at) {
		return Record{}, false
	}
	r := t.record(id.Fingerprint(), id.Outline(), id.Account)
	t.update(now, r, func() bool { return r.add(Death{Target: target, At: e.at}) })
	return r.clone(), true
}

// recentDeaths returns how many targets have ended within the last massSpan, and forgets
// those that did long ago.
func (t *Table) recentDeaths(now time.Time) int {
	n := 0
	for target, e := range t.targetDeaths {
		switch age := now.Sub(e.at); {
		case age < massWindow:
			n++
		case age > retention:
			delete(t.targetDeaths, target)
		}
	}
	return n
}

// Succeeded takes that a request has gone through at a target, which clears it of all that
// was known. It returns the record where other gateways are to hear of that.
func (t *Table) Succeeded(now time.Time, f Fingerprint) (Record, bool) {
	r := t.records[f]
	if r == nil {
		return Record{}, false
	}
	if !r.IsShared() {
		t.drop(r)
		return Record{}, false
	}
	news := t.update(now, r, r.forgiveAll)
	return r.clone(), news
}

// Merge takes a record of another gateway. It returns the record as it is known now, and
// whether that has told anything new.
func (t *Table) Merge(now time.Time, other Record) (Record, bool) {
	if !isValid(now, &other) {
		return Record{}, false
	}
	r := t.record(other.Request, other.Outline, other.Account)
	news := t.update(now, r, func() bool {
		news := false
		deaths := slices.SortedFunc(slices.Values(other.Deaths), func(a, b Death) int { return a.At.Compare(b.At) })
		for _, d := range deaths {
			news = r.add(d) || news
		}
		return news
	})
	return r.clone(), news
}

// isValid tells whether a record of another gateway can be taken, and still holds.
func isValid(now time.Time, r *Record) bool {
	if len(r.Deaths) == 0 || len(r.Deaths) > maxDeaths || len(r.Account) > maxNameLen || !now.Before(r.expires()) {
		return false
	}
	return !slices.ContainsFunc(r.Deaths, func(d Death) bool {
		return d.Target == "" || len(d.Target) > maxNameLen || d.At.After(now)
	})
}

// Standing returns the standing of a request and, where it is quarantined, for how long.
func (t *Table) Standing(now time.Time, f Fingerprint) (Standing, time.Duration) {
	r := t.records[f]
	if r == nil || !now.Before(r.expires()) {
		return Unsuspected, 0
	}
	switch n := r.count(); {
	case n >= QuarantineThreshold && now.Before(r.heldUntil()):
		return Quarantined, r.heldUntil().Sub(now)
	case n >= ShareThreshold:
		return OnTrial, 0
	case n > 0:
		return Suspect, 0
	default:
		return Unsuspected, 0
	}
}

// StartTrial tells whether a request on trial may run here now; if so, EndTrial must follow.
// Two runs at a time would cost two targets to learn what one tells.
func (t *Table) StartTrial(f Fingerprint) bool {
	if t.trials[f] {
		return false
	}
	t.trials[f] = true
	return true
}

// EndTrial tells that the run is over.
func (t *Table) EndTrial(f Fingerprint) { delete(t.trials, f) }

// TrialRetryAfter returns when a request may come back of which another try is under way.
func (t *Table) TrialRetryAfter() time.Duration { return trialRetryAfter }

// Shared returns the records that all gateways are to know.
func (t *Table) Shared(now time.Time) []Record {
	var out []Record
	for _, r := range t.records {
		if r.IsShared() && now.Before(r.expires()) {
			out = append(out, r.clone())
		}
	}
	return out
}

// Digest sums up the shared records: tables with the same ones have the same digest.
func (t *Table) Digest() uint64 { return t.digest }

// ChangedAt returns when the shared records changed last.
func (t *Table) ChangedAt() time.Time { return t.changed }

// Standings counts the requests of each standing.
func (t *Table) Standings(now time.Time) map[Standing]int {
	out := map[Standing]int{}
	for f := range t.records {
		s, _ := t.Standing(now, f)
		out[s]++
	}
	return out
}

// Expire forgets what is over and returns it.
func (t *Table) Expire(now time.Time) []Record {
	var over []Record
	for _, r := range t.records {
		if !now.Before(r.expires()) {
			t.drop(r)
			over = append(over, *r)
		}
	}
	return over
}

// record returns the record of a request, a new one where there is none. Where the table
// or the account's part of it is full, the least and oldest one makes room.
func (t *Table) record(f Fingerprint, outline uint64, account string) *Record {
	if r := t.records[f]; r != nil {
		return r
	}
	switch {
	case t.accounts[account] >= maxPerAccount:
		t.evict(func(r *Record) bool { return r.Account == account })
	case len(t.records) >= maxRecords:
		t.evict(func(*Record) bool { return true })
	}
	r := &Record{Request: f, Outline: outline, Account: account}
	t.records[f] = r
	t.outlines[outline]++
	t.accounts[account]++
	return r
}

// evict drops the record with the fewest ends among some, of equal ones the oldest.
func (t *Table) evict(among func(r *Record) bool) {
	var least *Record
	for _, r := range t.records {
		if !among(r) {
			continue
		}
		if least == nil || r.count() < least.count() || r.count() == least.count() && r.lastDeath().Before(least.lastDeath()) {
			least = r
		}
	}
	if least != nil {
		t.drop(least)
	}
}

// update changes a record and keeps the digest right; it reports whether that told anything
// new.
func (t *Table) update(now time.Time, r *Record, change func() bool) bool {
	if r.IsShared() {
		t.digest ^= r.digest()
	}
	news := change()
	if r.IsShared() {
		t.digest ^= r.digest()
		if news {
			t.changed = now
		}
	}
	return news
}

func (t *Table) drop(r *Record) {
	if r.IsShared() {
		t.digest ^= r.digest()
	}
	delete(t.records, r.Request)
	decrement(t.outlines, r.Outline)
	decrement(t.accounts, r.Account)
}

func decrement[K comparable](counts map[K]int, key K) {
	counts[key]--
	if counts[key] == 0 {
		delete(counts, key)
	}
}
