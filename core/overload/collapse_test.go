// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package overload

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Processor time of the modeled gateway's work. A stream takes half of its work when it is
// admitted and half spread over its parts.
const (
	streamWork        = 250 * time.Microsecond
	refusalWork       = 85 * time.Microsecond
	handOverWork      = 90 * time.Microsecond
	streamTime        = 1500 * time.Millisecond
	streamParts       = 15
	coreShare         = 0.19
	retryDelay        = 50 * time.Millisecond // until the one retry of a refused request
	firstPartDeadline = time.Second           // after the first request of the caller
)

// workItem is a piece of work in the process's queue.
type workItem struct {
	due       time.Time
	stream    *stream // nil for requests and probes
	partsLeft int     // number of parts of the stream still to be sent
	probe     bool
	caller    *callerRequest
}

// callerRequest is a caller's first request or its retry.
type callerRequest struct {
	account    string
	firstAsked time.Time
	isRetry    bool
}

type stream struct {
	account        string
	firstAsked     time.Time
	firstPartAfter time.Duration
	work           time.Duration // total work of the stream
}

// floodedProcess handles queued work in order. It measures its lateness by a probe that is
// queued again only after it was handled.
type floodedProcess struct {
	*Governor
	refusal   time.Duration // work of a refusal
	t         *testing.T
	now       time.Time
	rng       *rand.Rand
	scheduled []workItem // due in the future, in no order
	queue     []workItem // due now, in order
	workDebt  time.Duration
	// Counts by second and account: streams whose first part was in time, streams whose first
	// part was late, and first requests.
	served, late, asked map[int]map[string]int
}

func newFloodedProcess(t *testing.T) *floodedProcess {
	f := &floodedProcess{
		Governor: New(), refusal: refusalWork, t: t, now: epoch, rng: rand.New(rand.NewPCG(3, 4)),
		served: map[int]map[string]int{}, late: map[int]map[string]int{}, asked: map[int]map[string]int{},
	}
	f.scheduled = append(f.scheduled, workItem{due: epoch, probe: true})
	return f
}

func add(m map[int]map[string]int, second int, account string) {
	if m[second] == nil {
		m[second] = map[string]int{}
	}
	m[second][account]++
}

func (f *floodedProcess) second(at time.Time) int { return int(at.Sub(epoch) / time.Second) }

// step simulates a millisecond with requests at these rates.
func (f *floodedProcess) step(rates []rate) {
	f.now = f.now.Add(time.Millisecond)
	for _, r := range rates {
		for n := 2 * f.rng.Float64() * r.perSecond / 1000; n > 0; n-- {
			if n < 1 && f.rng.Float64() > n {
				break
			}
			add(f.asked, f.second(f.now), r.account)
			f.queue = append(f.queue, workItem{due: f.now, caller: &callerRequest{r.account, f.now, false}})
		}
	}
	f.queueDue()
	for f.workDebt -= time.Duration(coreShare * float64(time.Millisecond)); f.workDebt < 0 && len(f.queue) > 0; {
		next := f.queue[0]
		f.queue = f.queue[1:]
		f.handle(next)
	}
	f.workDebt = max(f.workDebt, -time.Duration(coreShare*float64(time.Millisecond)))
}

func (f *floodedProcess) queueDue() {
	rest := f.scheduled[:0]
	for _, w := range f.scheduled {
		if w.due.After(f.now) {
			rest = append(rest, w)
		} else {
			f.queue = append(f.queue, w)
		}
	}
	f.scheduled = rest
}

func (f *floodedProcess) handle(w workItem) {
	switch {
	case w.probe:
		f.Observe(f.now, f.now.Sub(w.due))
		f.scheduled = append(f.scheduled, workItem{due: f.now.Add(25 * time.Millisecond), probe: true})
	case w.caller != nil:
		f.admit(w.caller)
	default:
		f.sendPart(w)
	}
}

func (f *floodedProcess) admit(c *callerRequest) {
	s := &stream{account: c.account, firstAsked: c.firstAsked, work: streamWork}
	switch f.Admit(f.now, c.account, f.rng.Float64(), true) {
	case Refuse:
		f.workDebt += f.refusal
		if !c.isRetry {
			f.scheduled = append(f.scheduled, workItem{due: f.now.Add(retryDelay), caller: &callerRequest{c.account, c.firstAsked, true}})
		}
		return
	case HandOver:
		s.work = handOverWork
	}
	f.workDebt += s.work / 2
	f.scheduled = append(f.scheduled, workItem{due: f.now.Add(100 * time.Millisecond), stream: s, partsLeft: streamParts})
}

func (f *floodedProcess) sendPart(w workItem) {
	f.workDebt += w.stream.work / 2 / streamParts
	if w.stream.firstPartAfter == 0 {
		w.stream.firstPartAfter = f.now.Sub(w.stream.firstAsked)
		if w.stream.firstPartAfter <= firstPartDeadline {
			add(f.served, f.second(f.now), w.stream.account)
		} else {
			add(f.late, f.second(f.now), w.stream.account)
		}
	}
	if w.partsLeft > 1 {
		f.scheduled = append(f.scheduled, workItem{due: f.now.Add(streamTime / streamParts), stream: w.stream, partsLeft: w.partsLeft - 1})
	}
}

// rate is the request rate of an account.
type rate struct {
	account   string
	perSecond float64
}

func (f *floodedProcess) play(seconds int, rates ...rate) {
	for range seconds * 1000 {
		f.step(rates)
	}
}

// sustainableRate returns how many streams a second the process can serve while it refuses
// the other requests and their retries.
func sustainableRate(perSecond float64, refusal time.Duration) float64 {
	served := 0.0
	for p := 0.0; p < 1; p += 0.001 {
		attempts := perSecond * (2 - p)
		work := attempts * (p*streamWork.Seconds() + (1-p)*refusal.Seconds())
		if work > coreShare {
			break
		}
		served = math.Max(served, attempts*p)
	}
	return served
}

// Guards against a collapse of service under a lasting flood whose refused requests are
// retried: most of the capacity must still be served in time.
func TestFloodDoesNotCollapseService(t *testing.T) {
	for _, perSecond := range []float64{600, 800, 1000} {
		f := newFloodedProcess(t)
		const before, flood, settled = 5, 15, 3
		f.play(before, rate{"flood", 30}, rate{"a", 10})
		f.play(flood, rate{"flood", perSecond - 10}, rate{"a", 10})
		capacity := sustainableRate(perSecond, refusalWork)
		for s := before + settled; s < before+flood; s++ {
			served, late := f.served[s]["flood"]+f.served[s]["a"], f.late[s]["flood"]+f.late[s]["a"]
			t.Logf("%.0f requests/s, second %d: served %d of %.0f, late %d, accepted share %.2f", perSecond, s, served, capacity, late, f.AcceptedShare())
			if float64(served) < 0.6*capacity {
				t.Errorf("%.0f requests/s: served %d in second %d of the flood, want at least 60%% of the capacity of %.0f", perSecond, served, s-before, capacity)
			}
			if late > served/5 {
				t.Errorf("%.0f requests/s: %d of %d late in second %d of the flood, want at most a sixth", perSecond, late, served+late, s-before)
			}
		}
	}
}

// Guards against a standing backlog where refusals take nearly all processor time, which made
// the responses to all retried requests late.
func TestExpensiveRefusalsLeaveTimeForService(t *testing.T) {
	const perSecond, refusal = 1450, 58 * time.Microsecond
	f := newFloodedProcess(t)
	f.refusal = refusal
	const before, flood, settled = 5, 15, 5
	f.play(before, rate{"flood", 30}, rate{"a", 10})
	f.play(flood, rate{"flood", perSecond - 10}, rate{"a", 10})
	capacity := sustainableRate(perSecond, refusal)
	for s := before + settled; s < before+flood; s++ {
		served, late := f.served[s]["flood"]+f.served[s]["a"], f.late[s]["flood"]+f.late[s]["a"]
		t.Logf("second %d: served %d of %.0f, late %d, accepted share %.2f", s, served, capacity, late, f.AcceptedShare())
		if float64(served) < 0.6*capacity {
			t.Errorf("served %d in second %d of the flood, want at least 60%% of the capacity of %.0f", served, s-before, capacity)
		}
		if late > served/5 {
			t.Errorf("%d of %d late in second %d of the flood, want at most a sixth", late, served+late, s-before)
		}
	}
}

// Guards against refused or late requests in a flood while other gateways have capacity, and
// against handing over long after it.
func TestFloodIsHandedOver(t *testing.T) {
	for _, perSecond := range []float64{800, 1600} {
		f := newFloodedProcess(t)
		f.SetHandOverAvailable(true)
		const before, flood, after, settled = 5, 8, 10, 3
		f.play(before, rate{"flood", 30}, rate{"a", 10})
		f.play(flood, rate{"flood", perSecond - 10}, rate{"a", 10})
		f.play(after, rate{"flood", 30}, rate{"a", 10})
		for s := before + settled; s < before+flood; s++ {
			served, late := f.served[s]["flood"]+f.served[s]["a"], f.late[s]["flood"]+f.late[s]["a"]
			t.Logf("%.0f requests/s, second %d: served %d of %.0f, late %d", perSecond, s, served, perSecond, late)
			if float64(served) < 0.9*perSecond || late > served/10 {
				t.Errorf("%.0f requests/s: served %d in second %d of the flood, %d late", perSecond, served, s-before, late)
			}
		}
		if f.ServedShare() < 1 {
			t.Errorf("%.0f requests/s: still hands over ten seconds after the flood", perSecond)
		}
	}
}

// Unmovable requests are served while the others are handed over; without another gateway
// the governor refuses again.
func TestUnmovableRequestsAreServed(t *testing.T) {
	g := New()
	g.SetHandOverAvailable(true)
	now, counts := epoch, map[Verdict]int{}
	flood := func(seconds int, movable bool) {
		clear(counts)
		for range seconds * 1000 {
			now = now.Add(time.Millisecond)
			counts[g.Admit(now, "flood", 0.99, movable)]++
			g.Observe(now, 30*time.Millisecond)
		}
	}
	flood(1, true)
	if counts[Refuse] > 0 || counts[HandOver] < 500 {
		t.Errorf("verdicts in the first second of a flood: %v, want no refusals and at least 500 handed over", counts)
	}
	if v := g.Admit(now, "flood", 0.99, false); v != Serve {
		t.Errorf("verdict on an unmovable request: got %d, want Serve", v)
	}
	g.SetHandOverAvailable(false)
	flood(1, true)
	if counts[HandOver] > 150 || counts[Refuse] < 700 {
		t.Errorf("verdicts without another gateway: %v, want at most 150 handed over and at least 700 refused", counts)
	}
}
