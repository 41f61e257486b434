// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package entry

import (
	"testing"
	"time"
)

// Guards against requests that are refused while a scheduler that has just started knows no targets,
// and against asking such schedulers again and again.
func TestSchedulerWithoutTargetsIsPassedOver(t *testing.T) {
	f := setUp(t)
	unlisted := func(from string) RefusalSeen {
		return RefusalSeen{From: from, ID: 1, Elsewhere: true, Cell: "s/0", RetryAfter: time.Second}
	}
	f.Step(f.now, submit(1))
	if to := asked(f.after(time.Millisecond, unlisted(f.first))); to != f.second {
		t.Fatalf("asked %q after the first scheduler had no list, want %q", to, f.second)
	}
	if to := asked(f.after(time.Millisecond, submit(2))); to != f.second {
		t.Errorf("a new request asked %q, want %q", to, f.second)
	}
	if to := asked(f.after(unlistedPause, submit(3))); to != f.first {
		t.Errorf("asked %q after the pause, want %q", to, f.first)
	}
	f.Step(f.now, unlisted(f.second))
	to := asked(f.Step(f.now, unlisted(f.layout.Group("s/0").Schedulers()[2])))
	if to != f.self {
		t.Errorf("asked %q after all schedulers, want this gateway itself", to)
	}
	if r, ok := find[Refuse](f.Step(f.now, unlisted(f.self))); !ok || r.RetryAfter != time.Second {
		t.Errorf("got %+v, want the request refused once all were asked", r)
	}
	f.after(time.Minute, Tick{})
	if len(f.unlisted) > 0 {
		t.Errorf("%d schedulers remembered, want none", len(f.unlisted))
	}
}
