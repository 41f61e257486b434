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

// Guards against a server that is taken for alive, as it was before its response ended.
func TestEarlierProbeDoesNotShowLife(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e, address := NewExitDetector(), l.Addr().String()
	if exited, known := e.ExitedNow(context.Background(), "w", address); exited || !known {
		t.Errorf("running server: got exited %t, known %t; want false, true", exited, known)
	}
	_ = l.Close()
	if exited, known := e.ExitedNow(context.Background(), "w", address); !exited || !known {
		t.Errorf("right after its exit: got exited %t, known %t; want true, true", exited, known)
	}
	if exited, _ := e.Exited(context.Background(), "w", address); !exited {
		t.Error("a probe that found the exit is not shared")
	}
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
	if exited, known := NewExitDetector().ExitedNow(context.Background(), "w", l.Addr().String()); !exited || !known {
		t.Errorf("got exited %t, known %t; want true, true", exited, known)
	}
	<-dying
}
