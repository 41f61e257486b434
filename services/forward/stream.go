// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"fmt"
	"io"
	"mime"
	"net/http"
	"time"

	"madderway/core/attempt"
	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/modules/eventstream"
	"madderway/services/heldbytes"
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

// maxHeldEvent bounds the bytes of an incomplete event that are held on resumable routes.
const maxHeldEvent = 1 << 20

const eventStreamType = "text/event-stream"

// streamBody follows the events of one answer.
type streamBody struct {
	events     eventstream.Scanner
	isEvents   bool   // the body is a stream of events
	holdsBack  bool   // only complete events are forwarded, so that another target can continue
	incomplete []byte // held bytes of an incomplete event
	held       *heldbytes.Holder
	passedOn   int64 // counted bytes of the buffer that take has returned
	tooLarge   bool  // an event does not fit into what may be held
	received   bool  // a byte has come
	counted    int   // events that progressed has reported
}

func newStreamBody(r *routing.Route, h http.Header, held *heldbytes.Holder) *streamBody {
	contentType, _, _ := mime.ParseMediaType(h.Get("Content-Type"))
	isEvents := contentType == "" || contentType == eventStreamType
	return &streamBody{isEvents: isEvents, holdsBack: isEvents && r.Resumable, held: held}
}

// take takes the next bytes, at most streamChunk, and returns those to forward until the next call.
func (b *streamBody) take(p []byte) []byte {
	b.received = true
	b.held.GiveBack(b.passedOn)
	b.passedOn = 0
	if !b.isEvents {
		return p
	}
	end := b.events.Scan(p)
	if !b.holdsBack {
		return p
	}
	if end == 0 {
		b.hold(p)
		return nil
	}
	if len(b.incomplete) == 0 {
		b.hold(p[end:])
		return p[:end]
	}
	if b.hold(p[:end]); b.tooLarge {
		return nil
	}
	out := b.incomplete
	b.incomplete, b.passedOn = nil, countedBytes(out)
	b.hold(p[end:])
	return out
}

// hold adds bytes to the incomplete event. It reserves a buffer of more than freeHeldBytes before it
// is made.
func (b *streamBody) hold(p []byte) {
	need := len(b.incomplete) + len(p)
	if need > cap(b.incomplete) {
		size := max(need, min(eventGrowth*cap(b.incomplete), maxHeldEvent))
		if size > freeHeldBytes {
			if b.tooLarge = !b.held.Reserve(int64(size)); b.tooLarge {
				return
			}
		}
		grown := append(make([]byte, 0, size), b.incomplete...)
		b.held.GiveBack(countedBytes(b.incomplete))
		b.incomplete = grown
	}
	b.incomplete = append(b.incomplete, p...)
}

// countedBytes returns the bytes that are reserved for the buffer of an incomplete event.
func countedBytes(buffer []byte) int64 {
	if cap(buffer) <= freeHeldBytes {
		return 0
	}
	return int64(cap(buffer))
}

// progressed reports whether more of the answer has come since the last call: a whole event, where the
// body is a stream of events. Comments, or bytes that never end an event, are no answer.
func (b *streamBody) progressed() bool {
	if !b.isEvents {
		return true
	}
	more := b.events.Events() > b.counted
	b.counted = b.events.Events()
	return more
}

// lastEvent returns the ID of the last complete event, if another target can continue after it.
func (b *streamBody) lastEvent() (id string, ok bool) {
	if !b.holdsBack {
		return "", false
	}
	return b.events.LastID()
}

// endingOf returns the ending of the body, which was read until err.
func (b *streamBody) endingOf(err error, f upstream.Framing) ending {
	switch {
	case err != io.EOF:
		return endingOf(err)
	case b.isEvents && b.events.InEvent():
		return endedInsideEvent
	case f == upstream.FramedByClose && (!b.received || b.isEvents && b.events.Events() == 0):
		return endedEmpty
	default:
		return endedWhole
	}
}

// forwardStream forwards the events of a stream as they come. On resumable routes it forwards
// only complete events, so that another target can continue the stream.
func (j *job) forwardStream(p placement, a *upstream.Answer, slowTimer clock.Timer) attempt.Outcome {
	flusher := http.NewResponseController(j.w)
	chunk := make([]byte, streamChunk)
	body := newStreamBody(j.r.Route, a.Header, &j.held)
	if body.isEvents {
		// An announced length could not show that the last event is incomplete, nor be kept by
		// another target that continues the stream.
		a.Header.Del("Content-Length")
	}
	for {
		n, err := a.Body.Read(chunk)
		if n > 0 {
			out := body.take(chunk[:n])
			if body.tooLarge {
				return j.endStream(p, a, flusher, endedOtherwise, errAnswersTooLarge)
			}
			if body.progressed() && !j.recordProgress(p, slowTimer) {
				return j.ended(p, attempt.Cut)
			}
			if len(out) > 0 && !j.forwardEvents(a, flusher, out) {
				p.canceled()
				return attempt.Cut
			}
			if id, ok := body.lastEvent(); ok {
				j.lastEvent = id
			}
		}
		switch {
		case err != nil:
			return j.endStream(p, a, flusher, body.endingOf(err, a.Framing), err)
		case len(body.incomplete) > maxHeldEvent:
			return j.endStream(p, a, flusher, endedOtherwise, errEventTooLarge)
		}
		j.recordAnswered(false)
		j.coalesce()
	}
}

// recordProgress notes that a part of the answer has come. It returns false if the attempt is being cut.
func (j *job) recordProgress(p placement, slowTimer clock.Timer) bool {
	now := j.s.opts.Clock.Now()
	if j.receivedAt.IsZero() { // of this attempt
		j.receivedAt = now
		if !j.endFirstPart(slowTimer) {
			return false
		}
	}
	if j.timing.recordPart(now, j.r.Received) {
		p.began()
	}
	return true
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
		j.recordOrigin()
		j.writeHead(a)
	}
	if _, err := j.w.Write(out); err != nil {
		return false
	}
	return flusher.Flush() == nil
}

var errEventTooLarge = fmt.Errorf("an event is over %d bytes", maxHeldEvent)

// endStream handles the end of a body that was read until err. A body that ends without an error is
// not always complete.
func (j *job) endStream(p placement, a *upstream.Answer, flusher *http.ResponseController, e ending, err error) attempt.Outcome {
	if e == endedWhole && j.endedWithTarget(a, p.target()) {
		e = endedByExit
	}
	j.recordEnding(a, e)
	switch {
	case e == endedWhole:
	case err == io.EOF:
		j.brokeOff, j.reason = true, "stream broke off: ended "+string(e)
		return j.ended(p, attempt.Cut)
	default:
		j.brokeOff, j.reason = true, "stream broke off: "+err.Error()
		return j.ended(p, attempt.Cut)
	}
	if !j.headOut && !j.forwardEvents(a, flusher, nil) {
		p.canceled()
		return attempt.Cut
	}
	j.recordAnswered(true)
	p.done()
	return 0
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
