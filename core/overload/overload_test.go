// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package overload

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var epoch = time.Unix(1_700_000_000, 0)

// machine is a process that can do so much work in a second: what it admits
// beyond that makes it late.
type machine struct {
	*Governor
	now      time.Time
	rng      *rand.Rand
	perTick  float64 // requests that it can serve in a tick
	refusal  float64 // the work of a refusal, in served requests
	backlog  float64
	asked    map[string]int
	admitted map[string]int
	worst    time.Duration // worst is the longest lateness in the second half.
}

const tick = 10 * time.Millisecond

func newMachine(perSecond float64) *machine {
	return &machine{
		Governor: New(), now: epoch, rng: rand.New(rand.NewPCG(1, 2)), perTick: perSecond * tick.Seconds(), refusal: 0.1,
		asked: map[string]int{}, admitted: map[string]int{},
	}
}

func (m *machine) lateness() time.Duration {
	return time.Duration(m.backlog / m.perTick * float64(tick))
}

// play lets accounts ask at these rates a second.
func (m *machine) play(length time.Duration, rates map[string]float64, order []string) {
	for i := range int(length / tick) {
		m.now = m.now.Add(tick)
		for _, name := range order {
			for n := m.rng.Float64() * 2 * rates[name] * tick.Seconds(); n > 0; n-- {
				if n < 1 && m.rng.Float64() > n {
					break
				}
				m.asked[name]++
				m.backlog += m.refusal
				if m.Admit(m.now, name, m.rng.Float64(), true) == Serve {
					m.admitted[name]++
					m.backlog++
				}
			}
		}
		m.backlog = max(m.backlog-m.perTick, 0)
		m.Observe(m.now, m.lateness())
		if i > int(length/tick)/2 {
			m.worst = max(m.worst, m.lateness())
		}
	}
}

// A process that is asked for twice what it can do comes to its work in time
// all the same, and still serves most of what it can.
func TestOverloadedProcessStaysInTime(t *testing.T) {
	m := newMachine(200)
	m.play(20*time.Second, map[string]float64{"flood": 350, "a": 25, "b": 25}, []string{"flood", "a", "b"})
	t.Logf("asked %v, admitted %v, worst %v, share %.2f", m.asked, m.admitted, m.worst, m.Share())
	if m.worst > 400*time.Millisecond {
		t.Errorf("up to %v late", m.worst)
	}
	total := m.admitted["flood"] + m.admitted["a"] + m.admitted["b"]
	if total < 200*20*6/10 {
		t.Errorf("served %d of %d that it could have", total, 200*20)
	}
	for _, name := range []string{"a", "b"} {
		if m.admitted[name] < m.asked[name]*95/100 {
			t.Errorf("%s was admitted %d of %d times beside a flood", name, m.admitted[name], m.asked[name])
		}
	}
}

// Who is asked for what he can do refuses nothing, and refusing ends when the
// flood does.
func TestCalmProcessRefusesNothing(t *testing.T) {
	m := newMachine(200)
	m.play(10*time.Second, map[string]float64{"a": 70, "b": 50}, []string{"a", "b"})
	if m.Refused() != 0 {
		t.Fatalf("%d refused at half load", m.Refused())
	}
	m.play(5*time.Second, map[string]float64{"a": 500, "b": 50}, []string{"a", "b"})
	if m.Refused() == 0 {
		t.Fatal("nothing refused in a flood")
	}
	m.play(10*time.Second, map[string]float64{"a": 50, "b": 50}, []string{"a", "b"})
	before := m.Refused()
	m.play(5*time.Second, map[string]float64{"a": 50, "b": 50}, []string{"a", "b"})
	if m.Refused() != before || m.Share() < 1 {
		t.Errorf("still refuses long after the flood: share %.2f", m.Share())
	}
}

// A single long pause, as the collector makes it, is no overload.
func TestOnePauseIsNoOverload(t *testing.T) {
	g := New()
	now := epoch
	for i := range 100 {
		now = now.Add(tick)
		lateness := time.Duration(0)
		if i%30 == 0 {
			lateness = 100 * time.Millisecond
		}
		if g.Observe(now, lateness) || g.Share() < 1 {
			t.Fatalf("overloaded after %d ticks", i)
		}
	}
}

// The admitted rates are max-min: nobody below the level is cut, and all above
// it are cut to the same.
func TestLevelIsMaxMin(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(7))
	properties.Property("level", prop.ForAll(func(asks []float64, share float64) bool {
		g := New()
		total := 0.0
		for i, n := range asks {
			g.demands[string(rune('a'+i))] = &count{requests: n, at: epoch}
			total += n
		}
		g.serveRate = share * total * perSecond
		g.setLevel(epoch)
		admitted := 0.0
		for _, n := range asks {
			admitted += min(n, g.level)
		}
		return admitted > share*total-1e-6 && admitted < share*total+1e-6
	}, gen.SliceOfN(8, gen.Float64Range(1, 500)), gen.Float64Range(0.1, 0.99)))
	properties.TestingRun(t)
}
