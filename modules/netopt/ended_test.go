// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package netopt

import (
	"context"
	"net"
	"testing"
)

// Guards against taking a lost connection for an exit of the server.
func TestExitedServerRefusesConnects(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e, address := NewExitDetector(), l.Addr().String()
	if exited, known := e.Exited(context.Background(), "w@1", address); exited || !known {
		t.Errorf("running server: got exited %t, known %t; want false, true", exited, known)
	}
	_ = l.Close()
	if exited, known := e.Exited(context.Background(), "w@2", address); !exited || !known {
		t.Errorf("exited server: got exited %t, known %t; want true, true", exited, known)
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	e.probes["w@3"] = &probe{done: make(chan struct{})}
	if exited, known := e.Exited(canceled, "w@3", address); exited || known {
		t.Error("canceled context: got a result of an unfinished probe")
	}
}

// Guards against a server that is taken for alive, as it was before its response ended, and against one
// that is taken for gone, as it was before it was started again.
func TestEarlierProbeDoesNotTell(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e, address := NewExitDetector(), l.Addr().String()
	expect := func(what string, want bool) {
		t.Helper()
		if exited, known := e.ExitedNow(context.Background(), address); exited != want || !known {
			t.Errorf("%s: got exited %t, known %t; want %t, true", what, exited, known, want)
		}
	}
	expect("running server", false)
	_, _ = e.Exited(context.Background(), "w", address)
	_ = l.Close()
	expect("right after its exit", true)
	_, _ = e.Exited(context.Background(), "w", address)
	again, err := net.Listen("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	expect("right after its restart", false)
}

// Guards against a server that is taken for alive, as its listening socket is the last one to be closed.
func TestConnectionOfDyingServerDoesNotShowLife(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dying := make(chan struct{})
	go func() {
		defer close(dying)
		conn, err := l.Accept()
		_ = l.Close()
		if err == nil {
			_ = conn.Close()
		}
	}()
	if exited, known := NewExitDetector().ExitedNow(context.Background(), l.Addr().String()); !exited || !known {
		t.Errorf("got exited %t, known %t; want true, true", exited, known)
	}
	<-dying
}
