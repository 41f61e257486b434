// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package peernet

import (
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// MaxMessage is the size of the largest message, in bytes.
const MaxMessage = 8 << 20

// writeMessage sends a message and its length in one write.
func writeMessage(w io.Writer, m proto.Message) error {
	_, err := protodelim.MarshalTo(singleWriter{w}, m)
	return err
}

// singleWriter marks a writer whose writes must not be split; protodelim makes one
// write per message already.
type singleWriter struct{ io.Writer }

func readMessage(r protodelim.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: MaxMessage}.UnmarshalFrom(r, m)
}

// byteReader reads single bytes without reading ahead, so that what follows a
// handshake stays in the connection.
type byteReader struct {
	io.Reader
	one [1]byte
}

func newByteReader(r io.Reader) *byteReader { return &byteReader{Reader: r} }

// ReadByte implements io.ByteReader.
func (r *byteReader) ReadByte() (byte, error) {
	_, err := io.ReadFull(r.Reader, r.one[:])
	return r.one[0], err
}
