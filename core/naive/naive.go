// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package naive implements a baseline dispatcher for comparisons: each router decides
// alone, from load reports of the targets that may be out of date.
package naive

import (
	"time"

	"madderway/core/admit"
	"madderway/core/fair"
	"madderway/models/result"
)

const retryAfter = time.Second

type target struct {
	reported int
	slots    int
	sent     int // own starts since the last report
}

type queuedRequest struct {
	req     admit.Request
	arrived time.Time
}

type queueKey struct{ account, pool string }

// Dispatcher sends requests to the target with the lowest reported load, from the account
// that this router has served least.
type Dispatcher struct {
	queues  map[queueKey][]queuedRequest
	ledgers map[string]*fair.Ledger
	routes  map[string][]admit.Route
	targets map[string]*target
	running map[admit.RequestID]runningRequest
	queued  int
}

type runningRequest struct {
	queuedRequest
	target      string
	chargedCost float64
}

// New returns an empty Dispatcher.
func New() *Dispatcher {
	return &Dispatcher{
		queues:  map[queueKey][]queuedRequest{},
		ledgers: map[string]*fair.Ledger{},
		routes:  map[string][]admit.Route{},
		targets: map[string]*target{},
		running: map[admit.RequestID]runningRequest{},
	}
}

// Step implements admit.Dispatcher.
func (d *Dispatcher) Step(now time.Time, ev admit.Event) []admit.Action {
	switch e := ev.(type) {
	case admit.Arrived:
		return d.arrive(now, e.Request)
	case admit.Canceled:
		d.cancel(e.ID)
	case admit.Progressed:
		d.charge(e.ID, e.Cost)
	case admit.Finished:
		d.charge(e.ID, e.Cost)
		delete(d.running, e.ID)
		return d.dispatch(now)
	case admit.Routed:
		d.routes = e.Pools
	case admit.LoadSeen:
		d.targets[e.Target] = &target{reported: e.Running, slots: e.Slots}
		return d.dispatch(now)
	case admit.Tick:
		return append(d.expire(now), d.dispatch(now)...)
	}
	return nil
}

func (d *Dispatcher) arrive(now time.Time, r admit.Request) []admit.Action {
	k := queueKey{r.Account, r.Pool}
	if r.MaxQueued > 0 && len(d.queues[k]) >= r.MaxQueued {
		return []admit.Action{admit.Refuse{ID: r.ID, Code: result.QueueFull, RetryAfter: retryAfter}}
	}
	if len(d.queues[k]) == 0 {
		l := d.ledger(r.Pool)
		l.BeginWaiting(now, r.Account)
		l.Settle(now, 0, func(string) float64 { return 0 })
	}
	d.queues[k] = append(d.queues[k], queuedRequest{r, now})
	d.queued++
	return d.dispatch(now)
}

func (d *Dispatcher) ledger(pool string) *fair.Ledger {
	l, ok := d.ledgers[pool]
	if !ok {
		l = fair.NewLedger(0)
		d.ledgers[pool] = l
	}
	return l
}

func (d *Dispatcher) cancel(id admit.RequestID) {
	for k, queue := range d.queues {
		for i, w := range queue {
			if w.req.ID == id {
				d.queues[k] = append(queue[:i:i], queue[i+1:]...)
				d.queued--
				return
			}
		}
	}
}

func (d *Dispatcher) charge(id admit.RequestID, cost float64) {
	r, ok := d.running[id]
	if !ok {
		return
	}
	d.ledger(r.req.Pool).Charge(r.req.Account, (cost-r.chargedCost)/r.req.Weight)
	r.chargedCost = cost
	d.running[id] = r
}

func (d *Dispatcher) expire(now time.Time) []admit.Action {
	var out []admit.Action
	for k, queue := range d.queues {
		remaining := queue[:0:0]
		for _, w := range queue {
			if now.Before(w.req.Deadline) {
				remaining = append(remaining, w)
				continue
			}
			d.queued--
			out = append(out, admit.Refuse{ID: w.req.ID, Code: result.QueueTimeout, RetryAfter: retryAfter})
		}
		d.queues[k] = remaining
	}
	return out
}

func (d *Dispatcher) dispatch(now time.Time) []admit.Action {
	var out []admit.Action
	for pool := range d.routes {
		for {
			t := d.leastLoaded(pool)
			k, ok := d.leastServedQueue(pool)
			if t == "" || !ok {
				break
			}
			out = append(out, d.start(now, k, t))
		}
	}
	return out
}

// leastLoaded returns the target with the lowest known share of busy slots, or "" if
// none has a free slot.
func (d *Dispatcher) leastLoaded(pool string) string {
	best, bestLoad := "", 1.0
	for _, r := range d.routes[pool] {
		t := d.targets[r.Target]
		if t == nil || t.slots == 0 {
			continue
		}
		if load := float64(t.reported+t.sent) / float64(t.slots); load < bestLoad {
			best, bestLoad = r.Target, load
		}
	}
	return best
}

func (d *Dispatcher) leastServedQueue(pool string) (queueKey, bool) {
	var best queueKey
	found := false
	l := d.ledger(pool)
	for k, queue := range d.queues {
		if k.pool != pool || len(queue) == 0 {
			continue
		}
		if !found || l.VirtualService(k.account) < l.VirtualService(best.account) {
			best, found = k, true
		}
	}
	if found {
		l.RaiseFloor(l.VirtualService(best.account))
	}
	return best, found
}

func (d *Dispatcher) start(now time.Time, k queueKey, name string) admit.Action {
	w := d.queues[k][0]
	d.queues[k] = d.queues[k][1:]
	d.queued--
	d.targets[name].sent++
	d.running[w.req.ID] = runningRequest{queuedRequest: w, target: name}
	d.charge(w.req.ID, w.req.Cost)
	return admit.Start{ID: w.req.ID, Target: name, Waited: now.Sub(w.arrived)}
}

// Queued implements admit.Dispatcher.
func (d *Dispatcher) Queued() int { return d.queued }

// State implements admit.Dispatcher.
func (d *Dispatcher) State() admit.State {
	st := admit.State{Running: len(d.running), Queues: []admit.QueueState{}}
	for k, queue := range d.queues {
		st.Queues = append(st.Queues, admit.QueueState{Account: k.account, Pool: k.pool, Length: len(queue)})
	}
	return st
}
