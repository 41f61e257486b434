// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package relay

import (
	"encoding/binary"
	"errors"
)

// kind is the type of a frame.
type kind uint8

// Frames of a request and its response carry the number that the sending gateway gave the request;
// probes carry 0.
const (
	kindData    kind = iota + 1 // bytes of a request or a response, more frames follow
	kindEnd                     // last bytes
	kindAborted                 // the response ends incomplete
	kindCancel                  // the caller has disconnected
	kindProbe                   // keep-alive; the receiver returns it, with its configuration's version
)

const (
	// HeaderSize is the size of a frame's header: kind, request number, length.
	HeaderSize   = 1 + 4 + 4
	maxFrameSize = 1 << 20
)

var errMalformedFrame = errors.New("not a frame")

// frame is the header of the frame being read.
type frame struct {
	kind      kind
	number    uint32
	remaining int // payload bytes still to be read
}

// putHeader writes the header of a frame with a payload of length bytes.
func putHeader(b []byte, k kind, number uint32, length int) {
	b[0] = byte(k)
	binary.BigEndian.PutUint32(b[1:], number)
	binary.BigEndian.PutUint32(b[5:], uint32(length))
}

// decoder splits the bytes read from a connection into frames. It passes payloads on in pieces, as
// they arrive, without collecting whole frames.
type decoder struct {
	frame
	header    [HeaderSize]byte
	headerLen int // bytes of header that have been read
}

// feed calls emit for each piece of payload; last is set on the final piece of a frame.
func (d *decoder) feed(b []byte, emit func(f frame, piece []byte, last bool)) error {
	for len(b) > 0 {
		if d.remaining > 0 {
			n := min(d.remaining, len(b))
			d.remaining -= n
			emit(d.frame, b[:n], d.remaining == 0)
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
			emit(d.frame, nil, true)
		}
	}
	return nil
}
