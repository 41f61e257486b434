// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package upstream

import (
	"context"
	"net"
	"testing"
	"time"

	"madderway/models/routing"
	"madderway/modules/netopt"
)

// A target that cuts a connection and lives on takes the next connect; one that has ended
// refuses it. One that starts again at the address is another one, so that it is asked anew
// once the finding is old.
func TestEndedTargetRefusesConnects(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := NewClient(NewPool(func() time.Duration { return endedTime }, 1, &netopt.Traffic{}), nil)
	target := &routing.Target{ID: "w@1", Address: l.Addr().String()}
	if ended, known := c.HasEnded(context.Background(), target); ended || !known {
		t.Errorf("a target that lives: ended %t, known %t", ended, known)
	}
	_ = l.Close()
	next := &routing.Target{ID: "w@2", Address: target.Address}
	if ended, known := c.HasEnded(context.Background(), next); !ended || !known {
		t.Errorf("a target that has ended: ended %t, known %t", ended, known)
	}
	over, cancel := context.WithCancel(context.Background())
	cancel()
	c.endings.findings["w@3"] = &finding{done: make(chan struct{})}
	if ended, known := c.HasEnded(over, &routing.Target{ID: "w@3"}); ended || known {
		t.Error("something is known that nobody has found out")
	}
}
