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

// fleet simulates gateways that exchange the age of their copy every 400 ms.
type fleet struct {
	watches  []*Watch
	rejected map[int]bool // gateways that the store rejects
	calls    map[int]int
	now      time.Time
	rng      *rand.Rand
}

func newFleet(n int) *fleet {
	f := &fleet{rejected: map[int]bool{}, calls: map[int]int{}, now: start, rng: rand.New(rand.NewPCG(5, 6))}
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
				if !f.rejected[i] {
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

// gossip sends each gateway the ages of three random others.
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
				t.Errorf("got %.1f calls a second, want hardly more than those of the watchers", perSecond)
			}
			if oldest > staleAge(len(f.watches))+New(1).staleDelay(len(f.watches))+time.Second {
				t.Errorf("oldest copy was %v old", oldest)
			}
		})
	}
}

// Guards against stale copies, or polls by all gateways, when the store rejects the watchers.
func TestOthersPollWhenWatchersAreRejected(t *testing.T) {
	f := newFleet(59)
	f.run(5 * time.Second)
	for i := range Watchers {
		f.rejected[i] = true
	}
	f.calls = map[int]int{}
	oldest := f.run(10 * time.Second)
	if oldest > staleAge(len(f.watches))+New(1).staleDelay(len(f.watches))+time.Second {
		t.Errorf("oldest copy was %v old", oldest)
	}
	others := 0
	for i, n := range f.calls {
		if i >= Watchers {
			others += n
		}
	}
	if others == 0 || others > 200 {
		t.Errorf("the others made %d calls in ten seconds, want 1 to 200", others)
	}
}

func TestIsolatedGatewayPolls(t *testing.T) {
	w := New(1)
	if !w.Due(start, false, 1) {
		t.Error("a gateway without a copy does not poll")
	}
	w.PollStarted(start)
	w.PollSucceeded(start)
	if w.Due(start.Add(time.Second), false, 1) {
		t.Error("a gateway with a fresh copy polls")
	}
	if !w.Due(start.Add(staleAge(1)+New(1).staleDelay(1)), false, 1) {
		t.Error("a gateway with a stale copy does not poll")
	}
	w.MarkGap()
	if !w.Due(start.Add(10*time.Millisecond), false, 1) {
		t.Error("a gateway with a gap does not poll")
	}
}

// Guards against every gateway reading the store when the whole fleet starts, or more of them the
// larger the fleet is.
func TestFleetStartCausesFewPolls(t *testing.T) {
	for _, c := range []struct {
		members int
		spread  time.Duration // until all have a copy; 0 lets it spread by gossip
	}{{295, 0}, {295, 1200 * time.Millisecond}, {985, 1200 * time.Millisecond}, {1970, 1200 * time.Millisecond}} {
		f := newFleet(0)
		for i := range c.members {
			w := New(float64(i) / float64(c.members))
			w.DelayFirstPoll(start, StartWait(i < Watchers, float64(i)/float64(c.members)))
			f.watches = append(f.watches, w)
		}
		if c.spread == 0 {
			f.run(5 * time.Second)
		} else {
			f.runStart(c.spread)
		}
		others := 0
		for i, calls := range f.calls {
			if i >= Watchers {
				others += calls
			}
		}
		if others > 295/10 {
			t.Errorf("gateways other than the seeds, %d in all, made %d calls", c.members, others)
		}
	}
}

// runStart lets a copy reach the gateways one after the other, in a random order.
func (f *fleet) runStart(spread time.Duration) {
	n := len(f.watches)
	order := f.rng.Perm(n)
	for at := time.Duration(0); at < spread+time.Second; at += 50 * time.Millisecond {
		f.now = start.Add(at)
		for i, w := range f.watches {
			if arrives := time.Duration(float64(spread) * float64(order[i]) / float64(n)); i >= Watchers && at >= arrives {
				w.ObservePeerAge(f.now, 0)
			}
			if w.Due(f.now, i < Watchers, n) {
				f.calls[i]++
				w.PollStarted(f.now)
				w.PollSucceeded(f.now)
			}
		}
	}
}

// Guards against a starting gateway that waits forever for its peers.
func TestGatewayWithoutPeersPollsAfterStartWait(t *testing.T) {
	for _, seed := range []bool{true, false} {
		w := New(0)
		wait := StartWait(seed, 1)
		w.DelayFirstPoll(start, wait)
		if got := w.Due(start, true, 1); got != seed {
			t.Errorf("seed %v: polls at once = %v, want only seeds to do so", seed, got)
		}
		if !w.Due(start.Add(wait), false, 1) || wait > 3*time.Second {
			t.Errorf("seed %v: no poll after %v", seed, wait)
		}
	}
}

// Guards against all gateways polling a store that is down, and against late recovery.
func TestLargeFleetPollsLittleDuringOutage(t *testing.T) {
	const n = 295
	f := newFleet(n)
	f.run(5 * time.Second)
	for i := range n {
		f.rejected[i] = true
	}
	f.calls = map[int]int{}
	f.run(3500 * time.Millisecond)
	polled := 0
	for i := range n {
		if i >= Watchers && f.calls[i] > 0 {
			polled++
		}
	}
	if polled > n/2 {
		t.Errorf("%d of %d gateways polled in an outage of 3.5 s, want at most half", polled, n)
	}
	f.rejected = map[int]bool{}
	f.run(2 * time.Second)
	if oldest := f.run(50 * time.Millisecond); oldest > staleAge(n) {
		t.Errorf("oldest copy is %v old 2 s after the end of the outage", oldest)
	}
}

// Guards against watchers that notice the end of an outage late in a large fleet, and against
// too many failing calls by the others.
func TestBackoffRange(t *testing.T) {
	for _, members := range []int{1, 9, 59, 295, 1049} {
		if first, longest := BackoffRange(true, members); first != minBackoff || longest != maxBackoff {
			t.Errorf("%d members: backoff of watchers is %v to %v", members, first, longest)
		}
	}
	calls := 0
	for backoff, at := time.Duration(0), time.Duration(0); at < 8*time.Second; calls++ {
		first, longest := BackoffRange(false, 295)
		backoff = min(max(2*backoff, first), longest)
		at += backoff
	}
	if calls > 2 {
		t.Errorf("each of 295 gateways calls %d times in an outage of 8 s, want at most 2", calls)
	}
}

// Guards against entries that are taken for deleted right after a long silence.
func TestLongSilenceMakesStateUnsettled(t *testing.T) {
	w := New(0)
	now := time.Unix(1_700_000_000, 0)
	if w.Unsettled(now) {
		t.Error("unsettled before the first update")
	}
	w.PollSucceeded(now)
	for range 20 {
		now = now.Add(staleAfter)
		w.ObservePeerAge(now, 0)
	}
	if w.Unsettled(now) {
		t.Error("unsettled despite regular updates")
	}
	now = now.Add(longSilence + time.Second)
	if !w.Unsettled(now) {
		t.Error("settled during a long silence")
	}
	w.PollSucceeded(now)
	if !w.Unsettled(now.Add(settleTime/2)) || w.Unsettled(now.Add(settleTime)) {
		t.Error("not unsettled for exactly settleTime after the end of the silence")
	}
}

// Guards against targets that are held although they have left: this gateway alone was silent, while its
// peers followed the store. A silence of all, and a restored store, still make entries uncertain.
func TestOwnSilenceIsNoOutage(t *testing.T) {
	const step = 400 * time.Millisecond
	begin := time.Unix(1_700_000_000, 0)
	for name, c := range map[string]struct {
		peersFreshUntil, peersFreshAgain time.Duration // since the own copy was complete
		restored                         bool
		want                             bool
	}{
		"own silence":                         {10 * time.Second, 0, false, false},
		"outage":                              {0, time.Hour, false, true},
		"outage that has just ended":          {0, 5*time.Second - step, false, true},
		"outage that is over for long":        {0, 2 * time.Second, false, false},
		"own silence, then an outage":         {time.Second, time.Hour, false, true},
		"own silence, and the store is older": {10 * time.Second, 0, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := New(0)
			w.PollSucceeded(begin)
			copied := begin
			for at := step; at <= 5*time.Second; at += step {
				if at <= c.peersFreshUntil || at >= c.peersFreshAgain {
					copied = begin.Add(at)
				}
				w.ObservePeerCopy(copied)
			}
			now := begin.Add(5 * time.Second)
			if c.restored {
				w.MarkUnsettled(now)
			}
			if got := w.Unsettled(now); got != c.want {
				t.Errorf("before the read: got unsettled %v, want %v", got, c.want)
			}
			w.PollSucceeded(now)
			if got := w.Unsettled(now); got != c.want {
				t.Errorf("right after it: got unsettled %v, want %v", got, c.want)
			}
		})
	}
}
