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
	// writeTimeout bounds a blocked write before the connection is closed.
	writeTimeout = 5 * time.Second
	// rttInterval is the interval of yamux's round-trip measurements, which it uses to grow
	// windows. Frames are small, so the first measurement suffices.
	rttInterval = time.Hour
	// closeTimeout bounds the wait for the peer to read the last frames of an idle
	// connection.
	closeTimeout = time.Second
)

// pastDeadline is a deadline that cancels pending reads and writes.
var pastDeadline = time.Unix(1, 0)

func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false // heartbeats detect dead peers
	cfg.MeasureRTTInterval = rttInterval
	cfg.LogOutput = io.Discard
	cfg.ConnectionWriteTimeout = writeTimeout
	return cfg
}

func clientSession(conn net.Conn) (*yamux.Session, error) {
	return yamux.Client(&asyncCloseConn{Conn: conn}, yamuxConfig(), nil)
}

func serverSession(conn net.Conn) (*yamux.Session, error) {
	return yamux.Server(&asyncCloseConn{Conn: conn}, yamuxConfig(), nil)
}

// asyncCloseConn is a connection whose Close never blocks. yamux closes the connection
// before it signals the end of the session.
type asyncCloseConn struct {
	net.Conn
	once sync.Once
}

// Close implements net.Conn. It closes in the background and returns no error.
func (c *asyncCloseConn) Close() error {
	c.once.Do(func() { go func() { _ = c.Conn.Close() }() })
	return nil
}

// closeAfterRead closes a stream of frames and waits until the peer has read them all.
// yamux buffers writes and drops the buffer at the end of the session.
func closeAfterRead(stream *yamux.Stream) {
	if stream.CloseWrite() != nil || stream.SetReadDeadline(netopt.DeadlineIn(closeTimeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, stream)
}

// serveSession serves the streams of a session until it ends, and then aborts all pending
// reads. yamux does so only after the connection is closed and its goroutines have ended,
// which may take long.
func serveSession(session *yamux.Session, spawn func(func()), serve func(net.Conn)) {
	open := streamSet{streams: map[*yamux.Stream]bool{}}
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			open.abortReads()
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

func (s *streamSet) abortReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for stream := range s.streams {
		_ = stream.SetReadDeadline(pastDeadline)
	}
}
