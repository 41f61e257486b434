// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"slices"
	"time"

	"madderway/core/attempt"
	"madderway/core/balance"
	"madderway/core/batch"
	"madderway/core/cell"
	"madderway/core/cold"
	"madderway/models/result"
	"madderway/models/routing"
	"madderway/modules/saturate"
	"madderway/services/mesh"
)

const (
	// holdShare is the share of the objective that a request may wait for a target. A request
	// refused by then can still be served in time elsewhere.
	holdShare = 0.25
	holdSlack = 20 * time.Millisecond
	// firstEventFactor times the objective is the timeout for the first event of a stream.
	firstEventFactor = 2
	// plainLatencyFactor times the usual latency is the timeout for a plain response.
	plainLatencyFactor = 4
)

// enginePlacement is a placement by the scheduler of a cell.
type enginePlacement struct {
	j  *job
	t  *routing.Target
	id mesh.RequestID
}

func (j *job) placeEngine() (placement, error) {
	paused := j.s.pausedTargets(j.r.Service.Name)
	if paused.All {
		// Throttled accounts get a longer retry time, so this request must not count.
		j.disregard()
		return nil, allPausedError(j.r.Service.Name, paused)
	}
	id := j.s.opts.Mesh.NextID()
	if j.beforeAsk == 0 {
		j.beforeAsk = j.s.opts.Clock.Now().Sub(j.r.Received)
		j.s.counters.beforeAsk.Update(j.beforeAsk.Seconds())
	}
	hold := saturate.Duration(holdShare*float64(j.r.Route.Objective)) - holdSlack - j.s.opts.Clock.Now().Sub(j.r.Received)
	if j.history.Sent > 0 || j.history.Unsent > 0 {
		hold = max(hold, j.r.Route.Objective/8)
	}
	objective := j.r.Route.Objective
	if j.binding.bound {
		objective *= boundFactor
		hold = max(hold, objective/2)
	}
	ask := cell.Ask{
		ID: id, Account: j.r.account(), Rank: routing.EffectiveRank(j.r.Route, j.r.Account), Prompt: j.r.Call.Prompt,
		Hold: max(hold, 0), Objective: max(objective-j.s.opts.Clock.Now().Sub(j.r.Received), time.Millisecond), Deny: j.denyList(paused),
		Bound: j.binding.bound, Software: j.binding.software,
	}
	rules := j.s.opts.Scheduling.RulesFor(j.r.Service)
	if rules != (cell.Rules{}) {
		ask.DataHall, ask.BodyBytes = j.s.opts.DataHall, len(j.r.Body)
		ask.Remaining = max(j.r.Deadline.Sub(j.s.opts.Clock.Now()), time.Millisecond)
	}
	d, err := j.s.opts.Mesh.Submit(j.ctx, j.r.Service.Name, ask, rules.Handover)
	j.number, j.scheduler = id, d.Scheduler
	if err != nil {
		return nil, result.Wrap(result.Draining, err).WithRetryAfter(shortRetryAfter)
	}
	if d.Target == "" {
		j.s.recordRetryTime(j.r.Service, j.r.account(), d.RetryAfter)
		return nil, result.New(result.NotInTime, "refused by %s", d.Scheduler).WithRetryAfter(d.RetryAfter)
	}
	j.s.countAccepted(j.r.account())
	j.waited, j.sourceID = d.Waited, d.Source
	j.s.counters.placementTime.Update(d.Waited.Seconds())
	t := j.usableTarget(d.Target)
	if t == nil {
		// The scheduler has another revision of the list, or does not know what the target
		// announced. The target may be healthy.
		j.s.opts.Mesh.Ended(id, batch.OutcomeUnlisted)
		j.s.counters.placesReturned.Inc()
		j.denyUnusable(d.Target)
		j.history.Unsent++
		if j.history.Unsent > maxRounds/2 {
			return nil, result.New(result.NoTarget, "target %s is not known here", d.Target).WithRetryAfter(shortRetryAfter)
		}
		return j.placeEngine()
	}
	return &enginePlacement{j, t, id}, nil
}

// sourceAddress returns the address of the target to copy a prefix from. It is empty if that is
// no longer listed or leaves, as the address may be reused.
func (s *Service) sourceAddress(id string) string {
	if id == "" {
		return ""
	}
	t := s.opts.Targets.Targets().Find(id)
	if t == nil || t.Leaving {
		return ""
	}
	return t.Address
}

func (p *enginePlacement) target() *routing.Target { return p.t }
func (p *enginePlacement) began()                  { p.j.s.opts.Mesh.Began(p.id) }
func (p *enginePlacement) done()                   { p.j.s.opts.Mesh.Ended(p.id, batch.OutcomeDone) }

func (p *enginePlacement) canceled() { p.j.s.opts.Mesh.Ended(p.id, batch.OutcomeCanceled) }

func (p *enginePlacement) firstPartTimeout() time.Duration {
	return firstEventFactor * p.j.r.Route.Objective
}

func (p *enginePlacement) ended(o attempt.Outcome, moved bool) {
	p.j.s.opts.Mesh.Ended(p.id, engineOutcome(o, moved))
}

func engineOutcome(o attempt.Outcome, moved bool) batch.Outcome {
	switch o {
	case attempt.NotSent:
		return batch.OutcomeNotSent
	case attempt.Withheld:
		return batch.OutcomeUnlisted
	case attempt.NotRun:
		if moved {
			return batch.OutcomeMoved
		}
		return batch.OutcomeFull
	case attempt.Failed:
		return batch.OutcomeFailed
	case attempt.Expired:
		return batch.OutcomeExpired
	default:
		return batch.OutcomeBroken
	}
}

// plainPlacement is a placement by this gateway.
type plainPlacement struct {
	j    *job
	pick *balance.Pick
}

func (j *job) placePlain() (placement, error) {
	targets, paused := j.binding.filter(j.s.opts.Targets.Targets().ByService(j.r.Service.Name)), j.s.pausedTargets(j.r.Service.Name)
	j.s.mu.Lock()
	pick := j.s.balancer.Choose(j.s.opts.Clock.Now(), targets, j.denyList(paused), j.s.plainLimits(j.r))
	j.s.mu.Unlock()
	switch {
	case pick == nil && paused.All:
		return nil, allPausedError(j.r.Service.Name, paused)
	case pick == nil && !slices.ContainsFunc(targets, (*routing.Target).AcceptsWork):
		return nil, result.New(result.NoTarget, "no target of %s takes work, %d listed", j.r.Service.Name, len(targets)).WithRetryAfter(noTargetRetryAfter)
	case pick == nil:
		return nil, result.New(result.NoTarget, "no target of %s, %d listed", j.r.Service.Name, len(targets)).WithRetryAfter(shortRetryAfter)
	}
	return &plainPlacement{j, pick}, nil
}

// plainLimits returns the limits for the choice of a plain target for a request.
func (s *Service) plainLimits(r *Request) balance.Limits {
	return balance.Limits{ColdRate: r.Service.ColdRate, ColdShare: cold.IndependentShare(s.opts.Mesh.Known()), Once: !r.Route.MayRepeat()}
}

func (p *plainPlacement) target() *routing.Target { return p.pick.Target }
func (p *plainPlacement) began()                  {}

func (p *plainPlacement) locked(f func(now time.Time)) {
	p.j.s.mu.Lock()
	defer p.j.s.mu.Unlock()
	f(p.j.s.opts.Clock.Now())
}

func (p *plainPlacement) done() {
	p.locked(func(now time.Time) { p.j.s.balancer.Done(now, p.pick) })
}

func (p *plainPlacement) canceled() {
	p.locked(func(time.Time) { p.j.s.balancer.Canceled(p.pick) })
}

func (p *plainPlacement) ended(o attempt.Outcome, _ bool) {
	if o == attempt.Withheld {
		p.canceled()
		return
	}
	if o == attempt.Unknown && p.j.retryReserved.Load() {
		p.locked(func(now time.Time) { p.j.s.balancer.Cut(now, p.pick) })
		return
	}
	p.locked(func(now time.Time) { p.j.s.balancer.Failed(now, p.pick, o) })
}

func (p *plainPlacement) firstPartTimeout() time.Duration {
	usual, cutAfter, ok := time.Duration(0), time.Duration(0), false
	p.locked(func(now time.Time) {
		usual = p.j.s.balancer.Latency(p.pick.Target.ID)
		cutAfter, ok = p.j.s.balancer.CutAfter(p.pick.Target.ID, p.j.r.Route.Objective-now.Sub(p.j.r.Received))
	})
	if ok {
		return cutAfter
	}
	return max(p.j.r.Route.Objective/2, plainLatencyFactor*usual)
}
