// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package head decides how the configuration moves on: one head row, changed
// by conditional writes, and followers that never go back. Its machines are
// pure; spec/head.pml is their model.
package head

import "time"

// Row is the head row of the configuration.
type Row struct {
	Version   uint64    `json:"version"`
	Hash      string    `json:"hash"`
	Author    string    `json:"author"`
	Operation string    `json:"operation"`
	At        time.Time `json:"at"`
}

// Operation is the row that a submission leaves under its operation ID, in the
// same transaction as the head.
type Operation struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
}

// Observed is what a read of the head and of the operation's row gave.
type Observed struct {
	Head        Row
	HeadVersion uint64 // HeadVersion is the table's version of the head row, 0 where absent.
	Done        *Operation
}

// Result is the table's word on the transaction.
type Result uint8

// The results of the transaction.
const (
	ResultOK Result = iota + 1
	ResultConflict
	ResultUnknown
	ResultUnavailable
)

// SubmitAction is what the owner of a Submission must do next.
type SubmitAction interface{ isSubmitAction() }

// ReadHead asks for an Observed.
type ReadHead struct{ After time.Duration }

// WriteHead asks for the transaction: the head row if its table version is
// IfVersion, and the operation's row if it is absent.
type WriteHead struct {
	Head      Row
	IfVersion uint64
}

// Accepted ends a submission whose version is in the table.
type Accepted struct{ Version uint64 }

// Conflict ends a submission that another one came before.
type Conflict struct{ Base, Current Row }

// Undecided ends a submission whose outcome is not known; the same operation
// ID may be submitted again.
type Undecided struct{ MayHaveHappened bool }

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
	base         uint64 // base is the version the operator started from; AnyBase accepts the current one.
	at           time.Time
	backoff      time.Duration
	mayBeWritten bool // written tells that a transaction may have taken effect.
	condition    uint64
	baseRow      Row
}

// AnyBase submits on top of whatever version is current.
const AnyBase = ^uint64(0)

// NewSubmission returns the submission of a document by its hash.
func NewSubmission(hash, author, operation string, base uint64, at time.Time) *Submission {
	return &Submission{hash: hash, author: author, operation: operation, base: base, at: at, backoff: submitBackoff}
}

// Begin returns the first action.
func (s *Submission) Begin() SubmitAction { return ReadHead{} }

// OnRead takes what the table holds. ok is false where it could not be read.
func (s *Submission) OnRead(ok bool, o Observed) SubmitAction {
	if !ok {
		return s.readLater()
	}
	if o.Done != nil {
		return Accepted{o.Done.Version}
	}
	// The transaction names a table version, so once the head has moved on, a
	// delayed one can no longer take effect.
	if s.mayBeWritten && o.HeadVersion != s.condition {
		return Conflict{Base: s.baseRow, Current: o.Head}
	}
	if s.base != AnyBase && o.Head.Version != s.base {
		return Conflict{Base: Row{Version: s.base}, Current: o.Head}
	}
	s.condition, s.baseRow = o.HeadVersion, o.Head
	return WriteHead{
		Head:      Row{Version: o.Head.Version + 1, Hash: s.hash, Author: s.author, Operation: s.operation, At: s.at},
		IfVersion: o.HeadVersion,
	}
}

// OnWritten takes the table's word on the transaction.
func (s *Submission) OnWritten(r Result) SubmitAction {
	switch r {
	case ResultOK:
		return Accepted{s.baseRow.Version + 1}
	case ResultUnknown:
		s.mayBeWritten = true
		return ReadHead{}
	case ResultConflict:
		// Either this operation took effect before or another one came first;
		// only a read tells. A conflict ends the write that was conditional.
		s.mayBeWritten = true
		return ReadHead{}
	default:
		return s.readLater()
	}
}

// OnDeadline ends the submission without a decision.
func (s *Submission) OnDeadline() SubmitAction { return Undecided{MayHaveHappened: s.mayBeWritten} }

func (s *Submission) readLater() SubmitAction {
	d := s.backoff
	s.backoff = min(2*s.backoff, submitBackoffMax)
	return ReadHead{After: d}
}
