// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package lateness

import (
	"testing"
	"time"

	"gopkg.in/tomb.v2"
)

func TestProbeReportsUntilTombDies(t *testing.T) {
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
			t.Errorf("got a negative lateness %v", d)
		}
	}
	owner.Kill(nil)
	if err := owner.Wait(); err != nil {
		t.Error(err)
	}
}

// Guards against a stalled reader that hides the delay of the byte in the pipe.
func TestProbeReportsFullDelay(t *testing.T) {
	var owner tomb.Tomb
	const delay = 20 * time.Millisecond
	first := true
	reports := make(chan time.Duration, 1)
	_, err := Start(&owner, time.Millisecond, func(d time.Duration) {
		if first {
			first = false
			time.Sleep(delay) // blocks the reader while the next byte is in the pipe
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
		t.Errorf("got lateness %v for a delay of %v", d, delay)
	}
	owner.Kill(nil)
	_ = owner.Wait()
}

// Guards against sampling too rarely in a process that is late now and then.
func TestProbeSlowsDownAfterOnTimeSamples(t *testing.T) {
	p := &Probe{interval: time.Millisecond}
	for i := range 2 * slowdownSamples {
		want := p.interval
		if i >= slowdownSamples {
			want = slowdownFactor * p.interval
		}
		if got := p.nextInterval(); got != want {
			t.Fatalf("interval after %d samples on time: got %v, want %v", i, got, want)
		}
		p.record(0)
	}
	p.record(maxOnTime + 1)
	if got := p.nextInterval(); got != p.interval {
		t.Errorf("interval after a late sample: got %v, want the shortest", got)
	}
}

// Guards against a stall that is invisible until it ends.
func TestOverdueGrowsWhileByteIsUnread(t *testing.T) {
	var owner tomb.Tomb
	reading, done := make(chan struct{}), make(chan struct{})
	first := true
	p, err := Start(&owner, time.Millisecond, func(time.Duration) {
		if first {
			first = false
			close(reading)
			<-done // blocks the reader while the next byte is in the pipe
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	<-reading
	for p.pendingDue.Load() == 0 { // until the next byte is in the pipe
	}
	due := p.start.Add(time.Duration(p.pendingDue.Load()))
	if got := p.Overdue(due.Add(5 * time.Second)); got != 5*time.Second {
		t.Errorf("Overdue 5s after the due time: got %v", got)
	}
	if got := p.Overdue(due.Add(-time.Second)); got != 0 {
		t.Errorf("Overdue before the due time: got %v, want 0", got)
	}
	owner.Kill(nil)
	close(done)
	_ = owner.Wait()
}
