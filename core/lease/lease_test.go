// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package lease

import (
	"testing"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

func TestFreeLeaseIsTakenAtOnce(t *testing.T) {
	l := New(DefaultConfig(), "r1", 1, false)
	w, ok := l.OnRead(epoch, true, Row{}, 0).(WriteRow)
	if !ok || w.Row.Epoch != 1 || w.IfVersion != 0 {
		t.Fatalf("got %+v, want a write of epoch 1 if absent", w)
	}
	if g, ok := l.OnWritten(epoch, ResultOK).(GiveOrder); !ok || g.Epoch != 1 {
		t.Fatal("no order after the lease was written")
	}
}

// A target that does not check epochs gets orders from two holders at once.
func TestNewHolderWaitsForOldLease(t *testing.T) {
	cfg := DefaultConfig()
	old := Row{Holder: "r1", Incarnation: 1, Epoch: 4}
	l := New(cfg, "r2", 1, false)
	now := epoch
	for now.Sub(epoch) < cfg.Duration+cfg.Grace {
		if _, waits := l.OnRead(now, true, old, 9).(ReadRow); !waits {
			t.Fatalf("did not wait after %v", now.Sub(epoch))
		}
		now = now.Add(readRetryDelay)
	}
	if w, ok := l.OnRead(now, true, old, 9).(WriteRow); !ok || w.Row.Epoch != 5 || w.IfVersion != 9 {
		t.Fatal("did not take the expired lease")
	}
	// The same holds for the holder's own earlier incarnation.
	if _, waits := New(cfg, "r1", 2, false).OnRead(epoch, true, old, 9).(ReadRow); !waits {
		t.Fatal("a restarted holder did not wait for the lease of its earlier incarnation")
	}
}

func TestCheckingTargetIsFencedByEpoch(t *testing.T) {
	l := New(DefaultConfig(), "r2", 1, true)
	w, ok := l.OnRead(epoch, true, Row{Holder: "r1", Epoch: 4}, 9).(WriteRow)
	if !ok || w.Row.Epoch != 5 {
		t.Fatalf("got %+v, want an immediate write of epoch 5", w)
	}
}

// A holder that was paused sends an order after its lease expired.
func TestPausedHolderGivesNoOrder(t *testing.T) {
	cfg := DefaultConfig()
	l := New(cfg, "r1", 1, false)
	l.OnRead(epoch, true, Row{}, 0)
	late := epoch.Add(cfg.Duration)
	if _, ok := l.OnWritten(late, ResultOK).(GiveUp); !ok {
		t.Fatal("an order was permitted after a pause as long as the lease")
	}
	l = New(cfg, "r1", 1, false)
	l.OnRead(epoch, true, Row{}, 0)
	g, ok := l.OnWritten(epoch, ResultOK).(GiveOrder)
	if !ok || !l.MaySend(epoch, g) {
		t.Fatal("no order permitted right after the lease was taken")
	}
	if l.MaySend(late, g) {
		t.Fatal("MaySend permits an order after the lease expired")
	}
}

func TestLostWriteResultIsRead(t *testing.T) {
	l := New(DefaultConfig(), "r1", 1, false)
	w := l.OnRead(epoch, true, Row{}, 0).(WriteRow)
	if _, ok := l.OnWritten(epoch, ResultUnknown).(ReadRow); !ok {
		t.Fatal("no read after a write with unknown result")
	}
	if _, ok := l.OnRead(epoch, true, w.Row, 1).(GiveOrder); !ok {
		t.Fatal("the own row did not permit the order")
	}
}
