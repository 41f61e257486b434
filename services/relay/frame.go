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
	kindPart   kind = iota + 1 // bytes of a request or an answer, more follow
	kindEnd                    // the last bytes
	kindBroken                 // the answer ends here and is not whole
	kindCancel                 // the caller has left
	kindProbe                  // is answered by the same
)

const (
	// HeaderSize is the size of what stands before the bytes of a frame: kind, number, length.
	HeaderSize = 1 + 4 + 4
	// maxFrame is the most bytes that a frame has.
	maxFrame = 1 << 20
)

// errFrame tells that a peer sends something else than frames.
var errFrame = errors.New("not a frame")

// frame is what is known of the frame that is being read.
type frame struct {
	kind   kind
	number uint32
	left   int // left is how much of it is still to come.
}

// putHead writes the head of a frame with so many bytes.
func putHead(b []byte, k kind, number uint32, length int) {
	b[0] = byte(k)
	binary.BigEndian.PutUint32(b[1:], number)
	binary.BigEndian.PutUint32(b[5:], uint32(length))
}

// decoder divides what is read into frames. Bytes are passed on as they come, in pieces that
// end with their frame or with what was read.
type decoder struct {
	frame
	head [HeaderSize]byte
	held int // held is how much of a head has come.
}

// feed calls take for each piece; last tells that it ends its frame.
func (d *decoder) feed(b []byte, take func(f frame, piece []byte, last bool)) error {
	for len(b) > 0 {
		if d.left > 0 {
			n := min(d.left, len(b))
			d.left -= n
			take(d.frame, b[:n], d.left == 0)
			b = b[n:]
			continue
		}
		n := copy(d.head[d.held:], b)
		d.held, b = d.held+n, b[n:]
		if d.held < HeaderSize {
			return nil
		}
		d.held = 0
		d.frame = frame{kind(d.head[0]), binary.BigEndian.Uint32(d.head[1:]), int(binary.BigEndian.Uint32(d.head[5:]))}
		if d.kind < kindPart || d.kind > kindProbe || d.left > maxFrame {
			return errFrame
		}
		if d.left == 0 {
			take(d.frame, nil, true)
		}
	}
	return nil
}
