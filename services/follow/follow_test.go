// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"time"

	"gopkg.in/tomb.v2"

	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/modules/log"
)

// fakeSource answers reads from its fields. Watches block until a channel delivers a change or
// the context ends.
type fakeSource struct {
	mu       sync.Mutex
	reads    int
	watches  chan routing.Revision // the revision that each watch of targets began after
	changes  chan watchAnswer
	config   *routing.Configuration
	halls    []HallChange
	targets  []routing.Target
	version  routing.Revision
	operator chan OperatorUpdate // answers to watches of the operator's settings
	release  chan struct{}       // delays the answers to reads of targets; optional
}

type watchAnswer struct {
	changes  []TargetChange
	revision routing.Revision
	err      error
}

func newFakeSource() *fakeSource {
	return &fakeSource{watches: make(chan routing.Revision, 64), changes: make(chan watchAnswer), operator: make(chan OperatorUpdate)}
}

func (f *fakeSource) Operator(context.Context) (OperatorUpdate, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return OperatorUpdate{Configuration: f.config, Halls: f.halls, Stamp: Stamp{Revision: f.version}}, nil
}

func (f *fakeSource) WatchOperator(ctx context.Context, since routing.Revision, _ time.Duration) (OperatorUpdate, error) {
	select {
	case update := <-f.operator:
		return update, nil
	case <-ctx.Done():
		return OperatorUpdate{Stamp: Stamp{Revision: since}}, ctx.Err()
	}
}

func (f *fakeSource) Targets(context.Context) (TargetUpdate, error) {
	f.mu.Lock()
	f.reads++
	update := TargetUpdate{Targets: f.targets, Stamp: Stamp{Revision: f.version}}
	f.mu.Unlock()
	if f.release != nil {
		<-f.release
	}
	return update, nil
}

func (f *fakeSource) WatchTargets(ctx context.Context, since routing.Revision, _ time.Duration) (TargetUpdate, error) {
	f.watches <- since
	select {
	case a := <-f.changes:
		return TargetUpdate{Changes: a.changes, Stamp: Stamp{Revision: a.revision}}, a.err
	case <-ctx.Done():
		return TargetUpdate{Stamp: Stamp{Revision: since}}, ctx.Err()
	}
}

func (f *fakeSource) readCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads
}

type fakePeers map[string][]byte

func (f fakePeers) FetchState(_ context.Context, peer string, want StateRequest) ([]byte, error) {
	if want.Targets {
		return f[peer+"/targets"], nil
	}
	return f[peer], nil
}

type harness struct {
	*Service
	tomb    tomb.Tomb
	source  *fakeSource
	clock   *clock.Fake
	changed chan struct{}
}

func start(t *testing.T, source *fakeSource, peers Peers) *harness {
	t.Helper()
	return startWith(t, source, peers, nil)
}

func startWith(t *testing.T, source *fakeSource, peers Peers, leavers LeavingTargets) *harness {
	t.Helper()
	h := &harness{source: source, clock: clock.NewFake(), changed: make(chan struct{}, 64)}
	h.Service = New(&h.tomb, log.New("test"), Options{
		Source: source, Peers: peers, LeavingTargets: leavers, Clock: h.clock, Fleet: func() (bool, int) { return true, 3 }, Seed: true, OnChange: func() { h.changed <- struct{}{} },
	})
	h.Start()
	t.Cleanup(func() {
		h.tomb.Kill(nil)
		_ = h.tomb.Wait()
	})
	return h
}

// nextWatch advances the clock until the next watch of targets and returns its revision.
func (h *harness) nextWatch() routing.Revision {
	for {
		select {
		case since := <-h.source.watches:
			return since
		default:
			h.clock.Advance(minRecheck)
		}
	}
}

// await advances the clock until the next change.
func (h *harness) await() {
	for {
		select {
		case <-h.changed:
			return
		default:
			h.clock.Advance(minRecheck)
		}
	}
}

// Guards against reading an empty table again and again instead of watching it.
func TestEmptyTableIsWatched(t *testing.T) {
	h := start(t, newFakeSource(), nil)
	if since := h.nextWatch(); since != 0 {
		t.Fatalf("watch began after revision %d, want 0", since)
	}
	if n := h.source.readCount(); n != 1 {
		t.Errorf("%d reads of an empty table, want 1", n)
	}
}

func TestHistoryGoneReadsAll(t *testing.T) {
	source := newFakeSource()
	source.version, source.targets = 5, []routing.Target{{ID: "a"}}
	h := start(t, source, nil)
	h.nextWatch()
	h.await()
	source.mu.Lock()
	source.version, source.targets = 9, []routing.Target{{ID: "b"}}
	source.mu.Unlock()
	source.changes <- watchAnswer{err: ErrHistoryGone}
	h.await()
	// The harness advances the clock: after a long silence a is held for a while, and the
	// end of the hold is another change.
	if h.Targets().Find("a") != nil {
		h.await()
	}
	if set := h.Targets(); set.Find("a") != nil || set.Find("b") == nil || set.Revision != 9 {
		t.Errorf("targets %+v after the history was gone, want only b at revision 9", set)
	}
	if since := h.nextWatch(); since != 9 {
		t.Errorf("watch continues after revision %d, want 9", since)
	}
}

func TestOlderChangeDoesNotUndoNewer(t *testing.T) {
	source := newFakeSource()
	source.version, source.targets = 5, []routing.Target{{ID: "a"}}
	h := start(t, source, nil)
	h.await()
	h.nextWatch()
	source.changes <- watchAnswer{revision: 8, changes: []TargetChange{
		{ID: "a", Revision: 7, Target: routing.Target{ID: "a", Leaving: true}}, {ID: "b", Revision: 8, Target: routing.Target{ID: "b"}},
	}}
	h.await()
	if set := h.Targets(); !set.Find("a").Leaving || set.Find("b") == nil || set.Revision != 8 {
		t.Fatalf("targets %+v, want a leaving and b at revision 8", set)
	}
	h.nextWatch()
	// An older change is delivered late.
	source.changes <- watchAnswer{revision: 8, changes: []TargetChange{{ID: "a", Revision: 6, Target: routing.Target{ID: "a"}}}}
	h.nextWatch()
	if !h.Targets().Find("a").Leaving {
		t.Error("an older change was applied over a newer one")
	}
}

func TestVersionsNeverGoBack(t *testing.T) {
	source := newFakeSource()
	source.config = &routing.Configuration{Version: 7}
	h := start(t, source, nil)
	h.await()
	h.adopt(&routing.Configuration{Version: 6}, "peer")
	if v := h.Versions().Configuration; v != 7 {
		t.Errorf("version %d after adopting an older one, want 7", v)
	}
}

// Guards against an old configuration while the store rejects this gateway but not its peers.
func TestConfigurationFromPeer(t *testing.T) {
	newer, err := json.Marshal(routing.Configuration{Version: 9})
	if err != nil {
		t.Fatal(err)
	}
	source := newFakeSource()
	source.config = &routing.Configuration{Version: 7}
	h := start(t, source, fakePeers{"peer": newer})
	h.await()
	h.ObservePeerVersions("peer", Versions{Configuration: 9})
	for {
		select {
		case <-h.changed:
			if v := h.Versions().Configuration; v != 9 {
				t.Errorf("version %d, want 9", v)
			}
			return
		default:
			h.clock.Advance(minRecheck)
		}
	}
}

// A peer that announces a newer configuration is asked for it. The announcement says nothing of the age
// of the copies.
func TestAnnouncedConfigurationIsFetched(t *testing.T) {
	newer, err := json.Marshal(routing.Configuration{Version: 9})
	if err != nil {
		t.Fatal(err)
	}
	source := newFakeSource()
	source.config = &routing.Configuration{Version: 7}
	h := start(t, source, fakePeers{"peer": newer})
	h.await()
	for h.nextWatch(); ; h.clock.Advance(minRecheck) {
		h.mu.Lock()
		fresh := !h.watchConfiguration.FreshAt().IsZero()
		h.mu.Unlock()
		if fresh {
			break
		}
	}
	h.clock.Advance(time.Minute)
	before := h.clock.Now()
	h.ObservePeerConfiguration("peer", 7)
	h.ObservePeerConfiguration("peer", 9)
	h.await()
	if v := h.Versions().Configuration; v != 9 {
		t.Errorf("got version %d, want 9", v)
	}
	if h.FreshSince(before) {
		t.Error("the copies count as fresh since the announcement")
	}
	if _, fetches := h.CallCounts(); fetches != 1 {
		t.Errorf("got %d fetches, want 1", fetches)
	}
}

func TestNewerTargetsFromPeer(t *testing.T) {
	set, err := json.Marshal(targetState{Revision: 12, Changes: []TargetChange{{ID: "a", Revision: 12, Target: routing.Target{ID: "a", Leaving: true}}}})
	if err != nil {
		t.Fatal(err)
	}
	source := newFakeSource()
	source.config = &routing.Configuration{Version: 7}
	source.version, source.targets = 5, []routing.Target{{ID: "a"}}
	h := start(t, source, fakePeers{"peer/targets": set})
	h.await()
	h.await()
	h.ObservePeerVersions("peer", Versions{Targets: 12})
	for {
		select {
		case <-h.changed:
			if got := h.Targets(); got.Revision != 12 || !got.Find("a").Leaving {
				t.Errorf("targets %+v, want a leaving at revision 12", got)
			}
			return
		default:
			h.clock.Advance(minRecheck)
		}
	}
}

// Guards against a leaving target that gets work again during an outage because a peer has an
// older list, or that is held after its removal.
func TestLeavingTargetStaysLeavingDuringOutage(t *testing.T) {
	source := newFakeSource()
	source.version, source.targets = 5, []routing.Target{{ID: "a"}, {ID: "b"}}
	older, err := json.Marshal(targetState{Revision: 6, Whole: true, Changes: []TargetChange{{ID: "a", Revision: 5, Target: routing.Target{ID: "a"}}}})
	if err != nil {
		t.Fatal(err)
	}
	h := start(t, source, fakePeers{"peer/targets": older})
	h.await()
	h.nextWatch()
	source.changes <- watchAnswer{revision: 8, changes: []TargetChange{{ID: "a", Revision: 8, Target: routing.Target{ID: "a", Leaving: true}}}}
	h.await()
	for range 20 { // an outage of many seconds
		h.nextWatch()
		source.changes <- watchAnswer{err: errors.New("the store is down")}
	}
	h.ObservePeerVersions("peer", Versions{Targets: 6, TargetsAge: time.Minute}) // the peer cannot reach the store either
	if a := h.Targets().Find("a"); a == nil || !a.Leaving {
		t.Fatalf("targets %+v during the outage, want a leaving", h.Targets().ByService(""))
	}
	h.nextWatch()
	source.changes <- watchAnswer{revision: 9, changes: []TargetChange{{ID: "a", Revision: 9, Gone: true}, {ID: "b", Revision: 9, Gone: true}}}
	h.await()
	if set := h.Targets(); set.Find("a") != nil || set.Find("b") == nil {
		t.Errorf("targets %+v after the outage, want b held and a gone", set.ByService(""))
	}
}

// Guards against a stale answer taken for fresh after this process was suspended during a call.
func TestSlowAnswerIsAsOldAsItsCall(t *testing.T) {
	began := time.Unix(1_700_000_000, 0)
	for took, age := range map[time.Duration]time.Duration{
		10 * time.Millisecond:         10 * time.Millisecond,
		900 * time.Millisecond:        assumedAnswerAge,
		maxCallTime:                   assumedAnswerAge,
		maxCallTime + time.Nanosecond: maxCallTime + time.Nanosecond,
		8 * time.Second:               8 * time.Second,
	} {
		now := began.Add(took)
		if got := now.Sub(answeredAt(began, now)); got != age {
			t.Errorf("answer after %v has age %v, want %v", took, got, age)
		}
	}
}
