// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"errors"
	"testing"

	"madderway/models/routing"
)

// Guards against confirming a list by a read that began before the call, and against an error that
// counts as a confirmation.
func TestConfirmReadsAfterTheCall(t *testing.T) {
	var c confirmations
	started, release := make(chan int), make(chan error)
	reads := 0
	read := func() error {
		reads++
		started <- reads
		return <-release
	}
	first := c.join(read)
	<-started
	second, third := c.join(read), c.join(read)
	release <- nil
	<-first.done
	<-started
	select {
	case <-second.done:
		t.Error("a call ended by a read that began before it")
	default:
	}
	failed := errors.New("the store is away")
	release <- failed
	<-second.done
	<-third.done
	if first.err != nil || !errors.Is(second.err, failed) || !errors.Is(third.err, failed) || reads != 2 {
		t.Errorf("got errors %v, %v, %v after %d reads, want none, failed, failed after 2", first.err, second.err, third.err, reads)
	}
}

// Guards against a confirmation that does not apply what it read.
func TestConfirmAppliesChanges(t *testing.T) {
	source := newFakeSource()
	source.version, source.targets = 5, []routing.Target{incarnation("a", 100, false)}
	h := start(t, source, nil)
	h.await()
	h.nextWatch()
	confirmed := make(chan error)
	go func() { confirmed <- h.Confirm(t.Context()) }()
	if since := <-source.watches; since != 5 {
		t.Errorf("got a read of changes since %d, want 5", since)
	}
	// The same changes answer each read that waits, until that of Confirm has had its turn.
	answer := watchAnswer{revision: 6, changes: []TargetChange{change(6, incarnation("a", 200, false))}}
	var err error
	for waiting := true; waiting; {
		select {
		case source.changes <- answer:
		case err = <-confirmed:
			waiting = false
		}
	}
	if err != nil || h.Targets().Find(routing.TargetID("a", 200)) == nil {
		t.Errorf("got error %v and targets %+v, want the new incarnation", err, h.Targets().ByService(""))
	}
}
