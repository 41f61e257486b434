// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"madderway/core/cell"
	"madderway/core/entry"
	"madderway/core/member"
	"madderway/models/routing"
	"madderway/modules/wire"
)

// input is an event for the loop.
type input interface{ isInput() }

type frameIn struct {
	peer  string
	frame *wire.Frame
}

type submitIn struct {
	event    entry.Submitted
	decision chan Decision
}

type entryIn struct{ event entry.Event }

type memberIn struct{ event member.Event }

type routingIn struct {
	index   *routing.Index
	targets *routing.TargetSet
}

type doIn struct {
	run  func()
	done chan struct{}
}

func (frameIn) isInput()   {}
func (submitIn) isInput()  {}
func (entryIn) isInput()   {}
func (memberIn) isInput()  {}
func (routingIn) isInput() {}
func (doIn) isInput()      {}

// RequestID numbers a request at its entry gateway.
type RequestID = cell.RequestID
