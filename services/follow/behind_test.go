// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"testing"
	"time"

	"madderway/models/routing"
)

// Guards against taking a list for the newest while a peer has announced a newer one, and against
// waiting for that peer once the list is known to be complete.
func TestBehindWhileAPeerHasANewerList(t *testing.T) {
	source := newFakeSource()
	source.version, source.targets = 5, []routing.Target{{ID: "a"}}
	h := start(t, source, fakePeers{})
	h.await()
	h.nextWatch()
	if _, behind := h.TargetsFreshAt(); behind {
		t.Error("behind before any announcement")
	}
	h.clock.Advance(time.Millisecond)
	h.ObservePeerVersions("peer", Versions{Targets: 6, TargetsAge: time.Minute})
	if _, behind := h.TargetsFreshAt(); !behind {
		t.Error("not behind although a peer has a newer list")
	}
	h.clock.Advance(time.Second)
	h.ObservePeerVersions("other", Versions{Targets: 5})
	if _, behind := h.TargetsFreshAt(); behind {
		t.Error("behind although the list was complete after the announcement")
	}
}
