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
				if m.Admit(m.now, name, m.rng.Float64()) {
					m.admitted[name]++
					m.backlog++
				}
			}
		}
		m.backlog = max(m.backlog-m.perTick, 0)
		m.Observe(m.now, m.lateness(), 0)
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
		if g.Observe(now, lateness, 0) || g.Share() < 1 {
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
			g.asked[string(rune('a'+i))] = &count{requests: n, at: epoch}
			total += n
		}
		g.share = share
		g.setLevel(epoch)
		admitted := 0.0
		for _, n := range asks {
			if g.level > 0 {
				n = min(n, g.level)
			}
			admitted += n
		}
		return admitted > share*total-1e-6 && admitted < share*total+1e-6
	}, gen.SliceOfN(8, gen.Float64Range(1, 500)), gen.Float64Range(0.1, 0.99)))
	properties.TestingRun(t)
}

// A machine whose link is full refuses a part, though its processor idles, and admits
// all again when the link has room.
func TestFullLinkIsOverload(t *testing.T) {
	const mbps, body = 10.0, 10_000
	g, l, now, rng := New(), NewLink(mbps), epoch, rand.New(rand.NewPCG(1, 2))
	sent, admitted := uint64(0), 0
	play := func(length time.Duration, perSecond int) {
		admitted = 0
		for range length / tick {
			now = now.Add(tick)
			for range perSecond * int(tick) / int(time.Second) {
				if g.Admit(now, "a", rng.Float64()) {
					admitted++
					sent += body
				}
			}
			g.Observe(now, 0, l.Observe(now, sent, 0))
		}
	}
	play(2*time.Second, 300) // 24 Mbit/s
	play(4*time.Second, 300)
	if use := float64(admitted*body*8) / 4 / (mbps * 1e6); use > 1 || use < 0.5 {
		t.Errorf("%d requests admitted, %.2f of the link", admitted, use)
	}
	play(4*time.Second, 0)
	if g.Share() != 1 {
		t.Errorf("admits %.2f after a calm", g.Share())
	}
}
