// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package watch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// fleet is a number of gateways that tell each other the age of what they know
// twice a second, one in turn.
type fleet struct {
	watches []*Watch
	refused map[int]bool // those that the store turns away
	calls   map[int]int
	now     time.Time
	rng     *rand.Rand
}

func newFleet(n int) *fleet {
	f := &fleet{refused: map[int]bool{}, calls: map[int]int{}, now: start, rng: rand.New(rand.NewPCG(5, 6))}
	for i := range n {
		w := New(float64(i) / float64(n))
		w.PollSucceeded(start)
		f.watches = append(f.watches, w)
	}
	return f
}

func (f *fleet) run(d time.Duration) (oldest time.Duration) {
	const tick = 50 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		for i, w := range f.watches {
			if w.Due(f.now, i < Watchers, len(f.watches)) {
				f.calls[i]++
				w.PollStarted(f.now)
				if !f.refused[i] {
					w.PollSucceeded(f.now)
				}
			}
		}
		if f.now.Sub(start)%(400*time.Millisecond) == 0 {
			f.gossip()
		}
		for _, w := range f.watches {
			oldest = max(oldest, w.Age(f.now))
		}
	}
	return oldest
}

// gossip makes each gateway hear from three others.
func (f *fleet) gossip() {
	ages := make([]time.Duration, len(f.watches))
	for i, w := range f.watches {
		ages[i] = w.Age(f.now)
	}
	for _, w := range f.watches {
		for range 3 {
			w.ObservePeerAge(f.now, ages[f.rng.IntN(len(ages))])
		}
	}
}

func (f *fleet) total() int {
	n := 0
	for _, c := range f.calls {
		n += c
	}
	return n
}

func TestPollRateIndependentOfFleetSize(t *testing.T) {
	for _, n := range []int{9, 59, 320} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(n)
			oldest := f.run(20 * time.Second)
			perSecond := float64(f.total()) / 20
			if perSecond > float64(Watchers)/MinPollInterval.Seconds()+2 {
				t.Errorf("%.1f calls a second", perSecond)
			}
			if oldest > staleAge(len(f.watches))+New(1).staleDelay(len(f.watches))+time.Second {
				t.Errorf("knowledge was %v old", oldest)
			}
		})
	}
}

// The store turns away just those that ask: others take over in time, and only
// a few of them.
func TestOthersPollWhenWatchersAreRejected(t *testing.T) {
	f := newFleet(59)
	f.run(5 * time.Second)
	for i := range Watchers {
		f.refused[i] = true
	}
	f.calls = map[int]int{}
	oldest := f.run(10 * time.Second)
	if oldest > staleAge(len(f.watches))+New(1).staleDelay(len(f.watches))+time.Second {
		t.Errorf("knowledge was %v old", oldest)
	}
	others := 0
	for i, n := range f.calls {
		if i >= Watchers {
			others += n
		}
	}
	if others == 0 || others > 200 {
		t.Errorf("the others made %d calls in ten seconds", others)
	}
}

func TestIsolatedGatewayPolls(t *testing.T) {
	w := New(1)
	if !w.Due(start, false, 1) {
		t.Error("a gateway that knows nothing does not ask")
	}
	w.PollStarted(start)
	w.PollSucceeded(start)
	if w.Due(start.Add(time.Second), false, 1) {
		t.Error("a gateway with fresh knowledge asks")
	}
	if !w.Due(start.Add(staleAge(1)+New(1).staleDelay(1)), false, 1) {
		t.Error("a gateway that hears nothing does not ask")
	}
	w.MarkGap()
	if !w.Due(start.Add(10*time.Millisecond), false, 1) {
		t.Error("a gateway with a gap does not ask")
	}
}

// When hundreds of gateways start at once the seeds read the store, and all others
// hear of it from their peers: each reading both tables was most of a day's calls.
func TestFleetStartCausesFewPolls(t *testing.T) {
	const n = 295
	f := newFleet(0)
	for i := range n {
		w := New(float64(i) / n)
		w.DelayFirstPoll(start, Start{Seed: i < 3, FleetStart: true}.Wait(float64(i)/n))
		f.watches = append(f.watches, w)
	}
	f.run(5 * time.Second)
	others := 0
	for i, calls := range f.calls {
		if i >= Watchers {
			others += calls
		}
	}
	if others > n/10 {
		t.Errorf("%d gateways made %d calls besides the seeds'", n, others)
	}
}

// A gateway that nobody tells anything asks the store itself, soon where it starts
// again.
func TestGatewayWithoutPeersPollsAfterStartWait(t *testing.T) {
	for _, s := range []Start{{Seed: true}, {FleetStart: true}, {}} {
		w := New(0)
		w.DelayFirstPoll(start, s.Wait(1))
		if got := w.Due(start, true, 1); got != s.Seed {
			t.Errorf("%+v asks at once: %v", s, got)
		}
		if !w.Due(start.Add(s.Wait(1)), false, 1) {
			t.Errorf("%+v does not ask after %v", s, s.Wait(1))
		}
	}
}

// While the store is away for all, a large fleet does not ask it for each gateway, and
// all know of its return soon.
func TestLargeFleetPollsLittleDuringOutage(t *testing.T) {
	const n = 295
	f := newFleet(n)
	f.run(5 * time.Second)
	for i := range n {
		f.refused[i] = true
	}
	f.calls = map[int]int{}
	f.run(3500 * time.Millisecond)
	asked := 0
	for i := range n {
		if i >= Watchers && f.calls[i] > 0 {
			asked++
		}
	}
	if asked > n/2 {
		t.Errorf("%d of %d gateways asked in an outage of 3.5 s", asked, n)
	}
	f.refused = map[int]bool{}
	f.run(2 * time.Second)
	if oldest := f.run(50 * time.Millisecond); oldest > staleAge(n) {
		t.Errorf("some knowledge is %v old 2 s after the store's return", oldest)
	}
}

// Those that ask all the time notice the store's return within a second whatever the
// fleet's size; the others of a large fleet fail seldom together.
func TestBackoffRange(t *testing.T) {
	for _, members := range []int{1, 9, 59, 295, 1049} {
		if first, most := BackoffRange(true, members); first != minBackoff || most != maxBackoff {
			t.Errorf("%d members: those that ask pause %v to %v", members, first, most)
		}
	}
	calls := 0
	for pause, at := time.Duration(0), time.Duration(0); at < 8*time.Second; calls++ {
		first, most := BackoffRange(false, 295)
		pause = min(max(2*pause, first), most)
		at += pause
	}
	if calls > 2 {
		t.Errorf("each of 295 gateways calls %d times in an outage of 8 s", calls)
	}
}

// A long silence leaves the knowledge unsettled until a while after its end; short
// ones, and the very first word, do not.
func TestLongSilenceMakesStateUnsettled(t *testing.T) {
	w := New(0)
	now := time.Unix(1_700_000_000, 0)
	if w.Unsettled(now) {
		t.Error("unsettled before the first word")
	}
	w.PollSucceeded(now)
	for range 20 {
		now = now.Add(staleAfter)
		w.ObservePeerAge(now, 0)
	}
	if w.Unsettled(now) {
		t.Error("unsettled in calm")
	}
	now = now.Add(longSilence + time.Second)
	if !w.Unsettled(now) {
		t.Error("settled in a long silence")
	}
	w.PollSucceeded(now)
	if !w.Unsettled(now.Add(settleTime/2)) || w.Unsettled(now.Add(settleTime)) {
		t.Error("want unsettled for a while after the first word")
	}
}
