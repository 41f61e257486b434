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
