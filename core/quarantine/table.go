// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"slices"
	"time"
)

const (
	// maxRecords bounds the memory of the table, and maxPerAccount the records of one
	// account, so that an account with many poison requests does not evict those of others.
	maxRecords    = 1024
	maxPerAccount = 64
	// maxNameLen bounds the names in received records, in bytes.
	maxNameLen = 200
	// If massDeaths or more targets die within massWindow, the cause is not a request but,
	// say, the loss of a data hall or a network partition. Only the first massDeaths-1 of
	// these deaths count, and the others under a request that was at those as well.
	massDeaths = 3
	massWindow = 300 * time.Millisecond
	// trialRetryAfter is the delay after which a caller may retry a request whose trial is
	// in progress.
	trialRetryAfter = time.Second
)

// Standing is the degree of suspicion against a request.
type Standing uint8

const (
	Unsuspected Standing = iota // no deaths since it last succeeded
	Suspect                     // one death
	OnTrial                     // two deaths: each gateway sends it once at a time
	Quarantined                 // three deaths: it is refused
)

// String returns the name of the standing.
func (s Standing) String() string {
	return [...]string{"unsuspected", "suspect", "on_trial", "quarantined"}[s]
}

// targetDeath is the death of a target as seen by this gateway.
type targetDeath struct {
	at       time.Time
	isolated bool // false if many targets died at the same time
}

// Table holds the records known to one gateway. It is not safe for concurrent use.
type Table struct {
	records      map[Fingerprint]*Record
	outlines     map[uint64]int         // number of records by outline
	accounts     map[string]int         // number of records by account
	targetDeaths map[string]targetDeath // by target ID
	trials       map[Fingerprint]bool   // in progress at this gateway
	digest       uint64                 // XOR over the shared records
	changed      time.Time              // last change of a shared record
}

// New returns an empty table.
func New() *Table {
	return &Table{
		records: map[Fingerprint]*Record{}, outlines: map[uint64]int{}, accounts: map[string]int{},
		targetDeaths: map[string]targetDeath{}, trials: map[Fingerprint]bool{},
	}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Knows reports whether there is a record with the outline.
func (t *Table) Knows(outline uint64) bool { return t.outlines[outline] > 0 }

// TargetDied records that a target died while it served a request sent at the given time. It
// returns the record if the death counts against the request. It does not count if the target
// had died before, or died together with many others, unless the request was at those that died first.
func (t *Table) TargetDied(now time.Time, id Identity, target string, sent time.Time) (Record, bool) {
	d, seen := t.targetDeaths[target]
	if !seen || now.Sub(d.at) >= minLifetime && sent.After(d.at) {
		d = targetDeath{at: now, isolated: t.recentDeaths(now) < massDeaths-1}
		t.targetDeaths[target] = d
	}
	if sent.After(d.at) || !d.isolated && !t.isCommon(id.Fingerprint(), d.at) {
		return Record{}, false
	}
	r := t.record(id.Fingerprint(), id.Outline(), id.Account)
	t.update(now, r, func() bool { return r.add(Death{Target: target, At: d.at}) })
	return r.clone(), true
}

// isCommon reports whether a request was at the first of the targets that died together. Then the
// request is their common cause: the loss of a data hall seldom takes several targets with copies of
// one request.
func (t *Table) isCommon(f Fingerprint, at time.Time) bool {
	r := t.records[f]
	if r == nil {
		return false
	}
	n := 0
	for _, d := range r.Deaths {
		if !d.Forgiven && at.Sub(d.At).Abs() < massWindow {
			n++
		}
	}
	return n >= massDeaths-1
}

// recentDeaths returns the number of targets that died within massWindow, and deletes the
// entries older than retention.
func (t *Table) recentDeaths(now time.Time) int {
	n := 0
	for target, d := range t.targetDeaths {
		switch age := now.Sub(d.at); {
		case age < massWindow:
			n++
		case age > retention:
			delete(t.targetDeaths, target)
		}
	}
	return n
}

// Succeeded records that a request has succeeded at a target, which clears it. It returns the
// record, and true if other gateways must be told.
func (t *Table) Succeeded(now time.Time, f Fingerprint) (Record, bool) {
	r := t.records[f]
	if r == nil {
		return Record{}, false
	}
	if !r.IsShared() {
		t.drop(r)
		return Record{}, false
	}
	updated := t.update(now, r, r.forgiveAll)
	return r.clone(), updated
}

// Merge merges the record of another gateway. It returns the merged record and whether the
// other one added information.
func (t *Table) Merge(now time.Time, other Record) (Record, bool) {
	if !isValid(now, &other) {
		return Record{}, false
	}
	r := t.record(other.Request, other.Outline, other.Account)
	updated := t.update(now, r, func() bool {
		updated := false
		deaths := slices.SortedFunc(slices.Values(other.Deaths), func(a, b Death) int { return a.At.Compare(b.At) })
		for _, d := range deaths {
			updated = r.add(d) || updated
		}
		return updated
	})
	return r.clone(), updated
}

// isValid reports whether a received record is well-formed and not expired.
func isValid(now time.Time, r *Record) bool {
	if len(r.Deaths) == 0 || len(r.Deaths) > maxDeaths || len(r.Account) > maxNameLen || !now.Before(r.expires()) {
		return false
	}
	return !slices.ContainsFunc(r.Deaths, func(d Death) bool {
		return d.Target == "" || len(d.Target) > maxNameLen || d.At.After(now)
	})
}

// Standing returns the standing of a request and, if it is quarantined, the remaining time.
func (t *Table) Standing(now time.Time, f Fingerprint) (Standing, time.Duration) {
	r := t.records[f]
	if r == nil || !now.Before(r.expires()) {
		return Unsuspected, 0
	}
	switch n := r.unforgiven(); {
	case n >= QuarantineThreshold && now.Before(r.refusedUntil()):
		return Quarantined, r.refusedUntil().Sub(now)
	case n >= ShareThreshold:
		return OnTrial, 0
	case n > 0:
		return Suspect, 0
	default:
		return Unsuspected, 0
	}
}

// StartTrial reports whether a request on trial may be sent now; if so, the caller must call
// EndTrial. Trials in parallel would cost several targets for the same information.
func (t *Table) StartTrial(f Fingerprint) bool {
	if t.trials[f] {
		return false
	}
	t.trials[f] = true
	return true
}

// EndTrial ends a trial begun by StartTrial.
func (t *Table) EndTrial(f Fingerprint) { delete(t.trials, f) }

// TrialRetryAfter returns the delay after which a caller may retry a request whose trial is in
// progress.
func (t *Table) TrialRetryAfter() time.Duration { return trialRetryAfter }

// Shared returns the records that all gateways are to have.
func (t *Table) Shared(now time.Time) []Record {
	var out []Record
	for _, r := range t.records {
		if r.IsShared() && now.Before(r.expires()) {
			out = append(out, r.clone())
		}
	}
	return out
}

// Digest returns a hash of the shared records, equal for tables with the same ones.
func (t *Table) Digest() uint64 { return t.digest }

// ChangedAt returns the time of the last change of the shared records.
func (t *Table) ChangedAt() time.Time { return t.changed }

// Standings returns the number of requests by standing.
func (t *Table) Standings(now time.Time) map[Standing]int {
	out := map[Standing]int{}
	for f := range t.records {
		s, _ := t.Standing(now, f)
		out[s]++
	}
	return out
}

// Expire deletes expired records and returns them.
func (t *Table) Expire(now time.Time) []Record {
	var expired []Record
	for _, r := range t.records {
		if !now.Before(r.expires()) {
			t.drop(r)
			expired = append(expired, *r)
		}
	}
	return expired
}

// record returns the record of a request and creates it if needed. If the table or the
// account's share of it is full, it evicts a record.
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

// evict deletes the matching record with the fewest deaths, the oldest of several.
func (t *Table) evict(match func(r *Record) bool) {
	var victim *Record
	for _, r := range t.records {
		if !match(r) {
			continue
		}
		if victim == nil || r.unforgiven() < victim.unforgiven() || r.unforgiven() == victim.unforgiven() && r.lastDeath().Before(victim.lastDeath()) {
			victim = r
		}
	}
	if victim != nil {
		t.drop(victim)
	}
}

// update applies a change to a record and adjusts the digest. change and update report whether
// information was added.
func (t *Table) update(now time.Time, r *Record, change func() bool) bool {
	if r.IsShared() {
		t.digest ^= r.digest()
	}
	updated := change()
	if r.IsShared() {
		t.digest ^= r.digest()
		if updated {
			t.changed = now
		}
	}
	return updated
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
