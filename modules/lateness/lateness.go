// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package lateness measures the scheduling delay of the process. A probe writes a byte
// to a pipe at regular times and measures the time until another goroutine reads it.
// The delay includes timers, the network poller, the run queue, CPU throttling and
// suspension of the machine, as a request would experience them.
package lateness

import (
	"os"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"madderway/modules/clock"
)

// maxOnTime is the lateness up to which a sample is on time. After slowdownSamples of those in
// a row the interval grows by slowdownFactor, since each sample wakes the process twice. A
// late sample resets the interval, since callers may need several samples to judge.
const (
	maxOnTime       = 3 * time.Millisecond
	slowdownSamples = 20
	slowdownFactor  = 4
)

// Probe measures until its tomb dies.
type Probe struct {
	t           *tomb.Tomb
	interval    time.Duration
	report      func(lateness time.Duration)
	reader      *os.File
	writer      *os.File
	due         chan time.Time // due time of the byte in the pipe
	start       time.Time
	pendingDue  atomic.Int64 // due in nanoseconds since start, 0 if the pipe is empty
	onTimeCount atomic.Int64 // consecutive samples on time
}

// Start starts a probe that reports a lateness per interval, and less often while the
// process is on time. report must not block.
func Start(t *tomb.Tomb, interval time.Duration, report func(lateness time.Duration)) (*Probe, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	p := &Probe{t: t, interval: interval, report: report, reader: reader, writer: writer, due: make(chan time.Time, 1), start: now()}
	t.Go(p.send)
	t.Go(p.receive)
	return p, nil
}

// now returns the time including suspension, which counts as lateness.
func now() time.Time { return clock.System{}.Now() }

// Overdue returns the lateness so far of the byte in the pipe, or 0 if there is none. It
// shows a stall before the sample that ends it is reported.
func (p *Probe) Overdue(now time.Time) time.Duration {
	due := p.pendingDue.Load()
	if due == 0 {
		return 0
	}
	return max(now.Sub(p.start)-time.Duration(due), 0)
}

// send writes a byte per interval, unless the last one is still unread.
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
			p.pendingDue.Store(int64(due.Sub(p.start)))
			if _, err := p.writer.Write([]byte{0}); err != nil {
				return nil
			}
		default:
		}
		due = now().Add(p.nextInterval())
		timer.Reset(due.Sub(now()))
	}
}

func (p *Probe) record(lateness time.Duration) {
	if lateness <= maxOnTime {
		p.onTimeCount.Add(1)
	} else {
		p.onTimeCount.Store(0)
	}
}

// nextInterval returns the time until the next byte.
func (p *Probe) nextInterval() time.Duration {
	if p.onTimeCount.Load() >= slowdownSamples {
		return slowdownFactor * p.interval
	}
	return p.interval
}

func (p *Probe) receive() error {
	defer p.reader.Close()
	one := make([]byte, 1)
	for {
		if _, err := p.reader.Read(one); err != nil {
			return nil // send has closed the pipe
		}
		due := <-p.due
		p.pendingDue.CompareAndSwap(int64(due.Sub(p.start)), 0) // keeps the due time of a next byte
		lateness := max(now().Sub(due), 0)
		p.record(lateness)
		p.report(lateness)
	}
}
