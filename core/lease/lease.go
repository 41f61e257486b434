// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package lease decides when a router may send an order to an engine. An engine that
// checks orders rejects those of an older epoch (fencing). For an engine that does
// not, a router sends orders only within a lease, after any earlier lease has expired.
//
// A Lease does no I/O and never compares clocks of different machines. Its methods
// return the next action that the caller must perform.
package lease

import "time"

// Row is the lease of a target as stored in the platform's table.
type Row struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	Epoch       uint64 `json:"epoch"`
	Released    bool   `json:"released"`
}

// Config holds the times of a lease.
type Config struct {
	Duration time.Duration // validity of a lease, from the time its write was sent
	Grace    time.Duration // added to Duration before another router may take the lease
	MaxSend  time.Duration // upper bound of an order's time to arrive
}

// DefaultConfig returns the times for production use.
func DefaultConfig() Config {
	return Config{Duration: 10 * time.Second, Grace: 3 * time.Second, MaxSend: 2 * time.Second}
}

// Action is the next step that the caller of a Lease must perform.
type Action interface{ isAction() }

// ReadRow reads the row after a delay; the result goes to OnRead.
type ReadRow struct{ After time.Duration }

// WriteRow writes the row if its version equals IfVersion; the result goes to OnWritten.
type WriteRow struct {
	Row       Row
	IfVersion uint64
}

// GiveOrder permits one order with this epoch, to be sent before Until.
type GiveOrder struct {
	Epoch uint64
	Until time.Time
}

// GiveUp ends the attempt without an order.
type GiveUp struct{ Reason string }

func (ReadRow) isAction()   {}
func (WriteRow) isAction()  {}
func (GiveOrder) isAction() {}
func (GiveUp) isAction()    {}

// Result is the outcome of a conditional write.
type Result uint8

// Results of a conditional write.
const (
	ResultOK Result = iota + 1
	ResultConflict
	ResultUnknown
	ResultUnavailable
)

const readRetryDelay = 250 * time.Millisecond

// Lease acquires the lease of a target for one order.
type Lease struct {
	cfg         Config
	self        Row
	checksEpoch bool // the target rejects older epochs

	seen         Row
	seenVersion  uint64
	seenAt       time.Time // first read of this version
	sentAt       time.Time
	written      Row
	writeUnknown bool // the last write may have taken effect
}

// New returns a lease for one order. checksEpoch reports whether the target rejects older epochs.
func New(cfg Config, holder string, incarnation uint64, checksEpoch bool) *Lease {
	return &Lease{cfg: cfg, self: Row{Holder: holder, Incarnation: incarnation}, checksEpoch: checksEpoch}
}

// Begin returns the first action.
func (l *Lease) Begin() Action { return ReadRow{} }

// OnRead processes a read of the row. ok is false if the read failed; version is 0
// if the row is absent.
func (l *Lease) OnRead(now time.Time, ok bool, row Row, version uint64) Action {
	if !ok {
		return ReadRow{readRetryDelay}
	}
	if l.writeUnknown && row == l.written {
		// The write took effect, but its result was lost.
		return l.permitOrder(now, row.Epoch)
	}
	if l.seenAt.IsZero() || version != l.seenVersion {
		l.seen, l.seenVersion, l.seenAt = row, version, now
	}
	if !l.checksEpoch && l.mayBeHeld(row, version) {
		if left := l.cfg.Duration + l.cfg.Grace - now.Sub(l.seenAt); left > 0 {
			return ReadRow{min(left, readRetryDelay)}
		}
	}
	return l.write(now, row.Epoch+1, version)
}

// mayBeHeld reports whether another router, or an earlier incarnation of this one, may
// still hold the lease.
func (l *Lease) mayBeHeld(row Row, version uint64) bool {
	return version != 0 && !row.Released
}

func (l *Lease) write(now time.Time, epoch, version uint64) Action {
	l.written = l.self
	l.written.Epoch = epoch
	l.sentAt = now
	return WriteRow{l.written, version}
}

// OnWritten processes the result of a write.
func (l *Lease) OnWritten(now time.Time, r Result) Action {
	switch r {
	case ResultOK:
		return l.permitOrder(now, l.written.Epoch)
	case ResultUnknown:
		l.writeUnknown = true
		return ReadRow{}
	case ResultConflict:
		return ReadRow{}
	default:
		return ReadRow{readRetryDelay}
	}
}

// permitOrder permits the order if enough of the lease is left. The lease starts when the
// write was sent, so a pause of this process can only shorten it.
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

// MaySend reports whether the order may still be sent. Call it right before sending.
func (l *Lease) MaySend(now time.Time, g GiveOrder) bool {
	return l.checksEpoch || !now.Add(l.cfg.MaxSend).After(g.Until)
}

// Release returns the row that releases the lease.
func (l *Lease) Release() Row {
	r := l.written
	r.Released = true
	return r
}
