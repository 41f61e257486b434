// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"context"
	"errors"
	"slices"
	"time"

	"madderway/core/batch"
	"madderway/core/cell"
	"madderway/core/entry"
	"madderway/core/member"
	"madderway/models/routing"
	"madderway/modules/wire"
	"madderway/services/follow"
)

// ErrStopped tells that the gateway has stopped.
var ErrStopped = errors.New("the gateway has stopped")

func (l *Loop) put(in input) bool { return l.inputs.Put(l.t.Dying(), in) }

// HandleFrame implements peernet.Handler.
func (l *Loop) HandleFrame(peer string, f *wire.Frame) { l.put(frameIn{peer, f}) }

// HandleCall implements peernet.Handler.
func (l *Loop) HandleCall(_ string, c *wire.Call) *wire.Reply {
	fetch, ok := c.Body.(*wire.Call_StateFetch)
	if !ok {
		return &wire.Reply{Error: "unknown call"}
	}
	content, err := l.opts.Follow.State(follow.StateWanted{Targets: fetch.StateFetch.Targets, Since: routing.Revision(fetch.StateFetch.Since), Packed: fetch.StateFetch.Packed})
	if err != nil {
		return &wire.Reply{Error: err.Error()}
	}
	l.traffic.countState(fetch.StateFetch.Targets, len(content))
	return &wire.Reply{Ok: true, Content: content}
}

// SetRouting puts a configuration and a list of targets in force.
func (l *Loop) SetRouting(x *routing.Index, targets *routing.TargetSet) { l.put(routingIn{x, targets}) }

// SetSeeds adds gateways to begin with.
func (l *Loop) SetSeeds(addresses []string) {
	l.Inspect(func() { l.setSeeds(addresses) })
}

// Alone implements discover.Peers.
func (l *Loop) Alone() bool { return l.Members() == 1 }

// Registrar implements discover.Peers.
func (l *Loop) Registrar() bool { return l.registrar.Load() }

// Knows implements discover.Peers.
func (l *Loop) Knows(id string) bool {
	known := false
	l.Inspect(func() { _, known = l.members.Lookup(id) })
	return known
}

// Call implements discover.Peers: gateways at these addresses are greeted at once,
// and again while no other gateway is known.
func (l *Loop) Call(addresses []string) {
	l.Inspect(func() {
		for _, address := range addresses {
			if address == l.opts.Self.Address || slices.Contains(l.seedAddresses, address) {
				continue
			}
			l.seedAddresses = append(l.seedAddresses, address)
			l.discovered = append(l.discovered, l.newLink("", address))
		}
		l.nextSeed = time.Time{}
		l.callSeeds(l.opts.Clock.Now())
	})
}

// Leave tells the other gateways that this one is leaving.
func (l *Loop) Leave() { l.put(memberIn{member.Leave{}}) }

// SetStrength tells the other gateways what this one has to give to scheduling, in
// percent of a core; strained tells that its link is full, so that answers come late here.
func (l *Loop) SetStrength(percent uint32, strained bool) {
	l.put(memberIn{member.StrengthSeen{Percent: percent}})
	l.put(entryIn{entry.LinkStateSeen{Saturated: strained}})
}

// NextID returns an ID for a request to submit.
func (l *Loop) NextID() cell.RequestID { return cell.RequestID(l.requests.Add(1)) }

// Submit asks for a target and waits for the decision. Where the context ends
// first, the request is taken back.
func (l *Loop) Submit(ctx context.Context, service string, a cell.Ask) (Decision, error) {
	answer := make(chan Decision, 1)
	if !l.put(submitIn{entry.Submitted{Service: service, Ask: a}, answer}) {
		return Decision{}, ErrStopped
	}
	select {
	case d := <-answer:
		return d, nil
	case <-l.t.Dying():
		return Decision{}, ErrStopped
	case <-ctx.Done():
		l.abandon(a.ID, answer)
		return Decision{}, ctx.Err()
	}
}

// abandon takes a request back; where it was placed in the same moment, its
// place is given up.
func (l *Loop) abandon(id cell.RequestID, answer chan Decision) {
	l.put(entryIn{entry.Withdrawn{ID: id}})
	l.Inspect(func() { delete(l.decisions, id) })
	select {
	case d := <-answer:
		if d.Target != "" {
			l.Ended(id, batch.OutcomeCanceled)
		}
	default:
	}
}

// Began tells that the first event of an answer came.
func (l *Loop) Began(id cell.RequestID) { l.put(entryIn{entry.Began{ID: id}}) }

// Ended tells that a request is no longer at its target.
func (l *Loop) Ended(id cell.RequestID, o batch.Outcome) {
	l.put(entryIn{entry.Ended{ID: id, Outcome: o}})
}

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
