// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package lateness

import (
	"testing"
	"time"

	"gopkg.in/tomb.v2"
)

// A probe reports again and again, and ends with its tomb.
func TestProbeReportsUntilTheEnd(t *testing.T) {
	var owner tomb.Tomb
	reports := make(chan time.Duration)
	_, err := Start(&owner, time.Millisecond, func(d time.Duration) {
		select {
		case reports <- d:
		case <-owner.Dying():
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	for range 5 {
		if d := <-reports; d < 0 {
			t.Errorf("reported %v", d)
		}
	}
	owner.Kill(nil)
	if err := owner.Wait(); err != nil {
		t.Error(err)
	}
}

// A byte that is read late is reported with all of its delay.
func TestDelayIsReported(t *testing.T) {
	var owner tomb.Tomb
	const delay = 20 * time.Millisecond
	first := true
	reports := make(chan time.Duration, 1)
	_, err := Start(&owner, time.Millisecond, func(d time.Duration) {
		if first {
			first = false
			time.Sleep(delay) // the reader stands still while the next byte is under way
			return
		}
		select {
		case reports <- d:
		default:
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if d := <-reports; d < delay/2 {
		t.Errorf("%v told of a delay of %v", d, delay)
	}
	owner.Kill(nil)
	_ = owner.Wait()
}

// A process that is late now and then is measured as often as one that always is.
func TestSeldomOnlyAfterLongCalm(t *testing.T) {
	p := &Probe{interval: time.Millisecond}
	for i := range 2 * calmSamples {
		want := p.interval
		if i >= calmSamples {
			want = calmFactor * p.interval
		}
		if got := p.nextInterval(); got != want {
			t.Fatalf("after %d samples in time it waits %v, want %v", i, got, want)
		}
		p.note(0)
	}
	p.note(calm + 1)
	if got := p.nextInterval(); got != p.interval {
		t.Errorf("after a late sample it waits %v", got)
	}
}

// A byte that nobody has read yet is late by all the time since it was due.
func TestUnreadByteIsOverdue(t *testing.T) {
	var owner tomb.Tomb
	reading, done := make(chan struct{}), make(chan struct{})
	first := true
	p, err := Start(&owner, time.Millisecond, func(time.Duration) {
		if first {
			first = false
			close(reading)
			<-done // the reader stands still while the next byte is under way
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	<-reading
	for p.unread.Load() == 0 { // until the next byte is under way
	}
	due := p.start.Add(time.Duration(p.unread.Load()))
	if got := p.Overdue(due.Add(5 * time.Second)); got != 5*time.Second {
		t.Errorf("five seconds after its time it is overdue by %v", got)
	}
	if got := p.Overdue(due.Add(-time.Second)); got != 0 {
		t.Errorf("before its time it is overdue by %v", got)
	}
	owner.Kill(nil)
	close(done)
	_ = owner.Wait()
}
