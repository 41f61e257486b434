// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package head

import (
	"math/rand"
	"testing"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

// store is a fake table of the head row and the operations' rows.
type store struct {
	head    Row
	version uint64
	ops     map[string]Operation
	applied map[string]int
	late    []func()
}

func newStore() *store { return &store{ops: map[string]Operation{}, applied: map[string]int{}} }

func (s *store) commit(w WriteHead) bool {
	if _, done := s.ops[w.Head.Operation]; done || s.version != w.IfVersion {
		return false
	}
	s.version++
	s.head = w.Head
	s.ops[w.Head.Operation] = Operation{w.Head.Version, w.Head.Hash}
	s.applied[w.Head.Operation]++
	return true
}

func (s *store) observe(op string) Observed {
	o := Observed{Head: s.head, HeadVersion: s.version}
	if done, ok := s.ops[op]; ok {
		o.Done = &done
	}
	return o
}

// write commits, delays or drops a transaction and loses results, at random.
func (s *store) write(rng *rand.Rand, w WriteHead) Result {
	switch rng.Intn(5) {
	case 0:
		return ResultUnavailable
	case 1:
		s.commit(w)
		return ResultUnknown
	case 2:
		s.late = append(s.late, func() { s.commit(w) })
		return ResultUnknown
	}
	if s.commit(w) {
		return ResultOK
	}
	return ResultConflict
}

// An operation takes effect twice, or the operator gets a wrong outcome, when
// transactions are delayed and their results lost.
func TestRacingOperationsApplyOnce(t *testing.T) {
	for seed := range int64(3000) {
		rng := rand.New(rand.NewSource(seed))
		s := newStore()
		subs := map[string]*Submission{"op-a": NewSubmission("ha", "a", "op-a", AnyBase, epoch), "op-b": NewSubmission("hb", "b", "op-b", 0, epoch)}
		next := map[string]SubmitAction{}
		for op, sub := range subs {
			next[op] = sub.Begin()
		}
		for range 60 {
			op := []string{"op-a", "op-b"}[rng.Intn(2)]
			if len(s.late) > 0 && rng.Intn(3) == 0 {
				s.late[0]()
				s.late = s.late[1:]
			}
			switch a := next[op].(type) {
			case ReadHead:
				next[op] = subs[op].OnRead(rng.Intn(6) > 0, s.observe(op))
			case WriteHead:
				next[op] = subs[op].OnWritten(s.write(rng, a))
			}
		}
		for _, f := range s.late {
			f()
		}
		for op, end := range next {
			switch e := end.(type) {
			case Accepted:
				if s.applied[op] != 1 || s.ops[op].Version != e.Version {
					t.Fatalf("seed %d: %s accepted as %d, applied %d times", seed, op, e.Version, s.applied[op])
				}
			case Conflict:
				if s.applied[op] != 0 {
					t.Fatalf("seed %d: %s took effect despite a conflict", seed, op)
				}
			}
			if s.applied[op] > 1 {
				t.Fatalf("seed %d: %s took effect %d times", seed, op, s.applied[op])
			}
		}
	}
}

func fetched(actions []FollowAction) (Version, bool) {
	for _, a := range actions {
		if f, ok := a.(Fetch); ok {
			return f.Version, true
		}
	}
	return Version{}, false
}

func TestVersionNeverDecreases(t *testing.T) {
	f := NewFollower(epoch, time.Minute)
	f.Step(epoch, HeadSeen{Version{5, "h5"}, true})
	f.Step(epoch, Loaded{Version{5, "h5"}})
	for _, ev := range []FollowEvent{HeadSeen{Version{4, "h4"}, true}, PeerVersionSeen{"p", Version{3, "h3"}}, Loaded{Version{4, "h4"}}} {
		if _, ok := fetched(f.Step(epoch, ev)); ok || f.Version().Number != 5 {
			t.Fatalf("%+v: got version %+v or a fetch, want 5", ev, f.Version())
		}
	}
	if v, ok := fetched(f.Step(epoch, PeerVersionSeen{"p", Version{6, "h6"}})); !ok || v.Number != 6 {
		t.Fatal("a peer's higher version was not followed")
	}
}

func TestStartWithoutStoreNeedsPeerQuorum(t *testing.T) {
	f := NewFollower(epoch, time.Minute)
	if _, ok := fetched(f.Step(epoch, PeerVersionSeen{"p1", Version{7, "h7"}})); ok {
		t.Fatal("followed a single peer")
	}
	if _, ok := fetched(f.Step(epoch, PeerVersionSeen{"p2", Version{6, "h6"}})); ok {
		t.Fatal("followed two peers that disagree")
	}
	if f.Admits(epoch) {
		t.Fatal("admits without a configuration")
	}
	if v, ok := fetched(f.Step(epoch, PeerVersionSeen{"p2", Version{7, "h7"}})); !ok || v.Number != 7 {
		t.Fatal("did not follow two peers that agree")
	}
	f.Step(epoch, Loaded{Version{7, "h7"}})
	if !f.Admits(epoch) {
		t.Fatal("does not admit with a current configuration")
	}
}

func TestIsolatedRouterStopsAdmitting(t *testing.T) {
	f := NewFollower(epoch, 10*time.Second)
	f.Step(epoch, HeadSeen{Version{1, "h"}, true})
	f.Step(epoch, Loaded{Version{1, "h"}})
	if !f.Admits(epoch.Add(10 * time.Second)) {
		t.Fatal("stopped admitting before the isolation time")
	}
	if f.Admits(epoch.Add(11 * time.Second)) {
		t.Fatal("admits after the isolation time without store and peers")
	}
	f.Step(epoch.Add(12*time.Second), PeerVersionSeen{"p", Version{1, "h"}})
	if !f.Admits(epoch.Add(12 * time.Second)) {
		t.Fatal("does not admit after contact with a peer")
	}
}

func TestFailedFetchIsRetried(t *testing.T) {
	f := NewFollower(epoch, time.Minute)
	f.Step(epoch, HeadSeen{Version{1, "h"}, true})
	if _, ok := fetched(f.Step(epoch, FollowTick{})); ok {
		t.Fatal("fetched again while a fetch is in progress")
	}
	f.Step(epoch, LoadFailed{Version{1, "h"}})
	if _, ok := fetched(f.Step(epoch, FollowTick{})); !ok {
		t.Fatal("did not fetch again after a failure")
	}
}

// Guards against a configuration that is reported as in force while routers that are cut off together
// keep each other admitting by an older one: contact with a peer that has not heard of the head row
// either tells nothing of it.
func TestRoutersCutOffTogetherStopAdmitting(t *testing.T) {
	const isolation = 10 * time.Second
	pair := []*Follower{NewFollower(epoch, isolation), NewFollower(epoch, isolation)}
	for _, f := range pair {
		f.Step(epoch, HeadSeen{Version{1, "h"}, true})
		f.Step(epoch, Loaded{Version{1, "h"}})
	}
	for at := time.Second; at <= 2*isolation; at += time.Second {
		pair[0].Step(epoch.Add(at), PeerVersionSeen{"b", pair[1].Version()})
		pair[1].Step(epoch.Add(at), PeerVersionSeen{"a", pair[0].Version()})
	}
	for i, f := range pair {
		if f.Admits(epoch.Add(2 * isolation)) {
			t.Errorf("router %d admits %v after the head row was last read by either", i, 2*isolation)
		}
	}
}

// Guards against a router that wakes, reads what lay in its sockets and takes it for contact: the
// configuration may have been reported as in force everywhere while it stood still.
func TestMessageFromBeforeAStandstillIsNoContact(t *testing.T) {
	f := NewFollower(epoch, 10*time.Second)
	f.Step(epoch, HeadSeen{Version{1, "h"}, true})
	f.Step(epoch, Loaded{Version{1, "h"}})
	woke := epoch.Add(20 * time.Second)
	f.Step(woke, PeerVersionSeen{"p", Version{1, "h"}}) // sent at epoch
	if f.Admits(woke) {
		t.Error("admits after a message that was sent before the standstill")
	}
}
