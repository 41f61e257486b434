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

// silentListener takes connections and says nothing, as a machine that lost power
// after it had accepted.
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

// A peer that was away for long is reached at once when it has been heard from,
// not when the pause between two attempts is over.
func TestResetBackoffRedialsAtOnce(t *testing.T) {
	r, s, tb := serve(t, NewSharedKey("server", "the shared key"))
	link := linkTo(tb, s, NewSharedKey("client", "the shared key"), &Meter{})
	address := link.address
	link.address = "127.0.0.1:1" // nobody listens there
	for range 4 {
		link.mu.Lock()
		link.retryAt = time.Time{}
		link.mu.Unlock()
		if _, err := link.Call(context.Background(), &wire.Call{}); err == nil {
			t.Fatal("reached nobody")
		}
	}
	link.mu.Lock()
	link.address, link.retryAt = address, time.Now().Add(time.Hour)
	link.mu.Unlock()
	if _, err := link.Call(context.Background(), &wire.Call{}); err == nil {
		t.Fatal("the pause was not kept")
	}
	link.ResetBackoff()
	link.Send(frame("a"))
	if got := <-r.frames; got != "client/a" {
		t.Errorf("got %s", got)
	}
}

// After the peer has begun a new life, frames take a new connection, though the old
// one looks sound.
func TestReconnectUsesNewConnection(t *testing.T) {
	old, before, tb := serve(t, NewSharedKey("server", "the shared key"))
	fresh, after, _ := serve(t, NewSharedKey("server", "the shared key"))
	link := linkTo(tb, before, NewSharedKey("client", "the shared key"), &Meter{})
	link.Send(frame("a"))
	<-old.frames
	link.SetAddress(after.listener.Addr().String())
	link.Send(frame("b"))
	if got := <-old.frames; got != "client/b" {
		t.Fatalf("got %s on the old connection", got)
	}
	link.Reconnect()
	link.Send(frame("c"))
	if got := <-fresh.frames; got != "client/c" {
		t.Errorf("got %s on the new connection", got)
	}
}

// A link that hears nothing while it is told of a new life does not make the
// caller wait.
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
