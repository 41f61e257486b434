// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package head decides which version of the configuration is current. Operators
// submit a version through conditional writes of a single head row (Submission), and
// each router follows that row without ever going back to an older one (Follower).
//
// Both types do no I/O: their methods return the actions that the caller must
// perform. spec/head.pml models the protocol.
package head

import "time"

// Row is the head row, which names the current version of the configuration.
type Row struct {
	Version   uint64    `json:"version"`
	Hash      string    `json:"hash"`
	Author    string    `json:"author"`
	Operation string    `json:"operation"`
	At        time.Time `json:"at"`
}

// Operation is the row that a submission writes under its operation ID, in the same
// transaction as the head row. It makes submissions idempotent.
type Operation struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
}

// Observed is the result of reading the head row and the operation's row.
type Observed struct {
	Head        Row
	HeadVersion uint64     // the table's version of the head row, 0 if absent
	Done        *Operation // nil if the operation has not taken effect
}

// Result is the outcome of the transaction.
type Result uint8

// Results of the transaction.
const (
	ResultOK Result = iota + 1
	ResultConflict
	ResultUnknown
	ResultUnavailable
)

// SubmitAction is the next step that the caller of a Submission must perform.
type SubmitAction interface{ isSubmitAction() }

// ReadHead reads the head and the operation's row after a delay; the result goes to OnRead.
type ReadHead struct{ After time.Duration }

// WriteHead writes, in one transaction, the head row if its table version is IfVersion
// and the operation's row if it is absent. The result goes to OnWritten.
type WriteHead struct {
	Head      Row
	IfVersion uint64
}

// Accepted ends a submission that has become the given version.
type Accepted struct{ Version uint64 }

// Conflict ends a submission that lost to another one.
type Conflict struct{ Base, Current Row }

// Undecided ends a submission whose outcome is unknown. It may be retried under the
// same operation ID.
type Undecided struct{ MayHaveCommitted bool }

func (ReadHead) isSubmitAction()  {}
func (WriteHead) isSubmitAction() {}
func (Accepted) isSubmitAction()  {}
func (Conflict) isSubmitAction()  {}
func (Undecided) isSubmitAction() {}

const (
	submitBackoff    = 50 * time.Millisecond
	submitBackoffMax = time.Second
)

// Submission is one operator's change.
type Submission struct {
	hash         string
	author       string
	operation    string
	base         uint64 // version that the operator edited, or AnyBase
	at           time.Time
	backoff      time.Duration
	mayBeWritten bool   // a transaction may have taken effect
	ifVersion    uint64 // IfVersion of the last transaction
	baseRow      Row    // head row that the last transaction replaces
}

// AnyBase accepts any current version as the base of a submission.
const AnyBase = ^uint64(0)

// NewSubmission returns the submission of the document with this hash.
func NewSubmission(hash, author, operation string, base uint64, at time.Time) *Submission {
	return &Submission{hash: hash, author: author, operation: operation, base: base, at: at, backoff: submitBackoff}
}

// Begin returns the first action.
func (s *Submission) Begin() SubmitAction { return ReadHead{} }

// OnRead processes a read. ok is false if the read failed.
func (s *Submission) OnRead(ok bool, o Observed) SubmitAction {
	if !ok {
		return s.readLater()
	}
	if o.Done != nil {
		return Accepted{o.Done.Version}
	}
	// A delayed transaction fails once the head row has another table version.
	if s.mayBeWritten && o.HeadVersion != s.ifVersion {
		return Conflict{Base: s.baseRow, Current: o.Head}
	}
	if s.base != AnyBase && o.Head.Version != s.base {
		return Conflict{Base: Row{Version: s.base}, Current: o.Head}
	}
	s.ifVersion, s.baseRow = o.HeadVersion, o.Head
	return WriteHead{
		Head:      Row{Version: o.Head.Version + 1, Hash: s.hash, Author: s.author, Operation: s.operation, At: s.at},
		IfVersion: o.HeadVersion,
	}
}

// OnWritten processes the result of the transaction.
func (s *Submission) OnWritten(r Result) SubmitAction {
	switch r {
	case ResultOK:
		return Accepted{s.baseRow.Version + 1}
	case ResultUnknown:
		s.mayBeWritten = true
		return ReadHead{}
	case ResultConflict:
		// An earlier transaction of this operation or another operation was first.
		// The next read shows which.
		s.mayBeWritten = true
		return ReadHead{}
	default:
		return s.readLater()
	}
}

// OnDeadline ends the submission without a decision.
func (s *Submission) OnDeadline() SubmitAction { return Undecided{MayHaveCommitted: s.mayBeWritten} }

func (s *Submission) readLater() SubmitAction {
	d := s.backoff
	s.backoff = min(2*s.backoff, submitBackoffMax)
	return ReadHead{After: d}
}
