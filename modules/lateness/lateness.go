// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package lateness measures how late a process comes to what it is sent. A byte
// goes through a pipe at regular times; how long after its time it is read tells
// what a request or an answer waits for timers, the poller and the run queue,
// whether the processor is short, given in portions, or stood still, or the machine was
// suspended.
package lateness

import (
	"os"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"madderway/modules/clock"
)

// calm is the lateness up to which a process is in time. After calmSamples of those in a
// row it is measured calmFactor times as seldom: each measurement wakes the process
// twice. Whoever judges by the least of a few samples needs them all while any is late.
const (
	calm        = 3 * time.Millisecond
	calmSamples = 20
	calmFactor  = 4
)

// Probe sends itself bytes until its tomb dies.
type Probe struct {
	t        *tomb.Tomb
	interval time.Duration
	report   func(lateness time.Duration)
	reader   *os.File
	writer   *os.File
	due      chan time.Time // due holds the time of the byte that is under way.
	start    time.Time
	unread   atomic.Int64 // unread is the same time in nanoseconds since start, 0 where none is under way.
	inTime   atomic.Int64 // inTime counts the latest samples in a row that were in time.
}

// Start runs a probe that reports a lateness for each span of time, more seldom while
// the process is in time; report must not wait.
func Start(t *tomb.Tomb, every time.Duration, report func(lateness time.Duration)) (*Probe, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	p := &Probe{t: t, interval: every, report: report, reader: reader, writer: writer, due: make(chan time.Time, 1), start: now()}
	t.Go(p.send)
	t.Go(p.receive)
	return p, nil
}

// now returns the time with that in suspension counted, which is a lateness like any other.
func now() time.Time { return clock.System{}.Now() }

// Overdue returns how late the byte that is under way already is, 0 where none is. A
// process that is late by seconds has no sample in all that time.
func (p *Probe) Overdue(now time.Time) time.Duration {
	due := p.unread.Load()
	if due == 0 {
		return 0
	}
	return max(now.Sub(p.start)-time.Duration(due), 0)
}

// send writes a byte at each time, unless the last one has not been read yet.
func (p *Probe) send() error {
	defer p.writer.Close()
	due := now().Add(p.nextInterval())
	timer := time.NewTimer(due.Sub(now()))
	defer timer.Stop()
	for {
		select {
		case <-p.t.Dying():
			return nil
		case <-timer.C:
		}
		select {
		case p.due <- due:
			p.unread.Store(int64(due.Sub(p.start)))
			if _, err := p.writer.Write([]byte{0}); err != nil {
				return nil
			}
		default:
		}
		due = now().Add(p.nextInterval())
		timer.Reset(due.Sub(now()))
	}
}

func (p *Probe) note(lateness time.Duration) {
	if lateness <= calm {
		p.inTime.Add(1)
	} else {
		p.inTime.Store(0)
	}
}

// nextInterval returns how long to wait before the next byte.
func (p *Probe) nextInterval() time.Duration {
	if p.inTime.Load() >= calmSamples {
		return calmFactor * p.interval
	}
	return p.interval
}

func (p *Probe) receive() error {
	defer p.reader.Close()
	one := make([]byte, 1)
	for {
		if _, err := p.reader.Read(one); err != nil {
			return nil // the sender has ended
		}
		due := <-p.due
		p.unread.CompareAndSwap(int64(due.Sub(p.start)), 0) // the next byte may be under way
		lateness := max(now().Sub(due), 0)
		p.note(lateness)
		p.report(lateness)
	}
}
