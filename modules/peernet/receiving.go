// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package peernet

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"

	"github.com/libp2p/go-yamux/v5"
	"google.golang.org/protobuf/proto"
)

const (
	// smallMessage is the size in bytes up to which a message is not counted while it is received.
	smallMessage = 64 << 10
	// maxReceivingOfPeer bounds the larger messages of a peer that are being received.
	maxReceivingOfPeer = MaxMessage
	// maxReceiving bounds those of all peers.
	maxReceiving = 4 * MaxMessage
)

// errTooManyReceiving reports that a message does not fit beside those that are being received.
var errTooManyReceiving = fmt.Errorf("messages of over %d bytes are being received", smallMessage)

// receiving counts the bytes of large messages that are being received.
type receiving struct {
	mu    sync.Mutex
	total int
	peers map[string]int // no zeros
}

func (r *receiving) reserve(peer string, n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.total+n > maxReceiving || r.peers[peer]+n > maxReceivingOfPeer {
		return false
	}
	r.total += n
	r.peers[peer] += n
	return true
}

func (r *receiving) release(peer string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total -= n
	if r.peers[peer] -= n; r.peers[peer] == 0 {
		delete(r.peers, peer)
	}
}

// resetStream ends a stream on which a message was not read. Its sender would wait for it to be read
// otherwise.
func resetStream(stream net.Conn) {
	if s, ok := stream.(*yamux.Stream); ok {
		_ = s.Reset() // fails only if the session has ended
	}
}

// readMessage reads a message of a peer, if it fits beside those that are being received.
func (s *Server) readMessage(peer string, r *bufio.Reader, m proto.Message) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > MaxMessage {
		return fmt.Errorf("a message of %d bytes", size)
	}
	n := int(size)
	if n > smallMessage {
		if !s.receiving.reserve(peer, n) {
			s.log.Warn("Dropped a stream of a peer.", "peer", peer, "bytes", n, "error", errTooManyReceiving)
			return errTooManyReceiving
		}
		defer s.receiving.release(peer, n)
	}
	if n <= r.Size() {
		b, err := r.Peek(n)
		if err != nil {
			return err
		}
		err = proto.Unmarshal(b, m)
		_, _ = r.Discard(n) // never fails for bytes that were peeked
		return err
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return err
	}
	return proto.Unmarshal(b, m)
}
