// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package router

import (
	"context"
	"time"

	"madderway/core/drain"
	"madderway/handlers/gateway"
)

const (
	drainPollInterval = 20 * time.Millisecond
	operatorsTimeout  = 100 * time.Millisecond
)

// Drain stops the gateway gracefully: it tells the balancer and the peers, serves requests that
// still arrive while time permits and waits for those in flight. The listener stays open to
// the end, as the balancer may still use it.
func (g *Gateway) Drain() {
	g.drainOnce.Do(func() {
		s := g.settings.Load()
		started := g.clock.Now()
		standstill := g.standstillBefore(started)
		plan := drain.Plan{Started: started.Add(-standstill), Linger: s.Linger.Duration, Grace: s.Grace.Duration}
		machine := drain.NewMachine(plan, started)
		g.log.Info("Drain started.", "in_flight", g.inFlight(), "connections", g.callers.Open(), "stalled_before", standstill)
		close(g.draining)
		g.handler.StartClosing(plan.ServeUntil())
		g.forward.StopBy(plan.AnswerBy())
		g.loop.Leave()
		phase := drain.Serve
		for phase != drain.Exit {
			<-g.clock.After(drainPollInterval)
			phase = g.stepDrain(machine, phase)
		}
		g.closeOperators()
		g.log.Info("Drain ended.", "aborted", g.inFlight(), "connections", g.callers.Open(), "took", g.clock.Now().Sub(started))
		g.Stop()
	})
}

// standstillBefore returns how long the process was stalled right before now. A signal that came during the
// stall is noticed only at its end.
func (g *Gateway) standstillBefore(now time.Time) time.Duration {
	return max(g.overdue(now), g.standstill.lastEnded(now))
}

// closeOperators lets answers on the metrics address end.
func (g *Gateway) closeOperators() {
	if g.operators == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorsTimeout)
	defer cancel()
	if err := g.operators.Shutdown(ctx); err != nil {
		g.log.Warn("Answers on the metrics address were cut.", "error", err)
	}
}

// stepDrain moves a drain on, and returns its phase. A request that the handler has not begun when
// it starts to refuse is refused; the requests in flight are counted after that.
func (g *Gateway) stepDrain(m *drain.Machine, before drain.Phase) drain.Phase {
	phase := m.Step(g.clock.Now(), g.unfinished(), g.callers.Open())
	if phase != before {
		g.log.Info("Drain goes on.", "phase", phase, "in_flight", g.inFlight(), "connections", g.callers.Open(), "standstills", g.standstill.count.Load())
	}
	if phase != drain.Serve {
		g.handler.SetMode(gateway.RefuseAll)
	}
	if phase >= drain.Close {
		g.callers.StopAccepting()
		g.callers.CloseIdle()
	}
	if phase >= drain.Answer {
		g.forward.GiveUp()
		g.callers.EndIncomplete()
	}
	return phase
}

// inFlight returns the number of requests in flight, including those handed over to others.
func (g *Gateway) inFlight() int { return g.handler.InFlight() + g.callers.HandedOver() }

// unfinished returns 0 if no request is in flight, nor received from another gateway, nor its answer
// being sent there.
func (g *Gateway) unfinished() int { return g.inFlight() + g.relayed.InFlight() }
