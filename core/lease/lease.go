// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package lease decides when a router may give an order to an engine. Engines
// that check orders are fenced by an epoch; for those that don't, an order is
// given only well inside a lease that was waited for. A Lease is a pure state
// machine; it compares no clocks of different machines.
package lease

import "time"

// Row is the lease of one target in the platform's table.
type Row struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	Epoch       uint64 `json:"epoch"`
	Released    bool   `json:"released"`
}

// Config holds the times of a lease.
type Config struct {
	Duration time.Duration // Duration is how long a lease lasts after the write that took it was sent.
	Grace    time.Duration // Grace is waited in addition after a change of holder.
	MaxSend  time.Duration // MaxSend is the longest that an order may take to arrive.
}

// DefaultConfig returns the times in use.
func DefaultConfig() Config {
	return Config{Duration: 10 * time.Second, Grace: 3 * time.Second, MaxSend: 2 * time.Second}
}

// Action is what the owner of a Lease must do next.
type Action interface{ isAction() }

// ReadRow asks for OnRead after a while.
type ReadRow struct{ After time.Duration }

// WriteRow asks for OnWritten.
type WriteRow struct {
	Row       Row
	IfVersion uint64
}

// GiveOrder allows one order under the epoch, to be sent before Until.
type GiveOrder struct {
	Epoch uint64
	Until time.Time
}

// GiveUp ends the lease without an order.
type GiveUp struct{ Reason string }

func (ReadRow) isAction()   {}
func (WriteRow) isAction()  {}
func (GiveOrder) isAction() {}
func (GiveUp) isAction()    {}

// Result is the table's word on a write.
type Result uint8

// The results of a write.
const (
	ResultOK Result = iota + 1
	ResultConflict
	ResultUnknown
	ResultUnavailable
)

const readAgain = 250 * time.Millisecond

// Lease is the way to one order.
type Lease struct {
	cfg         Config
	me          Row
	checksEpoch bool // checks tells that the target refuses lower epochs itself.

	seen      Row
	seenVer   uint64
	seenAt    time.Time // seenAt is when the row was first seen unchanged.
	sentAt    time.Time
	written   Row
	mayBeMine bool
}

// New returns the lease of a router for one order to a target.
func New(cfg Config, holder string, incarnation uint64, checks bool) *Lease {
	return &Lease{cfg: cfg, me: Row{Holder: holder, Incarnation: incarnation}, checksEpoch: checks}
}

// Begin returns the first action.
func (l *Lease) Begin() Action { return ReadRow{} }

// OnRead takes the row; ok is false where it could not be read, version is 0
// where it is absent.
func (l *Lease) OnRead(now time.Time, ok bool, row Row, version uint64) Action {
	if !ok {
		return ReadRow{readAgain}
	}
	if l.mayBeMine && row == l.written {
		// The answer to the write was lost, but it took effect.
		return l.permitOrder(now, row.Epoch)
	}
	if l.seenAt.IsZero() || version != l.seenVer {
		l.seen, l.seenVer, l.seenAt = row, version, now
	}
	if !l.checksEpoch && l.foreign(row, version) {
		if left := l.cfg.Duration + l.cfg.Grace - now.Sub(l.seenAt); left > 0 {
			return ReadRow{min(left, readAgain)}
		}
	}
	return l.write(now, row.Epoch+1, version)
}

// foreign tells whether another holder, or an earlier life of this one, may
// still believe that it holds the lease.
func (l *Lease) foreign(row Row, version uint64) bool {
	return version != 0 && !row.Released
}

func (l *Lease) write(now time.Time, epoch, version uint64) Action {
	l.written = l.me
	l.written.Epoch = epoch
	l.sentAt = now
	return WriteRow{l.written, version}
}

// OnWritten takes the table's word on the write.
func (l *Lease) OnWritten(now time.Time, r Result) Action {
	switch r {
	case ResultOK:
		return l.permitOrder(now, l.written.Epoch)
	case ResultUnknown:
		l.mayBeMine = true
		return ReadRow{}
	case ResultConflict:
		return ReadRow{}
	default:
		return ReadRow{readAgain}
	}
}

// permitOrder allows the permitOrder if enough of the lease is left. The lease counts from
// when the write was sent, so a pause of this process only shortens it.
func (l *Lease) permitOrder(now time.Time, epoch uint64) Action {
	until := l.sentAt.Add(l.cfg.Duration)
	if l.checksEpoch {
		return GiveOrder{epoch, now.Add(l.cfg.MaxSend)}
	}
	if now.Add(l.cfg.MaxSend).After(until) {
		return GiveUp{"too little of the lease was left"}
	}
	return GiveOrder{epoch, until}
}

// MaySend tells, right before the order goes out, whether it still may.
func (l *Lease) MaySend(now time.Time, g GiveOrder) bool {
	return l.checksEpoch || !now.Add(l.cfg.MaxSend).After(g.Until)
}

// Release returns the row that gives the lease back.
func (l *Lease) Release() Row {
	r := l.written
	r.Released = true
	return r
}
