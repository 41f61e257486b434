// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package engine

import (
	"errors"
	"fmt"
	"io"
	"strconv"

	"madderway/modules/eventstream"
)

// MaxEvent is the maximum size of a server-sent event, in bytes.
const MaxEvent = 1 << 20

// DoneData is the data of the last event of a stream.
const DoneData = "[DONE]"

// ErrBrokenStream matches every ErrStream in errors.Is.
var ErrBrokenStream = errors.New("broken stream")

// ErrStream reports an invalid stream, or one that ended before its last event.
type ErrStream struct{ Reason string }

// Error implements error.
func (e ErrStream) Error() string { return "stream: " + e.Reason }

// Unwrap returns ErrBrokenStream.
func (e ErrStream) Unwrap() error { return ErrBrokenStream }

// Event is a server-sent event. ID is its offset in the stream, starting at 1.
type Event struct {
	ID   int
	Data string
}

// Done reports whether the event is the last one of its stream.
func (e Event) Done() bool { return e.Data == DoneData }

// Format encodes the event for callers.
func (e Event) Format() []byte {
	return fmt.Appendf(nil, "id: %d\ndata: %s\n\n", e.ID, e.Data)
}

// EventReader reads the server-sent events of a stream.
type EventReader struct {
	events *eventstream.Reader
	last   int
}

// NewEventReader returns a reader that starts after the event at offset last. reserve is called before
// more bytes of an unfinished event are held, and refuses the event if it returns false; it may be nil.
func NewEventReader(r io.Reader, last int, reserve func(n int) bool) *EventReader {
	events := eventstream.NewReader(r, MaxEvent)
	events.Reserve = reserve
	return &EventReader{events: events, last: last}
}

// Next returns the next event and skips repeated ones. If an event is missing or the stream ends
// early, the error is an ErrStream.
func (r *EventReader) Next() (Event, error) {
	for {
		ev, err := r.read()
		if err != nil {
			return Event{}, err
		}
		if ev.ID == 0 {
			ev.ID = r.last + 1
		}
		if ev.ID <= r.last {
			continue
		}
		if ev.ID > r.last+1 {
			return Event{}, ErrStream{fmt.Sprintf("event %d after %d", ev.ID, r.last)}
		}
		r.last = ev.ID
		return ev, nil
	}
}

func (r *EventReader) read() (Event, error) {
	raw, err := r.events.Next()
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return Event{}, ErrStream{"ended before its last event"}
	}
	if err != nil {
		return Event{}, ErrStream{err.Error()}
	}
	ev := Event{Data: raw.Data}
	if raw.HasID {
		if ev.ID, err = strconv.Atoi(raw.ID); err != nil || ev.ID < 1 {
			return Event{}, ErrStream{"a bad event ID"}
		}
	}
	return ev, nil
}
