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

// HandleFrame implements the part of peernet.Handler for frames.
func (l *Loop) HandleFrame(peer string, f *wire.Frame) { l.put(frameIn{peer, f}) }

// SetIndex replaces the configuration.
func (l *Loop) SetIndex(x *conf.Index) { l.put(indexIn{x}) }

// SetVMs replaces the platform's list of VMs.
func (l *Loop) SetVMs(vms []vm.VM) { l.put(vmsIn{vms}) }

// ShareRecord sends other routers a record of a request under which targets died.
func (l *Loop) ShareRecord(r quarantine.Record) { l.put(recordIn{r}) }

// SharePartNews tells other routers of a prompt part under which targets died.
func (l *Loop) SharePartNews(n quarantine.PartNews) { l.put(partNewsIn{n}) }

// Leave announces to the other routers that this one is leaving.
func (l *Loop) Leave() { l.put(memberIn{member.Leave{}}) }

// SetLoad passes on a load report; healthy is false if the target sent none.
func (l *Loop) SetLoad(target string, running, slots int, healthy, leaving bool) {
	l.put(loadIn{target, running, slots, healthy, leaving})
}

// SetCache passes on a target's cache events.
func (l *Loop) SetCache(ev sched.CacheSeen) { l.put(schedIn{ev}) }

// NextID returns an ID for a request to submit.
func (l *Loop) NextID() admit.RequestID { return admit.RequestID(l.requests.Add(1)) }

// Submit queues a request and waits until it may start or is refused. If the context ends first,
// the request is canceled.
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

// abandon cancels a request whose caller has disconnected. If it was started in the meantime, its
// slot is released.
func (l *Loop) abandon(id admit.RequestID, answer chan Decision) {
	l.put(admitIn{admit.Canceled{ID: id}})
	l.Do(func() { delete(l.decisions, id) })
	select {
	case d := <-answer:
		if d.Refused == 0 {
			l.Finish(admit.Finished{ID: id})
		}
	default:
	}
}

// Progress records the cost of a started request so far.
func (l *Loop) Progress(id admit.RequestID, cost float64) {
	l.put(admitIn{admit.Progressed{ID: id, Cost: cost}})
}

// Finish records that a started request no longer uses its target.
func (l *Loop) Finish(f admit.Finished) { l.put(admitIn{f}) }

// Do runs a function on the loop's goroutine and waits for it. It returns false if the loop ends
// first: then the function may still run, so the caller must not use what it sets.
func (l *Loop) Do(run func()) bool {
	done := make(chan struct{})
	if !l.put(doIn{run, done}) {
		return false
	}
	select {
	case <-done:
		return true
	case <-l.t.Dying():
		return false
	}
}

// Owned returns the targets that this router schedules.
func (l *Loop) Owned() []*conf.Target { return *l.owned.Load() }

// Members returns the other members as of the last change.
func (l *Loop) Members() []member.Record { return *l.memberView.Load() }

// Busy returns the time spent in the loop.
func (l *Loop) Busy() time.Duration { return time.Duration(l.busy.Load()) }
