// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package peernet

import (
	"context"
	"errors"
	"net"
	"testing"

	"gopkg.in/tomb.v2"

	"madderway/modules/wire"
)

// flakyListener fails the first accepts, as when file descriptors run out.
type flakyListener struct {
	net.Listener
	failures int
}

func (f *flakyListener) Accept() (net.Conn, error) {
	if f.failures > 0 {
		f.failures--
		return nil, errors.New("too many open files")
	}
	return f.Listener.Accept()
}

// Guards against a process that ends since a connection of a peer could not be accepted.
func TestServerRetriesFailedAccept(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tb := &tomb.Tomb{}
	t.Cleanup(func() {
		tb.Kill(nil)
		if err := tb.Wait(); err != nil {
			t.Errorf("the process ended: %v", err)
		}
	})
	s := NewServer(tb, testLog, NewSharedKey("server", "the shared key"), &Meter{}, &flakyListener{l, 3}, discarder{})
	call := &wire.Call{Body: &wire.Call_StateFetch{StateFetch: &wire.StateFetch{}}}
	if _, err := linkTo(tb, s, NewSharedKey("client", "the shared key"), &Meter{}).Call(context.Background(), call); err != nil {
		t.Errorf("call after failed accepts: %v", err)
	}
}
