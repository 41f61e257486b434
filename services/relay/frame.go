// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package relay

import (
	"encoding/binary"
	"errors"
)

// kind is what a frame carries.
type kind uint8

// The kinds of frames. Those of a request and its answer name it by a number that the
// gateway which hands it over has drawn; a probe's is 0.
const (
	kindData    kind = iota + 1 // bytes of a request or an answer, more follow
	kindEnd                     // the last bytes
	kindAborted                 // the answer ends here and is not whole
	kindCancel                  // the caller has left
	kindProbe                   // is answered by the same
)

const (
	// HeaderSize is the size of what stands before the bytes of a frame: kind, number, length.
	HeaderSize = 1 + 4 + 4
	// maxFrameSize is the most bytes that a frame has.
	maxFrameSize = 1 << 20
)

// errMalformedFrame tells that a peer sends something else than frames.
var errMalformedFrame = errors.New("not a frame")

// frame is what is known of the frame that is being read.
type frame struct {
	kind      kind
	number    uint32
	remaining int // left is how much of it is still to come.
}

// putHeader writes the head of a frame with so many bytes.
func putHeader(b []byte, k kind, number uint32, length int) {
	b[0] = byte(k)
	binary.BigEndian.PutUint32(b[1:], number)
	binary.BigEndian.PutUint32(b[5:], uint32(length))
}

// decoder divides what is read into frames. Bytes are passed on as they come, in pieces that
// end with their frame or with what was read.
type decoder struct {
	frame
	header    [HeaderSize]byte
	headerLen int // held is how much of a head has come.
}

// feed calls take for each piece; last tells that it ends its frame.
func (d *decoder) feed(b []byte, take func(f frame, piece []byte, last bool)) error {
	for len(b) > 0 {
		if d.remaining > 0 {
			n := min(d.remaining, len(b))
			d.remaining -= n
			take(d.frame, b[:n], d.remaining == 0)
			b = b[n:]
			continue
		}
		n := copy(d.header[d.headerLen:], b)
		d.headerLen, b = d.headerLen+n, b[n:]
		if d.headerLen < HeaderSize {
			return nil
		}
		d.headerLen = 0
		d.frame = frame{kind(d.header[0]), binary.BigEndian.Uint32(d.header[1:]), int(binary.BigEndian.Uint32(d.header[5:]))}
		if d.kind < kindData || d.kind > kindProbe || d.remaining > maxFrameSize {
			return errMalformedFrame
		}
		if d.remaining == 0 {
			take(d.frame, nil, true)
		}
	}
	return nil
}
