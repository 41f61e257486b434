// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package netopt

import (
	"errors"
	"io"
	"net"
	"runtime"
	"syscall"
	"testing"
)

// dialKeeping returns both ends of a connection, of which the own one keeps its errors.
func dialKeeping(t *testing.T) (own net.Conn, peer *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	own, err = ReportErrorsToRead((&net.Dialer{}).DialContext)(t.Context(), "tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = own.Close() })
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return own, accepted.(*net.TCPConn)
}

func resetConn(t *testing.T, c *net.TCPConn) {
	t.Helper()
	if err := c.SetLinger(0); err != nil {
		t.Fatal(err)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
}

// writeUntilError writes more than the peer, which reads nothing, can receive.
func writeUntilError(c net.Conn) error {
	piece := make([]byte, 1<<20)
	for {
		if _, err := c.Write(piece); err != nil {
			return err
		}
	}
}

const sentData = "data"

// peekUntilEnd peeks until there is no more to read. Peek reports no errors.
func peekUntilEnd(c net.Conn) error {
	for Peek(c) == PeekEmpty {
		runtime.Gosched()
	}
	return nil
}

// Guards against a reset that Read reports as the end of the peer's data since another call got the error, and against
// the end of the data that Read reports as a reset.
func TestReadTellsResetFromEndOfData(t *testing.T) {
	writeTwice := func(c net.Conn) error { _ = writeUntilError(c); return writeUntilError(c) }
	noCall := func(net.Conn) error { return nil }
	for name, c := range map[string]struct {
		ended     bool                 // the peer ends its data before the reset
		otherCall func(net.Conn) error // before the reads that follow the data
		otherErr  error                // of otherCall
	}{
		"reset":                       {false, noCall, nil},
		"reset, got by write":         {false, writeUntilError, syscall.ECONNRESET},
		"reset, got by first write":   {false, writeTwice, syscall.EPIPE},
		"reset, got by peek":          {false, peekUntilEnd, nil},
		"end and reset":               {true, noCall, nil},
		"end and reset, got by write": {true, writeUntilError, syscall.EPIPE},
		"end and reset, peeked":       {true, peekUntilEnd, nil},
	} {
		t.Run(name, func(t *testing.T) {
			own, peer := dialKeeping(t)
			if _, err := io.WriteString(peer, sentData); err != nil {
				t.Fatal(err)
			}
			if c.ended {
				if err := peer.CloseWrite(); err != nil {
					t.Fatal(err)
				}
			}
			resetConn(t, peer)
			got := make([]byte, len(sentData))
			if _, err := io.ReadFull(own, got); err != nil || string(got) != sentData {
				t.Fatalf("got %q, error %v; want %q", got, err, sentData)
			}
			if err := c.otherCall(own); !errors.Is(err, c.otherErr) {
				t.Fatalf("other call: got error %v, want %v", err, c.otherErr)
			}
			for range 2 {
				_, err := own.Read(got)
				if c.ended && err != io.EOF || !c.ended && !errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("got error %v after the data", err)
				}
			}
		})
	}
}
