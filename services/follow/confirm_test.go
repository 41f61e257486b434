// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"errors"
	"testing"
	"time"

	"gopkg.in/tomb.v2"

	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/modules/log"
)

// Guards against confirming a list by a read that began before the call, and against an error that
// counts as a confirmation.
func TestConfirmReadsAfterTheCall(t *testing.T) {
	var c confirmations
	started, release := make(chan int), make(chan error)
	reads := 0
	read := func() error {
		reads++
		started <- reads
		return <-release
	}
	first := c.join(read)
	<-started
	second, third := c.join(read), c.join(read)
	release <- nil
	<-first.done
	<-started
	select {
	case <-second.done:
		t.Error("a call ended by a read that began before it")
	default:
	}
	failed := errors.New("the store is away")
	release <- failed
	<-second.done
	<-third.done
	if first.err != nil || !errors.Is(second.err, failed) || !errors.Is(third.err, failed) || reads != 2 {
		t.Errorf("got errors %v, %v, %v after %d reads, want none, failed, failed after 2", first.err, second.err, third.err, reads)
	}
}

// newConfirming returns a service that does not poll and has read a list as of a revision.
func newConfirming(t *testing.T, source Source, revision routing.Revision, targets ...routing.Target) (*Service, *clock.Fake) {
	t.Helper()
	var tb tomb.Tomb
	c := clock.NewFake()
	s := New(&tb, log.New("test"), Options{Source: source, Clock: c, Fleet: func() (bool, int) { return true, 3 }, OnChange: func() {}})
	s.replaceTargets(TargetUpdate{Targets: targets, Stamp: Stamp{Revision: revision}}, c.Now())
	s.callSucceeded(s.watchTargets, c.Now(), 0)
	t.Cleanup(func() { tb.Kill(nil) })
	return s, c
}

// Guards against a confirmation that does not apply what it read.
func TestConfirmAppliesChanges(t *testing.T) {
	source := newFakeSource()
	s, _ := newConfirming(t, source, 5, incarnation("a", 100, false))
	confirmed := make(chan error)
	go func() { confirmed <- s.Confirm(t.Context()) }()
	if since := <-source.watches; since != 5 {
		t.Errorf("got a read of changes since %d, want 5", since)
	}
	source.changes <- watchAnswer{revision: 6, changes: []TargetChange{change(6, incarnation("a", 200, false))}}
	if err := <-confirmed; err != nil || s.Targets().Find(routing.TargetID("a", 200)) == nil {
		t.Errorf("got error %v and targets %+v, want the new incarnation", err, s.Targets().ByService(""))
	}
}

// confirmBy confirms with an answer of the store and returns the revision after which changes were read.
func confirmBy(t *testing.T, s *Service, source *fakeSource, a watchAnswer) (since routing.Revision, err error) {
	t.Helper()
	confirmed := make(chan error)
	go func() { confirmed <- s.confirmTargets(t.Context()) }()
	since = <-source.watches
	source.changes <- a
	return since, <-confirmed
}

// Guards against asking for changes since the last change of the list: the store forgets that history.
func TestConfirmContinuesFromLastAnswer(t *testing.T) {
	source := newFakeSource()
	s, _ := newConfirming(t, source, 5, routing.Target{ID: "a"})
	if _, err := confirmBy(t, s, source, watchAnswer{revision: 50}); err != nil {
		t.Fatal(err)
	}
	if since, err := confirmBy(t, s, source, watchAnswer{revision: 60}); err != nil || since != 50 {
		t.Errorf("after an answer as of 50: got a read since %d, error %v", since, err)
	}
	s.ObservePeerVersions("peer", Versions{Targets: 5, TargetsComplete: 70})
	if since, err := confirmBy(t, s, source, watchAnswer{revision: 80}); err != nil || since != 70 {
		t.Errorf("after a peer's list as of 70: got a read since %d, error %v", since, err)
	}
	s.observePeer(Versions{Targets: 90, TargetsComplete: 100})
	if since, err := confirmBy(t, s, source, watchAnswer{revision: 110}); err != nil || since != 80 {
		t.Errorf("a peer has changes that are not known here: got a read since %d, error %v, want 80", since, err)
	}
}

// Guards against a confirmation that fails for as long as the list does not change.
func TestConfirmWithoutHistoryReadsAll(t *testing.T) {
	source := newFakeSource()
	s, _ := newConfirming(t, source, 5, routing.Target{ID: "a"})
	source.version, source.targets = 9, []routing.Target{{ID: "a"}, {ID: "b"}}
	if _, err := confirmBy(t, s, source, watchAnswer{err: ErrHistoryGone}); err != nil || s.Targets().Find("b") == nil {
		t.Errorf("got error %v and targets %+v, want the whole list", err, s.Targets().ByService(""))
	}
}

// Guards against a list taken for complete while entries that expired in an outage are not back.
func TestUnsettledListIsNotConfirmed(t *testing.T) {
	source := newFakeSource()
	s, c := newConfirming(t, source, 5, routing.Target{ID: "a"})
	c.Advance(10 * time.Second)
	if _, err := confirmBy(t, s, source, watchAnswer{revision: 6}); !errors.Is(err, errUnsettled) {
		t.Errorf("right after a long silence: got error %v, want errUnsettled", err)
	}
	for range 3 {
		c.Advance(time.Second)
		if _, err := confirmBy(t, s, source, watchAnswer{revision: 7}); err != nil && !errors.Is(err, errUnsettled) {
			t.Fatal(err)
		}
	}
	if _, err := confirmBy(t, s, source, watchAnswer{revision: 8}); err != nil {
		t.Errorf("three seconds later: got error %v", err)
	}
	if _, err := confirmBy(t, s, source, watchAnswer{err: errors.New("the store is away")}); err == nil {
		t.Error("the store is away: got no error")
	}
}

// Guards against reads for streams that come back which grow like the fleet.
func TestConfirmationsOfLargeFleetAreBounded(t *testing.T) {
	const span = 10 * time.Second
	for _, members := range []int{3, 9, 320, 1970} {
		start := time.Unix(1_700_000_000, 0)
		reads, last := 0, time.Time{}
		for now := start; now.Before(start.Add(span)); now = now.Add(time.Millisecond) {
			if confirmWait(now, last, members) == 0 {
				reads, last = reads+1, now
			}
		}
		if total, most := reads*members, int(span.Seconds())*maxConfirmsPerSecond+members; total > most {
			t.Errorf("%d gateways: got %d reads in %v, want %d at most", members, total, span, most)
		}
	}
}

// Guards against callers whose list is not confirmed although the store answers, slowly or to many gateways.
func TestConfirmationsComeWithinTheWait(t *testing.T) {
	const every, span = 10 * time.Millisecond, 10 * time.Second
	for _, members := range []int{3, 9, 64, 320, 1970} {
		for _, answer := range []time.Duration{5 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
			start, patience := time.Unix(1_700_000_000, 0), confirmTimeout+confirmInterval(members)
			last, idle, calls, confirmed := time.Time{}, start, 0, 0
			for call := start; call.Before(start.Add(span)); {
				begin := call
				if idle.After(begin) {
					begin = idle
				}
				begin = begin.Add(confirmWait(begin, last, members))
				for ; !call.After(begin); call = call.Add(every) {
					calls++
					if begin.Add(answer).Sub(call) <= patience {
						confirmed++
					}
				}
				last, idle = begin, begin.Add(answer)
			}
			if confirmed < calls {
				t.Errorf("%d gateways, answers in %v: %d of %d callers are confirmed", members, answer, confirmed, calls)
			}
		}
	}
}

// Guards against a list that is confirmed by an answer of a store which was restored meanwhile, or of the time
// before that.
func TestAnswerOfOtherEraConfirmsNothing(t *testing.T) {
	for what, revision := range map[string]routing.Revision{"a later era": routing.NewRevision(3, 4), "an earlier era": routing.NewRevision(1, 90)} {
		source := newFakeSource()
		s, _ := newConfirming(t, source, routing.NewRevision(2, 50), routing.Target{ID: "a"})
		if _, err := confirmBy(t, s, source, watchAnswer{revision: revision}); err == nil {
			t.Errorf("%s: got no error", what)
		}
	}
}
