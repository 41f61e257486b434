// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package peernet

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/libp2p/go-yamux/v5"
	"gopkg.in/tomb.v2"

	"madderway/modules/wire"
)

// blockingConn is a connection whose failed reads, or whose Close, block until the test
// closes release.
type blockingConn struct {
	net.Conn
	holdRead, holdClose bool
	release             chan struct{}
}

func (c *blockingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && c.holdRead {
		<-c.release
	}
	return n, err
}

func (c *blockingConn) Close() error {
	err := c.Conn.Close()
	if c.holdClose {
		<-c.release
	}
	return err
}

// sessions returns both ends of a session; the server's connection blocks.
func sessions(t *testing.T, held *blockingConn) (client, server *yamux.Session) {
	t.Helper()
	near, far := net.Pipe()
	held.Conn, held.release = far, make(chan struct{})
	client, err := clientSession(near)
	if err != nil {
		t.Fatal(err)
	}
	server, err = serverSession(held)
	if err != nil {
		t.Fatal(err)
	}
	return client, server
}

// Guards against reads that hang after the session has ended, even if yamux blocks.
func TestReadsEndWithSession(t *testing.T) {
	type end func(client, server *yamux.Session)
	endings := map[string]end{
		"closed here":  func(_, server *yamux.Session) { go server.Close() },
		"closed there": func(client, _ *yamux.Session) { _ = client.Close() },
	}
	for _, held := range []blockingConn{{}, {holdRead: true}, {holdClose: true}, {holdRead: true, holdClose: true}} {
		for name, ending := range endings {
			if name == "closed there" && held.holdRead {
				continue // this side learns of the end only when the read returns
			}
			t.Run(fmt.Sprintf("%s, read held %v, close held %v", name, held.holdRead, held.holdClose), func(t *testing.T) {
				held := held
				client, server := sessions(t, &held)
				reading, ended := make(chan struct{}, 8), make(chan error, 8)
				spawn := func(f func()) { go f() }
				go serveSession(server, spawn, func(stream net.Conn) {
					_, err := io.ReadFull(stream, make([]byte, 1))
					reading <- struct{}{}
					for err == nil {
						_, err = stream.Read(make([]byte, 16))
					}
					ended <- err
				})
				const streams = 3
				for range streams {
					stream, err := client.OpenStream(t.Context())
					if err != nil {
						t.Fatal(err)
					}
					if _, err := stream.Write([]byte{1}); err != nil {
						t.Fatal(err)
					}
					<-reading
				}
				ending(client, server)
				for range streams {
					select {
					case <-ended:
					case <-time.After(10 * time.Second):
						t.Error("read did not end with its session")
					}
				}
				close(held.release)
				_ = client.Close()
			})
		}
	}
}

// discarder is a Handler that ignores all frames.
type discarder struct{}

func (discarder) HandleFrame(string, *wire.Frame)           {}
func (discarder) HandleCall(string, *wire.Call) *wire.Reply { return &wire.Reply{Ok: true} }

// Guards against goroutine leaks when sessions are closed at random.
func TestCutSessionsLeakNoGoroutines(t *testing.T) {
	before := runtime.NumGoroutine()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tb := &tomb.Tomb{}
	const key = "the shared key"
	s := NewServer(tb, testLog, NewSharedKey("server", key), &Meter{}, l, discarder{})
	var links []*Link
	for i := range 8 {
		links = append(links, linkTo(tb, s, NewSharedKey(fmt.Sprint("client-", i), key), &Meter{}))
	}
	rng := rand.New(rand.NewPCG(5, 5))
	for range 400 {
		i := rng.IntN(len(links))
		links[i].Send(frame("a"))
		if rng.IntN(6) == 0 {
			s.Block(fmt.Sprint("client-", i), true)
			s.Block(fmt.Sprint("client-", i), false)
			links[i].Reconnect()
		}
		runtime.Gosched()
	}
	tb.Kill(nil)
	_ = tb.Wait()
	for end := time.Now().Add(10 * time.Second); runtime.NumGoroutine() > before; {
		if time.Now().After(end) {
			t.Fatalf("got %d goroutines, %d before", runtime.NumGoroutine(), before)
		}
		runtime.Gosched()
	}
}
