// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package peernet

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/libp2p/go-yamux/v5"

	"madderway/modules/netopt"
)

const (
	// writeTimeout is how long a peer may not read before its connection is given up;
	// its heartbeats have been missed for twice as long by then.
	writeTimeout = 5 * time.Second
	// measureRTTEvery is how often yamux measures a round trip after its first one. It
	// wants the figure for windows that grow; frames here need no more than the first.
	measureRTTEvery = time.Hour
	// closeTime is how long a peer may take to confirm that it has read the last frame
	// of a connection that is no longer used.
	closeTime = time.Second
)

// past is a deadline that is over.
var past = time.Unix(1, 0)

func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false // the fleet's own heartbeats tell who lives
	cfg.MeasureRTTInterval = measureRTTEvery
	cfg.LogOutput = io.Discard
	cfg.ConnectionWriteTimeout = writeTimeout
	return cfg
}

func clientSession(conn net.Conn) (*yamux.Session, error) {
	return yamux.Client(&promptConn{Conn: conn}, yamuxConfig(), nil)
}

func serverSession(conn net.Conn) (*yamux.Session, error) {
	return yamux.Server(&promptConn{Conn: conn}, yamuxConfig(), nil)
}

// promptConn is a connection whose Close never waits: yamux closes it before it tells
// anybody that the session has ended.
type promptConn struct {
	net.Conn
	once sync.Once
}

// Close implements net.Conn. Its error tells nothing that anybody could act on.
func (c *promptConn) Close() error {
	c.once.Do(func() { go func() { _ = c.Conn.Close() }() })
	return nil
}

// closeAfterLast ends the stream on which frames were sent once the peer has read them
// all: yamux's writes return before anything is sent, and the end of a session drops
// what waits.
func closeAfterLast(stream *yamux.Stream) {
	if stream.CloseWrite() != nil || stream.SetReadDeadline(netopt.DeadlineIn(closeTime)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, stream)
}

// serveSession passes the streams of a session on until it ends, and then ends all
// reads that still wait. The library ends them once the connection is closed and its
// own goroutines are done; a reader must not depend on that. With another library, whose
// readers looked again and again until then, a process with one core read for ever.
func serveSession(session *yamux.Session, spawn func(func()), serve func(net.Conn)) {
	open := streamSet{streams: map[*yamux.Stream]bool{}}
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			open.endReads()
			return
		}
		open.add(stream)
		spawn(func() {
			defer open.close(stream)
			serve(stream)
		})
	}
}

// streamSet holds the open streams of a session.
type streamSet struct {
	mu      sync.Mutex
	streams map[*yamux.Stream]bool
}

func (s *streamSet) add(stream *yamux.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[stream] = true
}

func (s *streamSet) close(stream *yamux.Stream) {
	_ = stream.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, stream)
}

func (s *streamSet) endReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for stream := range s.streams {
		_ = stream.SetReadDeadline(past)
	}
}
