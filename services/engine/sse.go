// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package engine

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
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
	scan *bufio.Scanner
	last int
}

// NewEventReader returns a reader that starts after the event at offset last.
func NewEventReader(r io.Reader, last int) *EventReader {
	scan := bufio.NewScanner(r)
	scan.Buffer(make([]byte, 0, 4096), MaxEvent)
	return &EventReader{scan: scan, last: last}
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
	var ev Event
	var data []string
	for r.scan.Scan() {
		line := r.scan.Bytes()
		if len(line) == 0 {
			if len(data) == 0 {
				continue
			}
			ev.Data = strings.Join(data, "\n")
			return ev, nil
		}
		field, value, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			return Event{}, ErrStream{"a line without a colon"}
		}
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "data":
			data = append(data, string(value))
		case "id":
			id, err := strconv.Atoi(string(value))
			if err != nil || id < 1 {
				return Event{}, ErrStream{"a bad event ID"}
			}
			ev.ID = id
		}
	}
	if err := r.scan.Err(); err != nil {
		return Event{}, ErrStream{err.Error()}
	}
	return Event{}, ErrStream{"ended before its last event"}
}
