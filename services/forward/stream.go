// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"madderway/core/attempt"
	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/modules/eventstream"
	"madderway/services/upstream"
)

const (
	streamChunk = 4 << 10
	// coalesceInterval is how long an overloaded gateway collects events before it forwards
	// them, to save system calls: events come every 25 to 50 ms, and to forward one costs two
	// calls and a wake-up or two. The first event is never delayed. The interval is well below
	// the pauses that callers notice, from 300 ms on.
	coalesceInterval = 80 * time.Millisecond
)

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// forwardStream forwards the events of a stream as they come. On resumable routes it forwards
// only complete events, so that another target can continue the stream.
func (j *job) forwardStream(p placement, a *upstream.Answer, slowTimer clock.Timer) attempt.Outcome {
	flusher := http.NewResponseController(j.w)
	chunk := make([]byte, streamChunk)
	var events eventstream.Scanner
	var held []byte // an incomplete event
	for {
		n, err := a.Body.Read(chunk)
		if n > 0 {
			if j.timing.recordPart(j.s.opts.Clock.Now(), j.r.Received) {
				if !slowTimer.Stop() && j.retryReserved.Load() {
					j.reason = "cut for its slowness"
					return j.ended(p, attempt.Cut)
				}
				p.began()
			}
			out := chunk[:n]
			events.Scan(out)
			if j.r.Route.Resumable {
				out, held = j.wholeEvents(append(held, out...))
			}
			if len(out) > 0 && !j.forwardEvents(a, flusher, out) {
				p.canceled()
				return attempt.Cut
			}
			if err == nil {
				j.coalesce()
			}
		}
		if err == io.EOF && events.InEvent() {
			j.recordEnding(a, endedInsideEvent)
		} else if err != nil {
			j.recordEnding(a, endingOf(err))
		}
		if err == io.EOF {
			return j.endStream(p, a, flusher, held)
		}
		if err != nil {
			j.brokeOff, j.reason = true, "stream broke off: "+err.Error()
			return j.ended(p, attempt.Cut)
		}
	}
}

// coalesce waits for further events if this gateway, or the one that handed the request
// over, is overloaded.
func (j *job) coalesce() {
	if !j.s.opts.Guard.Overloaded() && j.r.HandedOverBy == "" {
		return
	}
	select {
	case <-j.ctx.Done():
	case <-j.s.opts.Clock.After(coalesceInterval):
	}
}

func (j *job) forwardEvents(a *upstream.Answer, flusher *http.ResponseController, out []byte) bool {
	if !j.headOut {
		j.writeHead(a)
	}
	if _, err := j.w.Write(out); err != nil {
		return false
	}
	return flusher.Flush() == nil
}

func (j *job) endStream(p placement, a *upstream.Answer, flusher *http.ResponseController, held []byte) attempt.Outcome {
	if len(held) > 0 {
		j.brokeOff, j.reason = true, "stream ended inside an event"
		return j.ended(p, attempt.Cut)
	}
	if !j.headOut && !j.forwardEvents(a, flusher, nil) {
		p.canceled()
		return attempt.Cut
	}
	p.done()
	return 0
}

// wholeEvents splits bytes into complete events and the rest, and notes the ID of the last
// complete event.
func (j *job) wholeEvents(b []byte) (whole, rest []byte) {
	at := bytes.LastIndex(b, eventEnd)
	if at < 0 {
		return nil, b
	}
	at += len(eventEnd)
	whole, rest = b[:at], append([]byte(nil), b[at:]...)
	for line := range bytes.Lines(whole) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			j.lastEvent = string(bytes.TrimSpace(id))
		}
	}
	return whole, rest
}

// streamTiming records when the parts of a stream arrived.
type streamTiming struct {
	first        time.Duration // from the request to the first part
	longestPause time.Duration // the longest time between two parts
	last         time.Time
}

// recordPart records the arrival of a part and reports whether it is the first one.
func (t *streamTiming) recordPart(now, received time.Time) bool {
	if t.last.IsZero() {
		t.first, t.last = now.Sub(received), now
		return true
	}
	t.longestPause = max(t.longestPause, now.Sub(t.last))
	t.last = now
	return false
}

// late reports whether the stream missed the objectives of its route.
func (t *streamTiming) late(r *routing.Route) bool {
	return t.first > r.Objective || r.Pause > 0 && t.longestPause > r.Pause
}
