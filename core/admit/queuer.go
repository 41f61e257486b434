// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package admit

import (
	"time"

	"madderway/core/fair"
	"madderway/core/message"
	"madderway/models/result"
)

const (
	minRetryAfter         = time.Second
	maxRetryAfter         = time.Minute
	widenInitialDelay     = 10 * time.Millisecond // before a demand goes to more schedulers
	widenMaxDelay         = 500 * time.Millisecond
	withdrawDelay         = 20 * time.Millisecond // before the demands of an empty queue are withdrawn
	demandRefreshInterval = 2 * time.Second       // resends demands that may be lost
	maxDemandCount        = 8                     // highest number of requests that a demand names
	inventoryInterval     = 8 * time.Second
	hintMaxAge            = time.Second
	chargeAheadFactor     = 1.25            // charged cost relative to the cost so far
	minChargeAhead        = 16              // in service units
	maxGrantReuse         = 2 * time.Second // after the grant was received
)

// hint is the number of free slots that a scheduler last reported.
type hint struct {
	free int
	at   time.Time
}

// running is a started request with the grant that it uses.
type running struct {
	req       *waiting
	key       GrantKey
	pool      string
	target    string
	charged   float64
	base      float64 // cost of earlier requests under the same grant
	quantum   float64 // cost up to which the grant may be reused
	contended bool    // other accounts wait at the scheduler
	grantedAt time.Time
	scheduler fair.Reporter
}

// Queuer is the Dispatcher that asks schedulers for grants.
type Queuer struct {
	self          string
	queues        map[queueKey]*queue
	byID          map[RequestID]*waiting
	running       map[RequestID]*running
	routes        map[string][]Route
	hints         map[string]map[string]hint // by pool and scheduler
	nextSeq       uint64
	rotation      int
	adoptSeq      message.GrantID
	nextInventory time.Time
	unusedGrants  uint64
	out           []Action
}

// New returns a Queuer for the router with this ID and incarnation.
func New(self fair.Reporter) *Queuer {
	return &Queuer{
		self:    self.ID,
		queues:  map[queueKey]*queue{},
		byID:    map[RequestID]*waiting{},
		running: map[RequestID]*running{},
		routes:  map[string][]Route{},
		hints:   map[string]map[string]hint{},
		// The entry router assigns the IDs of adopted grants. The top bit and a part of its
		// incarnation keep them apart from the schedulers' own.
		adoptSeq: 1<<63 | message.GrantID(self.Incarnation%(1<<31))<<32,
	}
}

// Step implements Dispatcher.
func (q *Queuer) Step(now time.Time, ev Event) []Action {
	q.out = nil
	switch e := ev.(type) {
	case Arrived:
		q.arrive(now, e.Request)
	case Canceled:
		q.cancel(now, e.ID)
	case GrantSeen:
		q.grant(now, e.From, e.Grant)
	case Progressed:
		q.progress(e)
	case Finished:
		q.finish(now, e)
	case Routed:
		q.setRoutes(now, e.Pools)
	case Tick:
		q.tick(now)
	}
	return q.out
}

// Queued implements Dispatcher.
func (q *Queuer) Queued() int { return len(q.byID) }

func (q *Queuer) emit(a Action) { q.out = append(q.out, a) }

func (q *Queuer) queue(key queueKey) *queue {
	qu, ok := q.queues[key]
	if !ok {
		qu = newQueue(key)
		q.queues[key] = qu
	}
	return qu
}

func (q *Queuer) arrive(now time.Time, r Request) {
	qu := q.queue(queueKey{r.Account, r.Pool})
	if isFull(qu, r) {
		q.emit(Refuse{r.ID, result.QueueFull, qu.retryAfter()})
		return
	}
	if len(q.allowed(r)) == 0 {
		q.emit(Refuse{r.ID, result.NoTarget, minRetryAfter})
		return
	}
	q.nextSeq++
	w := &waiting{Request: r, seq: q.nextSeq, arrived: now}
	q.byID[r.ID] = w
	wasEmpty := qu.tree.Len() == 0
	qu.push(w)
	if wasEmpty {
		qu.widenBy, qu.widenAt = 1, now.Add(widenInitialDelay)
	}
	q.updateDemands(now, qu)
}

func isFull(qu *queue, r Request) bool {
	if r.MaxQueued > 0 && qu.tree.Len() >= r.MaxQueued {
		return true
	}
	return r.MaxBytes > 0 && qu.bytes+r.Bytes > r.MaxBytes
}

// allowed returns the routes of the pool without the targets that the request denies.
func (q *Queuer) allowed(r Request) []Route {
	routes := q.routes[r.Pool]
	if len(r.Deny) == 0 {
		return routes
	}
	var ok []Route
	for _, route := range routes {
		if !contains(r.Deny, route.Target) {
			ok = append(ok, route)
		}
	}
	return ok
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func (q *Queuer) cancel(now time.Time, id RequestID) {
	w, ok := q.byID[id]
	if !ok {
		return
	}
	qu := q.queue(queueKey{w.Account, w.Pool})
	delete(q.byID, id)
	qu.remove(w)
	q.updateDemands(now, qu)
}

func (q *Queuer) grant(now time.Time, from string, g message.Grant) {
	q.setHint(now, g.Pool, from, g.Free)
	qu := q.queue(queueKey{g.Account, g.Pool})
	if d := qu.demands[from]; d != nil && d.remaining > 0 {
		d.remaining--
	}
	route, ok := q.route(g.Pool, g.Target)
	w := qu.pick(g.Target, g.InteractiveOnly)
	if w == nil || !ok || route.Scheduler.ID != from {
		q.unusedGrants++
		q.emit(ReportOut{To: from, Report: message.Report{Grant: g.ID, Kind: message.ReportUnused}})
		q.updateDemands(now, qu)
		return
	}
	q.start(now, qu, w, &running{
		key: GrantKey{from, g.ID}, pool: g.Pool, target: g.Target, charged: g.Charged,
		quantum: g.Quantum, contended: g.Waiting, grantedAt: now, scheduler: route.Scheduler,
	})
	q.updateDemands(now, qu)
}

func (q *Queuer) start(now time.Time, qu *queue, w *waiting, r *running) {
	delete(q.byID, w.ID)
	qu.remove(w)
	qu.recordStart(now)
	r.req = w
	q.running[w.ID] = r
	q.emit(Start{ID: w.ID, Target: r.target, Scheduler: r.key.Scheduler, Grant: r.key.ID, Waited: now.Sub(w.arrived)})
}

func (q *Queuer) route(pool, target string) (Route, bool) {
	for _, r := range q.routes[pool] {
		if r.Target == target {
			return r, true
		}
	}
	return Route{}, false
}

// progress charges more than the cost so far, in growing steps, so that a long response
// needs few reports.
func (q *Queuer) progress(e Progressed) {
	r := q.running[e.ID]
	if r == nil || r.base+e.Cost <= r.charged {
		return
	}
	cost := r.base + e.Cost
	r.charged = max(cost*chargeAheadFactor, cost+minChargeAhead)
	q.emit(ReportOut{To: r.key.Scheduler, Lazy: true, Report: message.Report{
		Grant: r.key.ID, Kind: message.ReportProgress, Cost: r.charged,
	}})
}

func (q *Queuer) finish(now time.Time, e Finished) {
	r := q.running[e.ID]
	if r == nil {
		return
	}
	delete(q.running, e.ID)
	cost := r.base + e.Cost
	if !e.Failed && q.reuse(now, r, cost) {
		return
	}
	q.emit(ReportOut{To: r.key.Scheduler, Lazy: !r.contended, Report: message.Report{
		Grant: r.key.ID, Kind: message.ReportDone, Cost: cost,
		FirstToken: e.FirstToken, TokenGap: e.TokenGap, Failed: e.Failed,
	}})
}

// reuse starts the account's next request under the same grant while the quantum lasts, which
// saves a round trip for short requests.
func (q *Queuer) reuse(now time.Time, r *running, cost float64) bool {
	if cost >= r.quantum || now.Sub(r.grantedAt) > maxGrantReuse {
		return false
	}
	qu := q.queue(queueKey{r.req.Account, r.pool})
	w := qu.pick(r.target, false)
	if w == nil || cost+w.Cost > r.quantum {
		return false
	}
	next := *r
	next.base = cost
	q.start(now, qu, w, &next)
	q.progress(Progressed{ID: w.ID, Cost: w.Cost})
	return true
}

func (q *Queuer) tick(now time.Time) {
	for key, qu := range q.queues {
		q.expire(now, qu)
		if qu.tree.Len() > 0 && !now.Before(qu.widenAt) {
			q.widen(now, qu)
		}
		q.updateDemands(now, qu)
		if qu.tree.Len() == 0 && len(qu.demands) == 0 && now.Sub(qu.lastStart) > maxRetryAfter {
			delete(q.queues, key)
		}
	}
	if !now.Before(q.nextInventory) {
		q.nextInventory = now.Add(inventoryInterval)
		q.sendInventories(nil)
	}
}

func (q *Queuer) expire(now time.Time, qu *queue) {
	var expired []*waiting
	qu.tree.Ascend(func(w *waiting) bool {
		if !w.Deadline.IsZero() && !now.Before(w.Deadline) {
			expired = append(expired, w)
		}
		return true
	})
	for _, w := range expired {
		delete(q.byID, w.ID)
		qu.remove(w)
		q.emit(Refuse{w.ID, result.QueueTimeout, qu.retryAfter()})
	}
}

// State implements Dispatcher.
func (q *Queuer) State() State {
	st := State{Running: len(q.running), Unused: q.unusedGrants, Queues: []QueueState{}}
	for key, qu := range q.queues {
		qs := QueueState{Account: key.account, Pool: key.pool, Length: qu.tree.Len(), Bytes: qu.bytes, Asked: []string{}}
		for id := range qu.demands {
			qs.Asked = append(qs.Asked, id)
		}
		st.Queues = append(st.Queues, qs)
	}
	return st
}
