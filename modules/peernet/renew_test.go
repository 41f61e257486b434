// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package peernet

import (
	"context"
	"net"
	"testing"
	"time"

	"gopkg.in/tomb.v2"

	"madderway/modules/wire"
)

// silentListener accepts connections and sends nothing, like a machine that lost power
// after accepting.
func silentListener(t *testing.T) (string, <-chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan net.Conn, 4)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	return l.Addr().String(), accepted
}

// Guards against waiting out the backoff for a peer that is known to be back.
func TestResetBackoffRedialsAtOnce(t *testing.T) {
	r, s, tb := serve(t, NewSharedKey("server", "the shared key"))
	link := linkTo(tb, s, NewSharedKey("client", "the shared key"), &Meter{})
	address := link.address
	link.address = "127.0.0.1:1" // a closed port
	for range 4 {
		link.mu.Lock()
		link.retryAt = time.Time{}
		link.mu.Unlock()
		if _, err := link.Call(context.Background(), &wire.Call{}); err == nil {
			t.Fatal("call to a closed port succeeded")
		}
	}
	link.mu.Lock()
	link.address, link.retryAt = address, time.Now().Add(time.Hour)
	link.mu.Unlock()
	if _, err := link.Call(context.Background(), &wire.Call{}); err == nil {
		t.Fatal("call during the backoff succeeded")
	}
	link.ResetBackoff()
	link.Send(frame("a"))
	if got := <-r.frames; got != "client/a" {
		t.Errorf("got %s, want client/a", got)
	}
}

// Guards against frames on an old connection after the peer has restarted.
func TestReconnectUsesNewConnection(t *testing.T) {
	old, before, tb := serve(t, NewSharedKey("server", "the shared key"))
	fresh, after, _ := serve(t, NewSharedKey("server", "the shared key"))
	link := linkTo(tb, before, NewSharedKey("client", "the shared key"), &Meter{})
	link.Send(frame("a"))
	<-old.frames
	link.SetAddress(after.listener.Addr().String())
	link.Send(frame("b"))
	if got := <-old.frames; got != "client/b" {
		t.Fatalf("old connection: got %s, want client/b", got)
	}
	link.Reconnect()
	link.Send(frame("c"))
	if got := <-fresh.frames; got != "client/c" {
		t.Errorf("new connection: got %s, want client/c", got)
	}
}

// Guards against blocking the caller while the link is in a dial.
func TestReconnectDoesNotBlock(t *testing.T) {
	address, accepted := silentListener(t)
	tb := &tomb.Tomb{}
	link := NewLink(tb, LinkOptions{Auth: NewSharedKey("client", "the shared key"), Meter: &Meter{}, PeerID: "server", Address: address, DialTimeout: time.Second, QueueSize: 4})
	link.Send(frame("a"))
	conn := <-accepted // the link now waits for the peer's hello
	done := make(chan struct{})
	go func() {
		link.Reconnect()
		link.ResetBackoff()
		close(done)
	}()
	<-done
	_ = conn.Close()
	tb.Kill(nil)
	_ = tb.Wait()
}
