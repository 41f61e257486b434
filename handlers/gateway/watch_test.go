// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// earlyByteConn has a byte to read. It runs during just before a deadline takes effect.
type earlyByteConn struct {
	net.Conn
	during func()
	read   chan struct{}
}

func (c *earlyByteConn) Read(p []byte) (int, error) {
	p[0] = 'P'
	close(c.read)
	return 1, nil
}

func (c *earlyByteConn) SetReadDeadline(time.Time) error {
	c.during()
	return nil
}

// Guards against a connection that waits for ever when the next request comes at the moment at which
// the HTTP server stops watching it.
func TestWatchEndsWhenNextRequestComesEarly(t *testing.T) {
	const watchdog = 20 * time.Second
	ended := make(chan error, 1)
	raw := &earlyByteConn{read: make(chan struct{})}
	c := &callerConn{countedConn: &countedConn{Conn: raw}, stopWatch: make(chan struct{}, 1)}
	raw.during = func() {
		go func() {
			_, err := c.watchForClose(make([]byte, 1))
			ended <- err
		}()
		<-raw.read
	}
	if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("got %v, want a timeout", err)
		}
	case <-time.After(watchdog):
		t.Fatal("the watch does not end")
	}
}
