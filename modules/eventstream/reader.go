// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package eventstream

import (
	"errors"
	"io"
)

const (
	readSize = 4 << 10
	// freeHeld bytes of an unfinished event are not reserved: most events are shorter.
	freeHeld = 2 * readSize
	// heldCopies is the number of copies of an event's data: its line, its data and the event.
	heldCopies = 3
)

// ErrTooLarge reports an event that exceeds the limit of its Reader.
var ErrTooLarge = errors.New("an event is too large")

// Reader returns the events of a stream that have data.
type Reader struct {
	// Reserve, if set, is called before more bytes are held of an unfinished event. They count until the
	// Reader is no longer used. If it returns false, the event is too large.
	Reserve func(n int) bool

	r        io.Reader
	maxHeld  int
	reserved int
	scanner  Scanner
	events   []Event // scanned and not returned yet
	buffer   []byte
	err      error
}

// NewReader returns a reader of events of at most about maxEvent bytes of data.
func NewReader(r io.Reader, maxEvent int) *Reader {
	reader := &Reader{r: r, maxHeld: maxEvent, reserved: freeHeld, buffer: make([]byte, readSize)}
	reader.scanner.OnEvent = func(e Event) { reader.events = append(reader.events, e) }
	return reader
}

// Next returns the next event. At the end of the stream it returns io.EOF, or io.ErrUnexpectedEOF
// if the stream ends inside an event.
func (r *Reader) Next() (Event, error) {
	for len(r.events) == 0 {
		if r.err != nil {
			return Event{}, r.err
		}
		n, err := r.r.Read(r.buffer)
		r.scanner.Scan(r.buffer[:n])
		switch {
		case err == io.EOF && r.scanner.InEvent():
			r.err = io.ErrUnexpectedEOF
		case err != nil:
			r.err = err
		case !r.reserve(r.scanner.HeldData()):
			r.err = ErrTooLarge
		}
	}
	e := r.events[0]
	r.events = r.events[1:]
	return e, nil
}

// reserve reports whether so many bytes of an event may be held.
func (r *Reader) reserve(held int) bool {
	if held > r.maxHeld {
		return false
	}
	if held <= r.reserved || r.Reserve == nil {
		return true
	}
	size := min(max(held, 2*r.reserved), r.maxHeld)
	if !r.Reserve(heldCopies * (size - r.reserved)) {
		return false
	}
	r.reserved = size
	return true
}
