// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package head

import (
	"math/rand"
	"testing"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

// store is the head row and the operations' rows.
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

// write loses answers and delays writes at random.
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

// Operators race with lost answers and late writes: each operation takes
// effect at most once, and what the operator is told is the truth.
func TestRacingOperators(t *testing.T) {
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
					t.Fatalf("seed %d: %s was told of a conflict and took effect", seed, op)
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

func TestNeverGoesBack(t *testing.T) {
	f := NewFollower(epoch, time.Minute)
	f.Step(epoch, HeadSeen{Version{5, "h5"}, true})
	f.Step(epoch, Loaded{Version{5, "h5"}})
	for _, ev := range []FollowEvent{HeadSeen{Version{4, "h4"}, true}, PeerVersionSeen{"p", Version{3, "h3"}}, Loaded{Version{4, "h4"}}} {
		if _, ok := fetched(f.Step(epoch, ev)); ok || f.Version().Number != 5 {
			t.Fatalf("%+v: went to %+v", ev, f.Version())
		}
	}
	if v, ok := fetched(f.Step(epoch, PeerVersionSeen{"p", Version{6, "h6"}})); !ok || v.Number != 6 {
		t.Fatal("a peer's higher version was not followed")
	}
}

func TestStartWithNoMemoryWhileStoreIsDown(t *testing.T) {
	f := NewFollower(epoch, time.Minute)
	if _, ok := fetched(f.Step(epoch, PeerVersionSeen{"p1", Version{7, "h7"}})); ok {
		t.Fatal("one peer alone was believed")
	}
	if _, ok := fetched(f.Step(epoch, PeerVersionSeen{"p2", Version{6, "h6"}})); ok {
		t.Fatal("two peers that disagree were believed")
	}
	if f.Admits(epoch) {
		t.Fatal("admits without a configuration")
	}
	if v, ok := fetched(f.Step(epoch, PeerVersionSeen{"p2", Version{7, "h7"}})); !ok || v.Number != 7 {
		t.Fatal("two peers that agree were not believed")
	}
	f.Step(epoch, Loaded{Version{7, "h7"}})
	if !f.Admits(epoch) {
		t.Fatal("does not admit with a configuration in force")
	}
}

func TestIsolatedRouterStopsAdmitting(t *testing.T) {
	f := NewFollower(epoch, 10*time.Second)
	f.Step(epoch, HeadSeen{Version{1, "h"}, true})
	f.Step(epoch, Loaded{Version{1, "h"}})
	if !f.Admits(epoch.Add(10 * time.Second)) {
		t.Fatal("stopped too early")
	}
	if f.Admits(epoch.Add(11 * time.Second)) {
		t.Fatal("admits without store and peers")
	}
	f.Step(epoch.Add(12*time.Second), PeerVersionSeen{"p", Version{1, "h"}})
	if !f.Admits(epoch.Add(12 * time.Second)) {
		t.Fatal("a peer was reached, but nothing is admitted")
	}
}

func TestFetchIsTriedAgain(t *testing.T) {
	f := NewFollower(epoch, time.Minute)
	f.Step(epoch, HeadSeen{Version{1, "h"}, true})
	if _, ok := fetched(f.Step(epoch, FollowTick{})); ok {
		t.Fatal("fetched twice at once")
	}
	f.Step(epoch, LoadFailed{Version{1, "h"}})
	if _, ok := fetched(f.Step(epoch, FollowTick{})); !ok {
		t.Fatal("not fetched again after a failure")
	}
}
