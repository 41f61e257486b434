// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package claim ensures that a call that must not be repeated is sent by at most
// one router. Only conditional writes to the platform's table decide which; neither
// clocks nor leases are trusted.
//
// A Claim does no I/O: Step takes an event and returns the actions that the caller
// must perform. spec/claim.pml models the protocol.
package claim

import "time"

// State is the state of a row.
type State string

// States of a row. StateDone and StateUnknown are final.
const (
	StateClaimed  State = "claimed"
	StateReleased State = "released"
	StateDone     State = "done"
	StateUnknown  State = "unknown"
)

// Row is the table's record of one (account, idempotency key).
type Row struct {
	State       State     `json:"state"`
	Attempt     string    `json:"attempt"`
	Digest      string    `json:"digest"`
	Router      string    `json:"router"`
	Incarnation uint64    `json:"incarnation"`
	RequestID   string    `json:"request_id"`
	Status      int       `json:"status,omitempty"`
	ContentType string    `json:"content_type,omitempty"`
	Body        []byte    `json:"body,omitempty"`
	Object      string    `json:"object,omitempty"` // key in the object store of a response too large for Body
	Expires     time.Time `json:"expires"`
}

// Versioned is a row with its version; version 0 means that the row is absent.
type Versioned struct {
	Row     Row
	Version uint64
}

// Result is the outcome of a conditional write.
type Result uint8

// Results of a conditional write.
const (
	ResultOK          Result = iota + 1
	ResultConflict           // the condition did not hold; Written.Current is the row
	ResultUnknown            // the write may have taken effect or may still do so
	ResultUnavailable        // the write did not and will not take effect
)

// Event is an input of Claim.Step.
type Event interface{ isEvent() }

// Begin starts the claim.
type Begin struct{}

// Written is the result of a Write.
type Written struct {
	Result  Result
	Current Versioned // the row, after ResultOK and ResultConflict only
}

// Read is the result of a ReadRow.
type Read struct {
	OK      bool
	Current Versioned
}

// Waited reports that the time of a Wait has passed.
type Waited struct{}

// Deadline reports that the caller's deadline has passed.
type Deadline struct{}

// HolderDead reports that the router of the attempt that holds the row is dead.
type HolderDead struct{}

// Ended reports the outcome of the call after Send, as the row to record.
type Ended struct{ Row Row }

// NotRun reports that the call provably did not run and will not be sent again.
type NotRun struct{}

func (Begin) isEvent()      {}
func (Written) isEvent()    {}
func (Read) isEvent()       {}
func (Waited) isEvent()     {}
func (Deadline) isEvent()   {}
func (HolderDead) isEvent() {}
func (Ended) isEvent()      {}
func (NotRun) isEvent()     {}

// Action is an output of Claim.Step that the caller must perform.
type Action interface{ isAction() }

// Write writes a row if its current version equals IfVersion.
type Write struct {
	Row       Row
	IfVersion uint64 // 0: only if the row is absent
}

// ReadRow reads the row.
type ReadRow struct{}

// Wait requests a Waited event after a delay.
type Wait struct{ For time.Duration }

// Send permits sending the call once.
type Send struct{}

// Verdict is the reason for answering a request without sending the call.
type Verdict uint8

// Verdicts.
const (
	VerdictRecorded    Verdict = iota + 1 // a response is recorded
	VerdictKeyReused                      // the idempotency key was used with another body
	VerdictInProgress                     // another attempt is in progress
	VerdictUnknown                        // another attempt may have run
	VerdictUnavailable                    // the call did not run and never will
)

// Reply answers the caller. The claim may continue to write.
type Reply struct {
	Verdict Verdict
	Row     Row
}

// Finish reports that the claim needs no more events.
type Finish struct{}

func (Write) isAction()   {}
func (ReadRow) isAction() {}
func (Wait) isAction()    {}
func (Send) isAction()    {}
func (Reply) isAction()   {}
func (Finish) isAction()  {}

type phase uint8

const (
	phaseClaiming  phase = iota + 1 // the write of the claim is in flight
	phaseReading                    // the result of that write is unknown and being read
	phaseWaiting                    // another attempt holds the row
	phaseSending                    // the call may be sent
	phaseRecording                  // the outcome is being written
	phaseReleasing                  // the claim is being released
	phaseFinished
)

// Backoff between retries.
const (
	firstWait = 25 * time.Millisecond
	maxWait   = time.Second
)

// Claim is the claim of one attempt. It is not safe for concurrent use.
type Claim struct {
	mine      Row
	phase     phase
	ifVersion uint64 // IfVersion of the last write of the claim
	version   uint64 // version of mine in the table
	backoff   time.Duration
	holder    Row // row of the attempt that is waited for
	finalRow  Row // row to write when closing the claim
	out       []Action
}

// New returns a claim for the row. Its State is ignored.
func New(mine Row) *Claim {
	mine.State = StateClaimed
	return &Claim{mine: mine, backoff: firstWait}
}

// Step processes one event and returns the resulting actions.
func (c *Claim) Step(ev Event) []Action {
	c.out = nil
	switch e := ev.(type) {
	case Begin:
		c.claim(0)
	case Written:
		c.onWritten(e)
	case Read:
		c.onRead(e)
	case Waited:
		c.onWaited()
	case Deadline:
		c.onDeadline()
	case HolderDead:
		c.onHolderDead()
	case Ended:
		c.onEnded(e.Row)
	case NotRun:
		c.onNotRun()
	}
	return c.out
}

// Holder returns the router whose attempt holds the row, while the claim waits for it.
func (c *Claim) Holder() (router string, incarnation uint64, waiting bool) {
	return c.holder.Router, c.holder.Incarnation, c.phase == phaseWaiting
}

func (c *Claim) emit(a Action) { c.out = append(c.out, a) }

func (c *Claim) wait() {
	c.emit(Wait{c.backoff})
	c.backoff = min(2*c.backoff, maxWait)
}

func (c *Claim) claim(version uint64) {
	c.phase, c.ifVersion = phaseClaiming, version
	c.emit(Write{c.mine, version})
}

func (c *Claim) onWritten(e Written) {
	switch c.phase {
	case phaseClaiming:
		c.claimWritten(e)
	case phaseRecording, phaseReleasing:
		c.closingWritten(e)
	}
}

func (c *Claim) claimWritten(e Written) {
	switch e.Result {
	case ResultOK:
		c.send(e.Current.Version)
	case ResultConflict:
		c.inspect(e.Current)
	case ResultUnknown:
		c.phase = phaseReading
		c.emit(ReadRow{})
	case ResultUnavailable:
		c.wait()
	}
}

func (c *Claim) send(version uint64) {
	c.phase, c.version, c.backoff = phaseSending, version, firstWait
	c.emit(Send{})
}

// inspect acts on the current row. Only a row of the own attempt permits sending.
func (c *Claim) inspect(v Versioned) {
	switch {
	case v.Version == 0:
		c.claim(0)
	case v.Row.Attempt == c.mine.Attempt && v.Row.State == StateClaimed:
		c.send(v.Version)
	case v.Row.State == StateReleased:
		c.claim(v.Version)
	case v.Row.Digest != c.mine.Digest:
		c.finish(VerdictKeyReused, v.Row)
	case v.Row.State == StateDone:
		c.finish(VerdictRecorded, v.Row)
	case v.Row.State == StateUnknown:
		c.finish(VerdictUnknown, v.Row)
	default:
		c.phase, c.holder = phaseWaiting, v.Row
		c.wait()
	}
}

// finish answers the caller and ends the claim.
func (c *Claim) finish(v Verdict, row Row) {
	c.phase = phaseFinished
	c.emit(Reply{v, row})
	c.emit(Finish{})
}

func (c *Claim) onRead(e Read) {
	if !e.OK {
		if c.phase != phaseFinished && c.phase != phaseSending {
			c.wait()
		}
		return
	}
	switch c.phase {
	case phaseReading, phaseWaiting:
		c.inspect(e.Current)
	case phaseRecording, phaseReleasing:
		c.closingRead(e.Current)
	}
}

func (c *Claim) onWaited() {
	switch c.phase {
	case phaseClaiming:
		c.emit(Write{c.mine, c.ifVersion})
	case phaseReading, phaseWaiting, phaseRecording, phaseReleasing:
		c.emit(ReadRow{})
	}
}

// onDeadline gives up the claim before it has sent. The decision is final.
func (c *Claim) onDeadline() {
	switch c.phase {
	case phaseClaiming, phaseReading:
		c.emit(Reply{Verdict: VerdictUnavailable})
		c.release()
	case phaseWaiting:
		c.finish(VerdictInProgress, c.holder)
	}
}

func (c *Claim) onHolderDead() {
	if c.phase == phaseWaiting {
		c.finish(VerdictUnknown, c.holder)
	}
}

func (c *Claim) onEnded(row Row) {
	if c.phase != phaseSending {
		return
	}
	c.phase = phaseRecording
	c.finalRow = row
	c.emit(Write{row, c.version})
}

func (c *Claim) onNotRun() {
	if c.phase == phaseSending {
		c.release()
	}
}

// release gives up the attempt. It also writes an absent row, so that a delayed
// write of the claim fails afterwards.
func (c *Claim) release() {
	c.phase, c.backoff = phaseReleasing, firstWait
	c.finalRow = c.mine
	c.finalRow.State = StateReleased
	c.emit(ReadRow{})
}

// closingWritten processes a write while the outcome is recorded or the claim released.
func (c *Claim) closingWritten(e Written) {
	switch e.Result {
	case ResultOK:
		// This may be the late result of the write of the claim itself.
		c.closingRead(e.Current)
	case ResultConflict:
		c.closingRead(e.Current)
	default:
		c.wait()
	}
}

// closingRead writes the final row if the current row still requires it. A row of
// another attempt is overwritten only if it is released: the new version makes a
// delayed write of the own claim fail.
func (c *Claim) closingRead(v Versioned) {
	mine := v.Version != 0 && v.Row.Attempt == c.mine.Attempt
	switch {
	case mine && v.Row.State == c.finalRow.State:
		c.markFinished()
	case mine && v.Row.State == StateClaimed:
		c.emit(Write{c.finalRow, v.Version})
	case c.phase == phaseReleasing && (v.Version == 0 || v.Row.State == StateReleased):
		c.emit(Write{c.finalRow, v.Version})
	default:
		c.markFinished()
	}
}

// markFinished ends a claim whose caller has got its response.
func (c *Claim) markFinished() {
	c.phase = phaseFinished
	c.emit(Finish{})
}
