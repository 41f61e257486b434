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

// fakeArchive is an archive in memory that can be down.
type fakeArchive struct {
	mu    sync.Mutex
	down  bool
	rows  map[quarantine.Fingerprint]quarantine.Record
	parts map[quarantine.Part]quarantine.PartRecord
	calls chan string // names of the calls
}

var errDown = errors.New("away")

func newArchive() *fakeArchive {
	return &fakeArchive{rows: map[quarantine.Fingerprint]quarantine.Record{}, parts: map[quarantine.Part]quarantine.PartRecord{}, calls: make(chan string, 64)}
}

func (a *fakeArchive) call(name string, do func()) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer func() { a.calls <- name }()
	if a.down {
		return errDown
	}
	do()
	return nil
}

func (a *fakeArchive) setDown(away bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = away
}

// Records implements Archive.
func (a *fakeArchive) Records(context.Context) ([]quarantine.Record, []quarantine.PartRecord, error) {
	var out []quarantine.Record
	var parts []quarantine.PartRecord
	err := a.call("read", func() {
		for _, r := range a.rows {
			undated := r
			undated.Deaths = nil
			for _, d := range r.Deaths {
				undated.Deaths = append(undated.Deaths, quarantine.Death{Target: d.Target})
			}
			out = append(out, undated)
		}
		for _, r := range a.parts {
			undated := r
			undated.Deaths = nil
			for _, d := range r.Deaths {
				undated.Deaths = append(undated.Deaths, quarantine.PartDeath{Target: d.Target})
			}
			parts = append(parts, undated)
		}
	})
	return out, parts, err
}

// PutPart implements Archive.
func (a *fakeArchive) PutPart(_ context.Context, r quarantine.PartRecord) error {
	return a.call("put part", func() { a.parts[r.Part] = r })
}

// DropParts implements Archive.
func (a *fakeArchive) DropParts(_ context.Context, parts []quarantine.Part) error {
	return a.call("drop parts", func() {
		for _, p := range parts {
			delete(a.parts, p)
		}
	})
}

// Put implements Archive.
func (a *fakeArchive) Put(_ context.Context, r quarantine.Record) error {
	return a.call("put", func() { a.rows[r.Request] = r })
}

// Drop implements Archive.
func (a *fakeArchive) Drop(_ context.Context, requests []quarantine.Fingerprint) error {
	return a.call("drop", func() {
		for _, f := range requests {
			delete(a.rows, f)
		}
	})
}

func (a *fakeArchive) has(f quarantine.Fingerprint) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.rows[f]
	return ok
}

type fixture struct {
	*Service
	t      *tomb.Tomb
	clock  *clock.Fake
	shared []quarantine.Record
}

func newFixture(t *testing.T, a *fakeArchive, empty bool) *fixture {
	f := &fixture{t: &tomb.Tomb{}, clock: clock.NewFake()}
	f.Service = New(log.New("quarantine"), Options{Clock: f.clock, Share: func(r quarantine.Record) { f.shared = append(f.shared, r) }, SharePart: func(quarantine.PartNews) {}})
	f.RunArchive(f.t, ArchiveOptions{Archive: a, IsReader: func() bool { return true }, FirstStart: empty})
	t.Cleanup(func() {
		f.t.Kill(nil)
		_ = f.t.Wait()
	})
	return f
}

// expectCall advances the clock until the archive is called, and checks the call.
func (f *fixture) expectCall(t *testing.T, a *fakeArchive, call string) {
	t.Helper()
	for {
		select {
		case got := <-a.calls:
			if got != call {
				t.Fatalf("got archive call %q, want %q", got, call)
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

func poisonRequest() quarantine.Identity {
	return quarantine.Identity{Account: "a", Method: "POST", Host: "h", URI: "/p", Body: []byte("x")}
}

func (f *fixture) killTargets(id quarantine.Identity, targets int) {
	for i := range targets {
		f.clock.Advance(3 * time.Second)
		f.TargetDied(id, fmt.Sprint("t", i), f.clock.Now().Add(-time.Second))
	}
}

func (f *fixture) standing(id quarantine.Identity) quarantine.Standing {
	s, _ := f.Standing(id.Fingerprint())
	return s
}

// onePart is a prompt with one shared part.
type onePart struct{}

func (onePart) PromptParts() []quarantine.Part { return []quarantine.Part{5} }

// countedPrompt counts how often its parts are asked for.
type countedPrompt struct{ asked int }

func (p *countedPrompt) PromptParts() []quarantine.Part {
	p.asked++
	return []quarantine.Part{5}
}

// Guards against work for requests while no part is suspected.
func TestUnsuspectedPromptIsNotLookedAt(t *testing.T) {
	f := newFixture(t, newArchive(), true)
	prompt := &countedPrompt{}
	allocations := testing.AllocsPerRun(100, func() {
		a := f.NewAttempt(quarantine.Identity{URI: "/p"}, prompt)
		if a.Check() != nil {
			t.Error("refused")
		}
		a.Answered()
		a.Succeeded()
		a.End()
	})
	if allocations != 0 || prompt.asked != 0 {
		t.Errorf("got %v allocations for a request, and %d looks at its prompt, want none", allocations, prompt.asked)
	}
}

// A refused part must be in the archive, be refused again by a process that reads it, and leave the
// archive once it is answered.
func TestRefusedPartIsArchived(t *testing.T) {
	a := newArchive()
	f := newFixture(t, a, true)
	for i := range quarantine.PartThreshold {
		f.clock.Advance(2 * time.Second)
		died := f.NewAttempt(quarantine.Identity{URI: fmt.Sprint(i)}, onePart{})
		died.TargetDied(fmt.Sprint("t", i), f.clock.Now().Add(-time.Second), false)
	}
	f.expectCall(t, a, "put part")
	later := newFixture(t, a, false)
	later.expectCall(t, a, "read")
	for later.Parts().RefusedCount() == 0 {
		runtime.Gosched()
	}
	deaths := len(later.Parts().Shared()[0].Deaths)
	later.clock.Advance(time.Minute)
	later.readArchive(later.t, a)
	if again := len(later.Parts().Shared()[0].Deaths); again != deaths {
		t.Errorf("got %d deaths after another read of the archive, want %d", again, deaths)
	}
	<-a.calls
	attempt := later.NewAttempt(quarantine.Identity{URI: "/other"}, onePart{})
	if err := attempt.Check(); err == nil {
		t.Error("the part is not refused after a restart")
	}
	attempt.Answered()
	later.expectCall(t, a, "drop parts")
	if len(a.parts) != 0 {
		t.Errorf("got %d parts in the archive after an answer, want 0", len(a.parts))
	}
}

// Guards against a quarantined request that is forgotten if the archive is down at first or if
// the gateway restarts.
func TestQuarantineSurvivesRestart(t *testing.T) {
	a := newArchive()
	first := newFixture(t, a, true)
	a.setDown(true)
	first.killTargets(poisonRequest(), quarantine.QuarantineThreshold)
	first.expectCall(t, a, "put")
	a.setDown(false)
	first.expectCall(t, a, "put")
	if !a.has(poisonRequest().Fingerprint()) {
		t.Fatal("request is not in the archive")
	}
	a.setDown(true)
	next := newFixture(t, a, false)
	next.expectCall(t, a, "read")
	a.setDown(false)
	next.expectCall(t, a, "read")
	next.t.Kill(nil)
	_ = next.t.Wait()
	if got := next.standing(poisonRequest()); got != quarantine.Quarantined {
		t.Fatalf("standing after a restart is %v, want quarantined", got)
	}
	if len(next.shared) != 1 {
		t.Errorf("shared %d records, want 1", len(next.shared))
	}
}

// Guards against expired records that stay in the archive, or are deleted by a gateway that is
// not the first one of the record.
func TestExpiredRecordIsDeletedFromArchive(t *testing.T) {
	a := newArchive()
	f := newFixture(t, a, true)
	f.killTargets(poisonRequest(), quarantine.QuarantineThreshold)
	f.expectCall(t, a, "put")
	f.clock.Advance(48 * time.Hour)
	f.Expire(func(quarantine.Fingerprint) bool { return false })
	if !a.has(poisonRequest().Fingerprint()) {
		t.Fatal("record was deleted by a gateway that is not its first one")
	}
	f.killTargets(poisonRequest(), quarantine.QuarantineThreshold)
	f.expectCall(t, a, "put")
	f.clock.Advance(48 * time.Hour)
	f.Expire(func(quarantine.Fingerprint) bool { return true })
	f.expectCall(t, a, "drop")
	if a.has(poisonRequest().Fingerprint()) {
		t.Error("expired record is still in the archive")
	}
}

// Guards against a request that succeeds and stays quarantined here, elsewhere or in the archive.
func TestSuccessClearsRequest(t *testing.T) {
	a := newArchive()
	f := newFixture(t, a, true)
	f.killTargets(poisonRequest(), quarantine.QuarantineThreshold)
	f.expectCall(t, a, "put")
	f.Succeeded(poisonRequest().Fingerprint())
	f.expectCall(t, a, "drop")
	if got := f.standing(poisonRequest()); got != quarantine.Unsuspected {
		t.Errorf("standing is %v, want unsuspected", got)
	}
	if last := f.shared[len(f.shared)-1]; !last.Deaths[0].Forgiven {
		t.Error("success was not shared")
	}
}

// The check of each request must cost almost nothing while the table is empty.
func BenchmarkKnowsEmptyTable(b *testing.B) {
	s := New(log.New("quarantine"), Options{Clock: clock.System{}})
	id := poisonRequest()
	b.ReportAllocs()
	for b.Loop() {
		s.Knows(id)
	}
}

// Guards against quarantined requests that a restored archive lacks, and suspects written to it.
func TestRewriteArchiveWritesQuarantinedOnly(t *testing.T) {
	a := newArchive()
	f := newFixture(t, a, true)
	f.killTargets(poisonRequest(), quarantine.QuarantineThreshold)
	f.expectCall(t, a, "put")
	other := poisonRequest()
	other.URI = "/suspect"
	f.killTargets(other, quarantine.ShareThreshold)
	a.mu.Lock()
	clear(a.rows)
	a.mu.Unlock()
	f.RewriteArchive()
	f.expectCall(t, a, "put")
	if !a.has(poisonRequest().Fingerprint()) || a.has(other.Fingerprint()) {
		t.Error("rewritten records are not exactly the quarantined ones")
	}
}
