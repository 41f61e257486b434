// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"context"
	"testing"
	"time"

	"madderway/core/batch"
	"madderway/core/cell"
	"madderway/core/member"
	"madderway/core/place"
	"madderway/core/promise"
	"madderway/models/routing"
	"madderway/modules/log"
	"madderway/modules/wire"
	"madderway/services/peerwire"
)

var handoverStart = time.Unix(1_700_000_000, 0)

// handoverLoop returns a loop of one of two gateways that is not running.
func handoverLoop(self string) *Loop {
	engine := &routing.Engine{Slots: 8, CacheTokens: 500_000, Transfer: &routing.Transfer{TokenBytes: 1000, BytesPerSecond: 1e9}}
	index := routing.NewIndex(&routing.Configuration{Services: []routing.Service{{Name: "s", Engine: engine}}, Limits: routing.Limits{TokensPerSecond: 40_000}})
	targets := routing.NewTargetSet(0, routing.Target{ID: "t", Service: "s"})
	l := &Loop{
		log: log.New("test"), cells: map[cell.Key]*cellScheduler{}, undecided: map[cell.Key]*cellScheduler{}, handovers: map[cell.Key]receivedHandover{},
		index: index, targets: targets, out: peerwire.NewOutbox(lazyFrameDelay),
	}
	l.opts = Options{Self: member.Record{ID: self}, Scheduling: cell.Scheduling{Rules: cell.Rules{Returns: true, Handover: true}, CompactTokenBytes: 1000}}
	l.layout = cell.NewLayout(index, targets, []place.Node{{ID: "g1"}, {ID: "g2"}})
	return l
}

func toldHandover() *wire.EngineHandover {
	return handoverToWire(handoverStart, "s/0", cell.Handover{
		Engines:  []cell.EngineEstimate{{Target: "t", Estimate: batch.Estimate{TokensPerSecond: 80_000, FirstLatency: 30 * time.Millisecond}}},
		Promises: []promise.Promise{promise.Restored(7, "a", handoverStart.Add(-time.Second), handoverStart.Add(2*time.Second))},
	})
}

func speedAt(l *Loop, now time.Time) float64 {
	return l.schedulerOf(now, "s/0").cell.State(now).Targets[0].Speed
}

// Guards against a scheduler that takes over without what the one before it told, and against
// one that believes old or foreign words.
func TestNewSchedulerAppliesTheLastHandover(t *testing.T) {
	for name, c := range map[string]struct {
		from  string
		cell  string
		age   time.Duration
		speed float64
	}{
		"told":           {"g2", "s/0", time.Second, 80_000},
		"lost":           {"", "", 0, 40_000},
		"old":            {"g2", "s/0", handoverLife + time.Second, 40_000},
		"foreign sender": {"g9", "s/0", time.Second, 40_000},
		"unknown cell":   {"g2", "other/0", time.Second, 40_000},
	} {
		l := handoverLoop("g1")
		if c.from != "" {
			m := toldHandover()
			m.Cell = c.cell
			l.receiveHandover(handoverStart, c.from, m)
		}
		now := handoverStart.Add(c.age)
		if got := speedAt(l, now); got != c.speed {
			t.Errorf("%s: speed %.0f, want %.0f", name, got, c.speed)
		}
		if n := l.cells["s/0"].cell.State(now).Returns.Outstanding; (n == 1) != (name == "told") {
			t.Errorf("%s: %d promises", name, n)
		}
		l.dropOldHandovers(handoverStart.Add(handoverLife + time.Second))
		if len(l.handovers) > 0 {
			t.Errorf("%s: %d handovers kept", name, len(l.handovers))
		}
	}
}

// Guards against a word that replaces what the scheduler in use has.
func TestHandoverDoesNotChangeASchedulerInUse(t *testing.T) {
	l := handoverLoop("g1")
	before := speedAt(l, handoverStart)
	l.receiveHandover(handoverStart, "g2", toldHandover())
	if after := speedAt(l, handoverStart.Add(time.Second)); after != before {
		t.Errorf("speed %.0f after a word of another gateway, want %.0f", after, before)
	}
}

// Guards against times that shift or grow without bound on the way.
func TestHandoverMessage(t *testing.T) {
	got := handoverFromWire(handoverStart, toldHandover())
	if e := got.Engines[0]; e.Target != "t" || e.TokensPerSecond != 80_000 || e.FirstLatency != 30*time.Millisecond {
		t.Errorf("engine %+v", e)
	}
	if p := got.Promises[0]; p.Key != 7 || p.Account != "a" || !p.First.Equal(handoverStart.Add(-time.Second)) || !p.At.Equal(handoverStart.Add(2*time.Second)) {
		t.Errorf("promise %+v", p)
	}
	m := &wire.EngineHandover{Promises: []*wire.EnginePromise{{Request: 1, AgeMs: 1 << 31}}}
	for range 2 * maxHandedPromises {
		m.Promises = append(m.Promises, &wire.EnginePromise{Request: 2})
		m.Targets = append(m.Targets, &wire.EngineTargetState{Target: "t"})
	}
	if got := handoverFromWire(handoverStart, m); len(got.Promises) != maxHandedPromises-1 || len(got.Engines) != maxHandedTargets {
		t.Errorf("%d promises and %d engines of a message that is too long", len(got.Promises), len(got.Engines))
	}
	if handoverToWire(handoverStart, "s/0", cell.Handover{}) != nil {
		t.Error("a message without content")
	}
}

// Guards against a word to oneself, or to a gateway that would not take over.
func TestHandoverGoesToTheNextInLine(t *testing.T) {
	for self, want := range map[string]string{"g1": "g2", "g2": "g1"} {
		if got := handoverLoop(self).nextScheduler("s/0"); got != want {
			t.Errorf("%s tells %q, want %q", self, got, want)
		}
	}
}

// Guards against a scheduler that never asks what targets have cached, as it had no list at first.
func TestCachesAreNotAskedBeforeTheList(t *testing.T) {
	first := handoverLoop("g1").layout.Group("s/0").Schedulers()[0]
	l := handoverLoop(first)
	l.layout = cell.NewLayout(l.index, routing.NewTargetSet(0), []place.Node{{ID: "g1"}, {ID: "g2"}})
	l.opts.FetchCachedParts = func(context.Context, *routing.Target) ([]routing.PromptPart, error) { return nil, nil }
	s := l.schedulerOf(handoverStart, "s/0")
	l.queryCachedParts(handoverStart, "s/0", s)
	if !s.cachedQueriedAt.IsZero() {
		t.Error("the caches of no targets were asked, which would not be repeated")
	}
}
