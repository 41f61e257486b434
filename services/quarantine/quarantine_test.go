// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"sync"
	"testing"
	"time"

	"gopkg.in/tomb.v2"

	"madderway/core/quarantine"
	"madderway/modules/clock"
	"madderway/modules/log"
)

func TestMain(m *testing.M) {
	log.Setup(io.Discard, 0)
	m.Run()
}

// archive is one in memory that can be away.
type archive struct {
	mu    sync.Mutex
	away  bool
	rows  map[quarantine.Fingerprint]quarantine.Record
	calls chan string // calls gets one name for each call.
}

var errAway = errors.New("away")

func newArchive() *archive {
	return &archive{rows: map[quarantine.Fingerprint]quarantine.Record{}, calls: make(chan string, 64)}
}

func (a *archive) call(name string, do func()) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer func() { a.calls <- name }()
	if a.away {
		return errAway
	}
	do()
	return nil
}

func (a *archive) setAway(away bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.away = away
}

// Records implements Archive.
func (a *archive) Records(context.Context) ([]quarantine.Record, error) {
	var out []quarantine.Record
	err := a.call("read", func() {
		for _, r := range a.rows {
			undated := r
			undated.Deaths = nil
			for _, d := range r.Deaths {
				undated.Deaths = append(undated.Deaths, quarantine.Death{Target: d.Target})
			}
			out = append(out, undated)
		}
	})
	return out, err
}

// Put implements Archive.
func (a *archive) Put(_ context.Context, r quarantine.Record) error {
	return a.call("put", func() { a.rows[r.Request] = r })
}

// Drop implements Archive.
func (a *archive) Drop(_ context.Context, requests []quarantine.Fingerprint) error {
	return a.call("drop", func() {
		for _, f := range requests {
			delete(a.rows, f)
		}
	})
}

func (a *archive) has(f quarantine.Fingerprint) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.rows[f]
	return ok
}

type fixture struct {
	*Service
	t     *tomb.Tomb
	clock *clock.Fake
	told  []quarantine.Record
}

func newFixture(t *testing.T, a *archive, empty bool) *fixture {
	f := &fixture{t: &tomb.Tomb{}, clock: clock.NewFake()}
	f.Service = New(log.New("quarantine"), Options{Clock: f.clock, Share: func(r quarantine.Record) { f.told = append(f.told, r) }})
	f.RunArchive(f.t, ArchiveOptions{Archive: a, IsReader: func() bool { return true }, FirstStart: empty})
	t.Cleanup(func() {
		f.t.Kill(nil)
		_ = f.t.Wait()
	})
	return f
}

// expect moves the clock until the archive is called.
func (f *fixture) expect(t *testing.T, a *archive, call string) {
	t.Helper()
	for {
		select {
		case got := <-a.calls:
			if got != call {
				t.Fatalf("the archive got %q, want %q", got, call)
			}
			return
		default:
		}
		if f.clock.PendingTimers() > 0 {
			f.clock.Advance(100 * time.Millisecond)
		}
		runtime.Gosched()
	}
}

func bad() quarantine.Identity {
	return quarantine.Identity{Account: "a", Method: "POST", Host: "h", URI: "/p", Body: []byte("x")}
}

func (f *fixture) end(id quarantine.Identity, targets int) {
	for i := range targets {
		f.clock.Advance(3 * time.Second)
		f.TargetDied(id, fmt.Sprint("t", i), f.clock.Now().Add(-time.Second))
	}
}

func (f *fixture) standing(id quarantine.Identity) quarantine.Standing {
	s, _ := f.Standing(id.Fingerprint())
	return s
}

// What is refused is written though the archive is away at first, is read by a process that
// knows nothing, refused there for its whole time again, told on, and dropped when it is over.
func TestRefusedRequestsOutliveTheProcess(t *testing.T) {
	a := newArchive()
	first := newFixture(t, a, true)
	a.setAway(true)
	first.end(bad(), quarantine.QuarantineThreshold)
	first.expect(t, a, "put")
	a.setAway(false)
	first.expect(t, a, "put")
	if !a.has(bad().Fingerprint()) {
		t.Fatal("nothing was kept")
	}
	a.setAway(true)
	next := newFixture(t, a, false)
	next.expect(t, a, "read")
	a.setAway(false)
	next.expect(t, a, "read")
	next.t.Kill(nil)
	_ = next.t.Wait()
	if got := next.standing(bad()); got != quarantine.Quarantined {
		t.Fatalf("the next process takes it for %v", got)
	}
	if len(next.told) != 1 {
		t.Errorf("%d records were told on", len(next.told))
	}
}

// A record that is over goes from the archive, by the gateway that keeps it first.
func TestWhatIsOverLeavesTheArchive(t *testing.T) {
	a := newArchive()
	f := newFixture(t, a, true)
	f.end(bad(), quarantine.QuarantineThreshold)
	f.expect(t, a, "put")
	f.clock.Advance(48 * time.Hour)
	f.Expire(func(quarantine.Fingerprint) bool { return false })
	if !a.has(bad().Fingerprint()) {
		t.Fatal("dropped by another gateway")
	}
	f.end(bad(), quarantine.QuarantineThreshold)
	f.expect(t, a, "put")
	f.clock.Advance(48 * time.Hour)
	f.Expire(func(quarantine.Fingerprint) bool { return true })
	f.expect(t, a, "drop")
	if a.has(bad().Fingerprint()) {
		t.Error("kept for ever")
	}
}

// A request that goes through is cleared here, elsewhere and in the archive.
func TestRunThatGoesThroughClears(t *testing.T) {
	a := newArchive()
	f := newFixture(t, a, true)
	f.end(bad(), quarantine.QuarantineThreshold)
	f.expect(t, a, "put")
	f.Succeeded(bad().Fingerprint())
	f.expect(t, a, "drop")
	if got := f.standing(bad()); got != quarantine.Unsuspected {
		t.Errorf("it is %v", got)
	}
	if last := f.told[len(f.told)-1]; !last.Deaths[0].Forgiven {
		t.Error("the others were not told")
	}
}

// While nothing is known of any request a look costs next to nothing: 3 ns.
func BenchmarkNothingKnown(b *testing.B) {
	s := New(log.New("quarantine"), Options{Clock: clock.System{}})
	id := bad()
	b.ReportAllocs()
	for b.Loop() {
		s.Knows(id)
	}
}

// What is refused is written once more where the archive may have lost it; what is only
// suspected never was there.
func TestRefusedRequestsAreKeptAgain(t *testing.T) {
	a := newArchive()
	f := newFixture(t, a, true)
	f.end(bad(), quarantine.QuarantineThreshold)
	f.expect(t, a, "put")
	other := bad()
	other.URI = "/suspect"
	f.end(other, quarantine.ShareThreshold)
	a.mu.Lock()
	clear(a.rows)
	a.mu.Unlock()
	f.RewriteArchive()
	f.expect(t, a, "put")
	if !a.has(bad().Fingerprint()) || a.has(other.Fingerprint()) {
		t.Error("not what is refused was written again")
	}
}
