// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package fair counts the service that client accounts receive in one pool and orders the
// accounts that wait. It has no clock and does no input or output.
//
// Service is counted in virtual units: weighted service units divided by the weight of the
// account. Each reporter (a scheduler process) owns one row per account and sends the row's
// cumulative value, so that reports may be lost, duplicated or reordered without harm.
// docs/design/fairness.md derives the fairness bound.
package fair

import (
	"math"
	"time"
)

// Reporter identifies one incarnation of a scheduler.
type Reporter struct {
	ID          string
	Incarnation uint64
}

// Row is the cumulative virtual service that one reporter gave to an account, with the
// corrections that it has applied to the account.
type Row struct {
	Account string
	Service float64 // falls when a settled estimate was too high
	Lift    float64 // raises an account that was idle to the floor; only grows
	Forgive float64 // lowers the debt of an account; only grows
}

// foreignEntry is the service in the latest row of another reporter.
type foreignEntry struct {
	service float64
	seq     uint64
}

type account struct {
	ownService     float64
	foreignService float64 // sum of the rows of other reporters
	rows           map[Reporter]foreignEntry
	lift           float64
	forgive        float64
	changedAt      uint64 // value of Ledger.changeSeq at the last local change

	// roundBase is ownService at the start of round.
	roundBase float64
	round     uint64

	// An account that starts to wait below the floor is pending for a while. Until the counters
	// of the other reporters have caught up, pendingTag orders it; only then is the lift fixed.
	// A lift from stale counters would be too high permanently.
	pending      bool
	pendingFloor float64 // floor at which it became pending
	pendingAt    time.Time
	pendingTag   float64
}

func (a *account) virtual() float64 { return a.ownService + a.foreignService + a.lift - a.forgive }

// Ledger sums the virtual service of the accounts of one pool.
type Ledger struct {
	accounts  map[string]*account
	pending   map[string]*account
	floor     float64
	maxDebt   float64
	changeSeq uint64
	latestSeq map[Reporter]uint64 // of the reports of each reporter
	round     uint64
	// reference is the level that keys are relative to.
	reference float64
}

// NewLedger returns an empty ledger. maxDebt is how far an account may stand above the floor
// after a partition heals, in virtual units; it must be larger than the fairness bound.
func NewLedger(maxDebt float64) *Ledger {
	return &Ledger{accounts: map[string]*account{}, pending: map[string]*account{}, latestSeq: map[Reporter]uint64{}, maxDebt: maxDebt}
}

// SetMaxDebt replaces the debt limit, in virtual units.
func (l *Ledger) SetMaxDebt(d float64) { l.maxDebt = d }

func (l *Ledger) get(name string) *account {
	a, ok := l.accounts[name]
	if !ok {
		a = &account{}
		l.accounts[name] = a
	}
	return a
}

// Charge adds delta to this process's own row; delta is negative if an estimate was too high.
func (l *Ledger) Charge(name string, delta float64) {
	if delta == 0 {
		return
	}
	a := l.get(name)
	if a.round != l.round {
		a.roundBase, a.round = a.ownService, l.round
	}
	a.ownService += delta
	if a.pending {
		a.pendingTag += delta
	}
	l.markChanged(a)
}

func (l *Ledger) markChanged(a *account) {
	l.changeSeq++
	a.changedAt = l.changeSeq
}

// RecordReport records the sequence number of another reporter's report; its rows follow by Merge.
func (l *Ledger) RecordReport(from Reporter, seq uint64) {
	l.latestSeq[from] = max(l.latestSeq[from], seq)
}

// Merge takes one row of another reporter. seq orders the reports of one reporter; the service
// of an older report is ignored. It reports whether the account's virtual service changed.
func (l *Ledger) Merge(from Reporter, seq uint64, row Row) bool {
	a := l.get(row.Account)
	before := a.virtual()
	if a.rows == nil {
		a.rows = map[Reporter]foreignEntry{}
	}
	old, known := a.rows[from]
	if !known || seq > old.seq {
		a.foreignService += row.Service - old.service
		a.rows[from] = foreignEntry{row.Service, seq}
	}
	a.lift = math.Max(a.lift, row.Lift)
	a.forgive = math.Max(a.forgive, row.Forgive)
	return a.virtual() != before
}

// VirtualService returns the virtual service of an account.
func (l *Ledger) VirtualService(name string) float64 {
	a, ok := l.accounts[name]
	if !ok {
		return 0
	}
	return a.virtual()
}

// Floor returns the virtual time: a lower bound of the virtual service of all accounts that
// wait anywhere in the fleet.
func (l *Ledger) Floor() float64 { return l.floor }

// RaiseFloor raises the floor; a lower value is ignored.
func (l *Ledger) RaiseFloor(f float64) { l.floor = math.Max(l.floor, f) }

// Level returns an account's virtual service, or its pending tag if that is higher.
func (l *Ledger) Level(name string) float64 {
	a, ok := l.accounts[name]
	if !ok {
		return 0
	}
	return a.level()
}

func (a *account) level() float64 {
	if a.pending {
		return math.Max(a.virtual(), a.pendingTag)
	}
	return a.virtual()
}

// NextRound starts a new round. The own service of a round is what this scheduler has given
// since its last report.
func (l *Ledger) NextRound() { l.round++ }

// SetReference sets the reference of keys to the mean level of these accounts.
func (l *Ledger) SetReference(waiting []string) {
	if len(waiting) == 0 {
		return
	}
	sum := 0.0
	for _, name := range waiting {
		sum += l.Level(name)
	}
	l.reference = sum / float64(len(waiting))
}

// Key returns the key that orders a waiting account here, and the gain in it.
//
// Each scheduler sees the others' counters with a delay. If each made up for the whole of an
// account's arrears, all of them together would overshoot before they hear of each other. So
// each makes up for its part: with the gain 1/n, where n schedulers serve the account, the key is
//
//	gain × (level − reference) + (1 − gain) × own service in this round.
//
// The reference is the mean level of the accounts waiting here, so that accounts with different
// gains meet at the same level. An account that only this scheduler serves has the gain 1.
func (l *Ledger) Key(name string) (key, gain float64) {
	a, ok := l.accounts[name]
	if !ok {
		return -l.reference, 1
	}
	gain = 1 / float64(l.servingSchedulers(a))
	return gain*(a.level()-l.reference) + (1-gain)*l.roundService(a), gain
}

func (l *Ledger) roundService(a *account) float64 {
	if a.round != l.round {
		return 0
	}
	return a.ownService - a.roundBase
}

// servingSchedulers counts the schedulers that serve the account by the latest report of each,
// this one included.
func (l *Ledger) servingSchedulers(a *account) int {
	n := 1
	for from, row := range a.rows {
		if row.seq == l.latestSeq[from] {
			n++
		}
	}
	return n
}

// BeginWaiting prepares an account that starts to wait. Below the floor it becomes pending, so
// that idle time earns no credit; debt above the limit is forgiven. An account that waits
// continuously stands above the floor and loses nothing.
func (l *Ledger) BeginWaiting(now time.Time, name string) {
	a := l.get(name)
	v := a.virtual()
	if v < l.floor {
		if !a.pending {
			a.pending, a.pendingFloor, a.pendingAt = true, l.floor, now
			l.pending[name] = a
		}
		a.pendingTag = math.Max(a.pendingTag, l.floor)
		return
	}
	if excess := v - l.floor - l.maxDebt; l.maxDebt > 0 && excess > 0 {
		a.forgive += excess
		l.markChanged(a)
	}
}

// Settle fixes the lifts of the accounts that have been pending for at least age, which must
// exceed the delay of other reporters' reports. Service received meanwhile makes the lift
// smaller, but estimates charged for running requests do not: running returns them for this
// scheduler, and the other schedulers of the account are assumed to have as much.
func (l *Ledger) Settle(now time.Time, age time.Duration, running func(account string) float64) {
	for name, a := range l.pending {
		if now.Sub(a.pendingAt) < age {
			continue
		}
		delete(l.pending, name)
		a.pending, a.pendingTag = false, 0
		if v := a.virtual() - running(name)*float64(l.servingSchedulers(a)); v < a.pendingFloor {
			a.lift += a.pendingFloor - v
			l.markChanged(a)
		}
	}
}

// Changed returns the own rows changed after the given change number, and the number to pass
// next time. Zero returns every row.
func (l *Ledger) Changed(after uint64) ([]Row, uint64) {
	var rows []Row
	for name, a := range l.accounts {
		if a.changedAt > after {
			rows = append(rows, Row{name, a.ownService, a.lift, a.forgive})
		}
	}
	return rows, l.changeSeq
}

// ForeignRow is a row of another reporter as this ledger knows it.
type ForeignRow struct {
	From Reporter
	Seq  uint64
	Row  Row
}

// Foreign returns the rows of all other reporters, dead ones included, for a scheduler that
// starts without state.
func (l *Ledger) Foreign() []ForeignRow {
	var rows []ForeignRow
	for name, a := range l.accounts {
		for from, row := range a.rows {
			rows = append(rows, ForeignRow{from, row.seq, Row{name, row.service, a.lift, a.forgive}})
		}
	}
	return rows
}

// Accounts returns the number of accounts in the ledger.
func (l *Ledger) Accounts() int { return len(l.accounts) }
