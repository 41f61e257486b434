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

// ErrStopped is returned once the gateway has stopped.
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
	content, err := l.opts.Follow.State(follow.StateRequest{Targets: fetch.StateFetch.Targets, Since: routing.Revision(fetch.StateFetch.Since), Packed: fetch.StateFetch.Packed})
	if err != nil {
		return &wire.Reply{Error: err.Error()}
	}
	l.traffic.countState(fetch.StateFetch.Targets, len(content))
	return &wire.Reply{Ok: true, Content: content}
}

// SetRouting replaces the configuration and the targets.
func (l *Loop) SetRouting(x *routing.Index, targets *routing.TargetSet) { l.put(routingIn{x, targets}) }

// SetSeeds adds addresses of gateways to contact at the start.
func (l *Loop) SetSeeds(addresses []string) {
	l.Do(func() { l.setSeeds(addresses) })
}

// Alone implements discover.Peers.
func (l *Loop) Alone() bool { return l.Members() == 1 }

// Registrar implements discover.Peers.
func (l *Loop) Registrar() bool { return l.registrar.Load() }

// IsMember implements discover.Peers.
func (l *Loop) IsMember(id string) bool {
	known := false
	if !l.Do(func() { _, known = l.members.Lookup(id) }) {
		return false
	}
	return known
}

// Greet implements discover.Peers. It sends a heartbeat to the gateways at these addresses at once
// and repeats it as long as no other gateway is known.
func (l *Loop) Greet(addresses []string) {
	l.Do(func() {
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

// SetStrength announces this gateway's scheduling capacity, in percent of a core. saturated reports
// that its network link is full, so that answers arrive late.
func (l *Loop) SetStrength(percent uint32, saturated bool) {
	l.put(memberIn{member.StrengthSeen{Percent: percent}})
	l.put(entryIn{entry.LinkStateSeen{Saturated: saturated}})
}

// NextID returns an ID for a request to submit.
func (l *Loop) NextID() cell.RequestID { return cell.RequestID(l.requests.Add(1)) }

// Submit requests a target and waits for the decision. If the context ends first, the request is
// withdrawn. settle holds it back while the gateway has just started and learns of the others.
func (l *Loop) Submit(ctx context.Context, service string, a cell.Ask, settle bool) (Decision, error) {
	answer := make(chan Decision, 1)
	if !l.put(submitIn{entry.Submitted{Service: service, Ask: a, Settle: settle}, answer}) {
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

// abandon withdraws a request that nobody waits for any more. If it was placed in the meantime, its
// place is released.
func (l *Loop) abandon(id cell.RequestID, answer chan Decision) {
	l.put(entryIn{entry.Withdrawn{ID: id}})
	l.Do(func() { delete(l.decisions, id) })
	select {
	case d := <-answer:
		if d.Target != "" {
			l.Ended(id, batch.OutcomeCanceled)
		}
	default:
	}
}

// Began records the first event of an answer.
func (l *Loop) Began(id cell.RequestID) { l.put(entryIn{entry.Began{ID: id}}) }

// Ended records that a request has left its target.
func (l *Loop) Ended(id cell.RequestID, o batch.Outcome) {
	l.put(entryIn{entry.Ended{ID: id, Outcome: o}})
}

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
