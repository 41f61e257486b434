// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package control

import (
	"madderway/core/admit"
	"madderway/core/member"
	"madderway/core/quarantine"
	"madderway/core/sched"
	"madderway/models/conf"
	"madderway/models/vm"
	"madderway/modules/wire"
)

// input is an event for the loop.
type input interface{ isInput() }

type frameIn struct {
	peer  string
	frame *wire.Frame
}

type submitIn struct {
	request  admit.Request
	decision chan Decision
}

type admitIn struct{ event admit.Event }

type schedIn struct{ event sched.Event }

type memberIn struct{ event member.Event }

type recordIn struct{ record quarantine.Record }

type partNewsIn struct{ news quarantine.PartNews }

type vmsIn struct{ vms []vm.VM }

type indexIn struct{ index *conf.Index }

type loadIn struct {
	target  string
	running int
	slots   int
	healthy bool
	leaving bool
}

type doIn struct {
	run  func()
	done chan struct{}
}

func (frameIn) isInput()  {}
func (submitIn) isInput() {}
func (admitIn) isInput()  {}
func (schedIn) isInput()  {}
func (memberIn) isInput() {}
func (recordIn) isInput() {}

func (partNewsIn) isInput() {}
func (vmsIn) isInput()      {}
func (indexIn) isInput()    {}
func (loadIn) isInput()     {}
func (doIn) isInput()       {}
