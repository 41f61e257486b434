// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"time"

	"madderway/core/admit"
	"madderway/core/member"
	"madderway/core/quarantine"
	"madderway/core/sched"
	"madderway/models/conf"
	"madderway/models/result"
	"madderway/models/vm"
	"madderway/modules/wire"
)

func (l *Loop) put(in input) bool { return l.inputs.Put(l.t.Dying(), in) }

// HandleFrame implements peernet.Handler's half for frames.
func (l *Loop) HandleFrame(peer string, f *wire.Frame) { l.put(frameIn{peer, f}) }

// SetIndex puts a configuration in force.
func (l *Loop) SetIndex(x *conf.Index) { l.put(indexIn{x}) }

// SetVMs takes the platform's list.
func (l *Loop) SetVMs(vms []vm.VM) { l.put(vmsIn{vms}) }

// ShareRecord tells other routers of a request under which targets have ended.
func (l *Loop) ShareRecord(r quarantine.Record) { l.put(recordIn{r}) }

// Leave tells the other members that this one is leaving.
func (l *Loop) Leave() { l.put(memberIn{member.Leave{}}) }

// SetLoad takes a load report; healthy is false where the target gave none.
func (l *Loop) SetLoad(target string, running, slots int, healthy, leaving bool) {
	l.put(loadIn{target, running, slots, healthy, leaving})
}

// SetCache takes cache events of a target.
func (l *Loop) SetCache(ev sched.CacheSeen) { l.put(schedIn{ev}) }

// NextID returns an ID for a request to submit.
func (l *Loop) NextID() admit.RequestID { return admit.RequestID(l.requests.Add(1)) }

// Submit queues a request and waits until it may start or is refused. Where
// the context ends first, the request is taken out.
func (l *Loop) Submit(ctx context.Context, r admit.Request) (Decision, error) {
	answer := make(chan Decision, 1)
	if !l.put(submitIn{r, answer}) {
		return Decision{}, result.New(result.Draining, "the router has stopped")
	}
	select {
	case d := <-answer:
		return d, nil
	case <-l.t.Dying():
		return Decision{}, result.New(result.Draining, "the router has stopped")
	case <-ctx.Done():
		l.abandon(r.ID, answer)
		return Decision{}, ctx.Err()
	}
}

// abandon takes a request out whose caller has gone; if it was started in the
// same moment, its slot is given back.
func (l *Loop) abandon(id admit.RequestID, answer chan Decision) {
	l.put(admitIn{admit.Canceled{ID: id}})
	l.Inspect(func() { delete(l.decisions, id) })
	select {
	case d := <-answer:
		if d.Refused == 0 {
			l.Finish(admit.Finished{ID: id})
		}
	default:
	}
}

// Progress tells what a started request has cost so far.
func (l *Loop) Progress(id admit.RequestID, cost float64) {
	l.put(admitIn{admit.Progressed{ID: id, Cost: cost}})
}

// Finish tells that a started request no longer uses its target.
func (l *Loop) Finish(f admit.Finished) { l.put(admitIn{f}) }

// Inspect runs a function between two steps of the loop and waits for it.
func (l *Loop) Inspect(run func()) {
	done := make(chan struct{})
	if !l.put(inspectIn{run, done}) {
		return
	}
	select {
	case <-done:
	case <-l.t.Dying():
	}
}

// Owned returns the targets that this router schedules.
func (l *Loop) Owned() []*conf.Target { return *l.owned.Load() }

// Members returns the other members as last published.
func (l *Loop) Members() []member.Record { return *l.memberView.Load() }

// Busy returns the time spent on control.
func (l *Loop) Busy() time.Duration { return time.Duration(l.busy.Load()) }
