// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package fair counts the service that client accounts receive in one pool
// and orders the accounts that wait. It has no clock and no input or output.
//
// Service is counted in virtual units: weighted service units divided by the
// weight of the account. Each reporter (a scheduler process) owns one row per
// account and sends the row's cumulative value, so that reports may be lost,
// doubled or reordered without harm. docs/design/fairness.md has the bound.
package fair

import (
	"math"
	"time"
)

// Reporter names one incarnation of a scheduler.
type Reporter struct {
	ID          string
	Incarnation uint64
}

// Row is the cumulative virtual service of one account as one reporter gave
// it, with the reporter's registers for the account.
type Row struct {
	Account string
	Service float64 // Service may fall when an estimate is settled.
	Lift    float64 // Lift only grows.
	Forgive float64 // Forgive only grows.
}

// cell is a row of another reporter.
type cell struct {
	service float64
	seq     uint64
}

type account struct {
	own     float64
	others  float64 // others is the sum of the rows of other reporters.
	rows    map[Reporter]cell
	lift    float64
	forgive float64
	dirty   uint64 // dirty is the ledger's change counter at the last local change.

	// base is the own service at the start of the round that it belongs to.
	base  float64
	round uint64

	// An account that starts to wait below the floor is pending for a while:
	// tag orders it here, and the lift is fixed only once the counters of the
	// other reporters have caught up. A lift from stale counters would be too
	// high, for good, each time.
	pending   bool
	admitted  float64 // admitted is the floor at which it became pending.
	pendingAt time.Time
	tag       float64
}

func (a *account) virtual() float64 { return a.own + a.others + a.lift - a.forgive }

// Ledger sums the service of the accounts of one pool.
type Ledger struct {
	accounts  map[string]*account
	pending   map[string]*account
	floor     float64
	maxDebt   float64
	changeSeq uint64
	latestSeq map[Reporter]uint64 // reports holds the latest sequence number of each reporter.
	round     uint64
	// reference is the level that keys are relative to.
	reference float64
}

// NewLedger returns an empty ledger. maxDebt is how far an account may stand
// above the floor after partitions rejoin, in virtual units; it must be larger
// than the fairness bound.
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

// Charge adds delta to this process's own row; delta is negative when an
// estimate turns out too high.
func (l *Ledger) Charge(name string, delta float64) {
	if delta == 0 {
		return
	}
	a := l.get(name)
	if a.round != l.round {
		a.base, a.round = a.own, l.round
	}
	a.own += delta
	if a.pending {
		a.tag += delta
	}
	l.touch(a)
}

func (l *Ledger) touch(a *account) {
	l.changeSeq++
	a.dirty = l.changeSeq
}

// Heard tells that a report of another reporter came; its rows follow by Merge.
func (l *Ledger) Heard(from Reporter, seq uint64) {
	l.latestSeq[from] = max(l.latestSeq[from], seq)
}

// Merge takes one row of another reporter. seq orders the reports of one
// reporter; an older one changes nothing. It reports whether the account's
// virtual service changed.
func (l *Ledger) Merge(from Reporter, seq uint64, row Row) bool {
	a := l.get(row.Account)
	before := a.virtual()
	if a.rows == nil {
		a.rows = map[Reporter]cell{}
	}
	old, known := a.rows[from]
	if !known || seq > old.seq {
		a.others += row.Service - old.service
		a.rows[from] = cell{row.Service, seq}
	}
	a.lift = math.Max(a.lift, row.Lift)
	a.forgive = math.Max(a.forgive, row.Forgive)
	return a.virtual() != before
}

// Virtual returns the virtual service of an account.
func (l *Ledger) Virtual(name string) float64 {
	a, ok := l.accounts[name]
	if !ok {
		return 0
	}
	return a.virtual()
}

// Floor returns the virtual time: a lower bound of the virtual service of all
// accounts that wait anywhere in the fleet.
func (l *Ledger) Floor() float64 { return l.floor }

// RaiseFloor moves the floor up; a lower value changes nothing.
func (l *Ledger) RaiseFloor(f float64) { l.floor = math.Max(l.floor, f) }

// Level returns an account's virtual service, or its tag while that is higher.
func (l *Ledger) Level(name string) float64 {
	a, ok := l.accounts[name]
	if !ok {
		return 0
	}
	return a.level()
}

func (a *account) level() float64 {
	if a.pending {
		return math.Max(a.virtual(), a.tag)
	}
	return a.virtual()
}

// NextRound starts a new round: what this scheduler gives from now on is told
// apart from what the last report said.
func (l *Ledger) NextRound() { l.round++ }

// Refer sets the reference of keys to the mean level of these accounts.
func (l *Ledger) Refer(waiting []string) {
	if len(waiting) == 0 {
		return
	}
	sum := 0.0
	for _, name := range waiting {
		sum += l.Level(name)
	}
	l.reference = sum / float64(len(waiting))
}

// Key returns what orders an account that waits here, and the gain in it.
//
// Each scheduler sees the others' counters as they were some time ago. If each
// made good the whole of an account's arrears, all of them together would make
// it good many times over before they hear of each other. So each makes good
// its part: with the gain 1/n, where n schedulers serve the account, the key is
//
//	gain × (level − reference) + (1 − gain) × own service in this round.
//
// The reference is the mean level of what waits here, so that accounts with
// different gains meet at the same level. An account that this scheduler alone
// serves has the gain 1.
func (l *Ledger) Key(name string) (key, gain float64) {
	a, ok := l.accounts[name]
	if !ok {
		return -l.reference, 1
	}
	gain = 1 / float64(l.serving(a))
	return gain*(a.level()-l.reference) + (1-gain)*l.sinceRound(a), gain
}

func (l *Ledger) sinceRound(a *account) float64 {
	if a.round != l.round {
		return 0
	}
	return a.own - a.base
}

// serving counts the schedulers that serve the account, this one included, by
// the latest report of each.
func (l *Ledger) serving(a *account) int {
	n := 1
	for from, c := range a.rows {
		if c.seq == l.latestSeq[from] {
			n++
		}
	}
	return n
}

// Admit prepares an account that starts to wait: below the floor it becomes
// pending, so idle time earns no credit; a debt above the limit is forgiven.
// An account that waits without a break stands above the floor, so nothing is
// taken from it.
func (l *Ledger) Admit(now time.Time, name string) {
	a := l.get(name)
	v := a.virtual()
	if v < l.floor {
		if !a.pending {
			a.pending, a.admitted, a.pendingAt = true, l.floor, now
			l.pending[name] = a
		}
		a.tag = math.Max(a.tag, l.floor)
		return
	}
	if excess := v - l.floor - l.maxDebt; l.maxDebt > 0 && excess > 0 {
		a.forgive += excess
		l.touch(a)
	}
}

// Settle fixes the lifts of the accounts that have been pending for at least
// age, which must be longer than reports of others take. Service received
// meanwhile only makes the lift smaller. Estimates charged for requests that
// run do not: running returns them for this scheduler, and the others that
// serve the account are taken to be alike.
func (l *Ledger) Settle(now time.Time, age time.Duration, running func(account string) float64) {
	for name, a := range l.pending {
		if now.Sub(a.pendingAt) < age {
			continue
		}
		delete(l.pending, name)
		a.pending, a.tag = false, 0
		if v := a.virtual() - running(name)*float64(l.serving(a)); v < a.admitted {
			a.lift += a.admitted - v
			l.touch(a)
		}
	}
}

// Changed returns the own rows changed after the given change counter, and the
// counter to pass next time. A counter of zero returns every row.
func (l *Ledger) Changed(after uint64) ([]Row, uint64) {
	var rows []Row
	for name, a := range l.accounts {
		if a.dirty > after {
			rows = append(rows, Row{name, a.own, a.lift, a.forgive})
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

// Foreign returns the rows of all other reporters, the dead ones included, so
// that a scheduler that starts with no memory can be told of them.
func (l *Ledger) Foreign() []ForeignRow {
	var rows []ForeignRow
	for name, a := range l.accounts {
		for from, c := range a.rows {
			rows = append(rows, ForeignRow{from, c.seq, Row{name, c.service, a.lift, a.forgive}})
		}
	}
	return rows
}

// Accounts returns the number of accounts in the ledger.
func (l *Ledger) Accounts() int { return len(l.accounts) }
