// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package peernet

import (
	"context"
	"encoding/binary"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against a peer that sends large messages without their ends: each has a bound of its own, all
// together had none.
func TestUnfinishedMessagesAreBoundedTogether(t *testing.T) {
	const (
		streams  = 24
		eachMore = 1 << 20 // buffers of a stream
	)
	auth := NewSharedKey("server", "the shared key")
	r, s, tb := serve(t, auth)
	conn, err := dialPeer(context.Background(), NewSharedKey("faulty", "the shared key"), &Meter{}, "server", s.listener.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	session, err := clientSession(conn)
	if err != nil {
		t.Fatal(err)
	}
	defer session.Close()
	message := binary.AppendUvarint([]byte{streamFrames}, MaxMessage)
	message = append(message, make([]byte, MaxMessage-1)...)
	before := heapBytes()
	var written sync.WaitGroup
	for range streams {
		stream, err := session.OpenStream(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		written.Add(1)
		go func() {
			defer written.Done()
			_, _ = stream.Write(message) // fails if the server gives the stream up
		}()
	}
	written.Wait()
	if held := heapBytes() - before; held > MaxMessage+streams*eachMore {
		t.Errorf("%d messages of a peer hold %d MB, want %d MB at most", streams, held>>20, (MaxMessage+streams*eachMore)>>20)
	}
	link := linkTo(tb, s, NewSharedKey("client", "the shared key"), &Meter{})
	account := strings.Repeat("a", MaxMessage/2)
	link.Send(frame(account))
	if got := <-r.frames; got != "client/"+account {
		t.Errorf("got a frame of %d bytes, want one of %d", len(got), len(account))
	}
}
