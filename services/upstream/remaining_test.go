// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package upstream

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"madderway/models/routing"
	"madderway/modules/clock"
)

// Guards against targets that work past the caller's deadline: they were told of the time that was left
// before the request waited for a connection.
func TestTargetIsToldTheTimeLeftAtTheWrite(t *testing.T) {
	told := make(chan string, 1)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		told <- r.Header.Get("Left")
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "yes")
	}))
	defer target.Close()
	c, p := newClient()
	now := clock.NewFake()
	p.clock = now
	r := request("r0", "x")
	r.Deadline = now.Now().Add(time.Second)
	r.Check = func() error {
		now.Advance(800 * time.Millisecond)
		return nil
	}
	a, err := c.Send(context.Background(), &routing.Target{ID: "t", Address: target.Listener.Addr().String()}, r)
	if err != nil {
		t.Fatal(err)
	}
	a.Close()
	if left := <-told; left != "200" {
		t.Errorf("the target was told of %s ms, want 200", left)
	}
}

// Guards against requests that a process sends although their deadline passed while it stood still, and
// against "may have run" said of them.
func TestRequestPastItsDeadlineIsNotSent(t *testing.T) {
	s := startTarget(t, func(int, int, string) scriptedAnswer { return scriptedAnswer{text: signedAnswer("r0", "body")} })
	c, p := newClient()
	now := clock.NewFake()
	p.clock = now
	r := request("r0", "x")
	r.Deadline = now.Now().Add(time.Second)
	now.Advance(1400 * time.Millisecond)
	checked := false
	r.Check = func() error {
		checked = true
		return nil
	}
	_, err := c.Send(context.Background(), s.target(), r)
	if e, ok := AsErrExchange(err); !ok || e.Sent {
		t.Errorf("got error %v, want an unsent exchange", err)
	}
	if checked {
		t.Error("a request past its deadline was about to be sent")
	}
}
