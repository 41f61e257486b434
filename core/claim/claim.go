// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package claim decides, by conditional writes to the platform's table alone,
// which router may send a call that must not be repeated. A Claim is a pure
// state machine; it trusts no clock and no lease. spec/claim.pml is its model.
package claim

import "time"

// State is the state of a row.
type State string

// The states of a row. Done and Unknown are final.
const (
	StateClaimed  State = "claimed"
	StateReleased State = "released"
	StateDone     State = "done"
	StateUnknown  State = "unknown"
)

// Row is what the table holds for one (account, idempotency key).
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
	Object      string    `json:"object,omitempty"` // Object names the answer in the object store where it is large.
	Expires     time.Time `json:"expires"`
}

// Versioned is a row with its version; version 0 means that it is absent.
type Versioned struct {
	Row     Row
	Version uint64
}

// Result is the table's word on a conditional write.
type Result uint8

// The results of a write.
const (
	ResultOK          Result = iota + 1
	ResultConflict           // the condition did not hold; the row follows
	ResultUnknown            // the write may have taken effect, or may do so later
	ResultUnavailable        // the write did not and will not take effect
)

// Event is something that a Claim reacts to.
type Event interface{ isEvent() }

// Begin starts the claim.
type Begin struct{}

// Written is the answer to a Write.
type Written struct {
	Result  Result
	Current Versioned // Current is the row after ResultOK or at ResultConflict.
}

// Read is the answer to a ReadRow.
type Read struct {
	OK      bool
	Current Versioned
}

// Waited tells that the time asked for by Wait has passed.
type Waited struct{}

// Deadline tells that the caller will not wait any longer.
type Deadline struct{}

// HolderDead tells that the router that holds another attempt is dead.
type HolderDead struct{}

// Ended tells what became of the call after Send. Ran is false only where the
// call provably did not run.
type Ended struct{ Row Row }

// NotRun tells that the call provably did not run and will not be sent again.
type NotRun struct{}

func (Begin) isEvent()      {}
func (Written) isEvent()    {}
func (Read) isEvent()       {}
func (Waited) isEvent()     {}
func (Deadline) isEvent()   {}
func (HolderDead) isEvent() {}
func (Ended) isEvent()      {}
func (NotRun) isEvent()     {}

// Action is something that the owner of a Claim must do.
type Action interface{ isAction() }

// Write puts a row if the current version is the given one.
type Write struct {
	Row       Row
	IfVersion uint64 // 0: only where the row is absent
}

// ReadRow reads the row.
type ReadRow struct{}

// Wait asks for Waited after a while.
type Wait struct{ For time.Duration }

// Send allows the call to be sent, once.
type Send struct{}

// Verdict tells what the caller is to be told instead of sending.
type Verdict uint8

// The verdicts.
const (
	VerdictRecorded    Verdict = iota + 1 // the recorded answer
	VerdictKeyReused                      // the key came with another body
	VerdictInProgress                     // another attempt still runs
	VerdictUnknown                        // another attempt may have run
	VerdictUnavailable                    // not run, and never will be
)

// Reply ends the caller's part; the claim may go on writing.
type Reply struct {
	Verdict Verdict
	Row     Row
}

// Finish tells that nothing is left to do.
type Finish struct{}

func (Write) isAction()   {}
func (ReadRow) isAction() {}
func (Wait) isAction()    {}
func (Send) isAction()    {}
func (Reply) isAction()   {}
func (Finish) isAction()  {}

type phase uint8

const (
	phaseClaiming  phase = iota + 1 // a write of the claim is on its way
	phaseReading                    // the outcome of that write is being read back
	phaseWaiting                    // another attempt holds the row
	phaseSending                    // the call may be sent
	phaseRecording                  // the outcome is being written
	phaseReleasing                  // the claim is being given up
	phaseFinished
)

// Times between two tries.
const (
	firstWait = 25 * time.Millisecond
	maxWait   = time.Second
)

// Claim is the claim of one attempt. It must be stepped by one goroutine.
type Claim struct {
	mine      Row
	phase     phase
	condition uint64 // condition is the version that the last write of the claim named.
	version   uint64 // version is the version of the own row.
	backoff   time.Duration
	holder    Row
	final     Row
	out       []Action
}

// New returns a claim for the row, whose State is ignored.
func New(mine Row) *Claim {
	mine.State = StateClaimed
	return &Claim{mine: mine, backoff: firstWait}
}

// Step takes one event and returns what is to be done.
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
		c.onHolderGone()
	case Ended:
		c.onEnded(e.Row)
	case NotRun:
		c.onNotRun()
	}
	return c.out
}

// Holder returns the router that holds another attempt, while it is waited for.
func (c *Claim) Holder() (router string, incarnation uint64, waiting bool) {
	return c.holder.Router, c.holder.Incarnation, c.phase == phaseWaiting
}

func (c *Claim) emit(a Action) { c.out = append(c.out, a) }

func (c *Claim) wait() {
	c.emit(Wait{c.backoff})
	c.backoff = min(2*c.backoff, maxWait)
}

func (c *Claim) claim(version uint64) {
	c.phase, c.condition = phaseClaiming, version
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

// inspect looks at the row that is there. Only a row with the own attempt
// allows sending.
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
		c.emit(Write{c.mine, c.condition})
	case phaseReading, phaseWaiting, phaseRecording, phaseReleasing:
		c.emit(ReadRow{})
	}
}

// onDeadline decides, once and in memory, never to send.
func (c *Claim) onDeadline() {
	switch c.phase {
	case phaseClaiming, phaseReading:
		c.emit(Reply{Verdict: VerdictUnavailable})
		c.release()
	case phaseWaiting:
		c.finish(VerdictInProgress, c.holder)
	}
}

func (c *Claim) onHolderGone() {
	if c.phase == phaseWaiting {
		c.finish(VerdictUnknown, c.holder)
	}
}

func (c *Claim) onEnded(row Row) {
	if c.phase != phaseSending {
		return
	}
	c.phase = phaseRecording
	c.final = row
	c.emit(Write{row, c.version})
}

func (c *Claim) onNotRun() {
	if c.phase == phaseSending {
		c.release()
	}
}

// release gives the attempt up. The write also takes effect where the row is
// absent, so that a delayed write of the claim fails afterwards.
func (c *Claim) release() {
	c.phase, c.backoff = phaseReleasing, firstWait
	c.final = c.mine
	c.final.State = StateReleased
	c.emit(ReadRow{})
}

func (c *Claim) closingWritten(e Written) {
	switch e.Result {
	case ResultOK:
		// The answer to the write of the claim itself may come this late.
		c.closingRead(e.Current)
	case ResultConflict:
		c.closingRead(e.Current)
	default:
		c.wait()
	}
}

// closingRead decides, from the row that is there, what is left to write. A
// row of another attempt is overwritten only where it is released, which moves
// its version on and so defeats a delayed write of the own claim.
func (c *Claim) closingRead(v Versioned) {
	mine := v.Version != 0 && v.Row.Attempt == c.mine.Attempt
	switch {
	case mine && v.Row.State == c.final.State:
		c.closed()
	case mine && v.Row.State == StateClaimed:
		c.emit(Write{c.final, v.Version})
	case c.phase == phaseReleasing && (v.Version == 0 || v.Row.State == StateReleased):
		c.emit(Write{c.final, v.Version})
	default:
		c.closed()
	}
}

func (c *Claim) closed() {
	c.phase = phaseFinished
	c.emit(Finish{})
}
