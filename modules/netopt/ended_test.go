// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package netopt

import (
	"context"
	"net"
	"testing"
)

// A server that cuts a connection and lives on takes the next connect; one that has ended
// refuses it. One that starts again at the address is another one, so that it is asked anew
// once the finding is old.
func TestEndedServerRefusesConnects(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e, address := NewExitDetector(), l.Addr().String()
	if ended, known := e.Ended(context.Background(), "w@1", address); ended || !known {
		t.Errorf("a server that lives: ended %t, known %t", ended, known)
	}
	_ = l.Close()
	if ended, known := e.Ended(context.Background(), "w@2", address); !ended || !known {
		t.Errorf("a server that has ended: ended %t, known %t", ended, known)
	}
	over, cancel := context.WithCancel(context.Background())
	cancel()
	e.findings["w@3"] = &finding{done: make(chan struct{})}
	if ended, known := e.Ended(over, "w@3", address); ended || known {
		t.Error("something is known that nobody has found out")
	}
}
