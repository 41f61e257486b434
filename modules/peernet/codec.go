// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package peernet

import (
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// MaxMessage is the maximum size of a received message, in bytes.
const MaxMessage = 8 << 20

// writeMessage writes a length-delimited message in one write.
func writeMessage(w io.Writer, m proto.Message) error {
	_, err := protodelim.MarshalTo(singleWriter{w}, m)
	return err
}

// singleWriter marks the need for one write per message, which protodelim provides.
type singleWriter struct{ io.Writer }

func readMessage(r protodelim.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: MaxMessage}.UnmarshalFrom(r, m)
}

// byteReader reads without buffering, so that the bytes after a handshake stay in the
// connection.
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
