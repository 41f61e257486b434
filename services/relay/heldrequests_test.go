// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package relay

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"madderway/modules/log"
)

// Guards against a gateway that begins requests without end: each was held up to a bound of its own, all
// together up to 2 GB for each gateway.
func TestRequestsBeingReceivedAreBoundedTogether(t *testing.T) {
	const (
		requests = 400
		limit    = 16 << 20
		piece    = 32 << 10
		pieces   = maxRequestSize/piece - 1
	)
	s := NewServer(log.New("relay"), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }), limit, noVersion)
	near, far := net.Pipe()
	defer near.Close()
	ended := make(chan struct{})
	before := heapBytes()
	go func() {
		defer close(ended)
		s.HandleRelay("peer", far)
	}()
	go func() { _, _ = io.Copy(io.Discard, near) }()
	send := func(k kind, number uint32, payload string) {
		b := make([]byte, HeaderSize, HeaderSize+len(payload))
		putHeader(b, k, number, len(payload))
		if _, err := near.Write(append(b, payload...)); err != nil {
			t.Fatal(err)
		}
	}
	filler := strings.Repeat("x", piece)
	for range pieces {
		for n := range uint32(requests) {
			send(kindData, n+1, filler)
		}
	}
	if held := heapBytes() - before; held > 2*limit {
		t.Errorf("%d requests hold %d MB, want %d MB at most", requests, held>>20, limit>>20)
	}
	_ = near.Close()
	<-ended
	if held, inFlight := s.held.Held(), s.InFlight(); held != 0 || inFlight != 0 {
		t.Errorf("after the connection: %d bytes held, %d requests in flight", held, inFlight)
	}
}
