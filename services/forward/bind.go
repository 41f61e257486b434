// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"slices"
	"time"

	coreorigin "madderway/core/origin"
	"madderway/models/result"
	"madderway/models/routing"
	"madderway/services/origin"
)

// boundFactor times the objective is the time in which a stream that continues should go on. It is
// late already, but its caller has a part of it and waits for four times the objective or longer.
const boundFactor = 2

// unknownOriginRetryAfter is the retry time if it is not known where a stream began. Gateways that
// did not reply may do so then.
const unknownOriginRetryAfter = time.Second

// binding restricts a stream that continues to targets of the software version that began it.
type binding struct {
	bound    bool
	software string
	basis    origin.Basis
	evidence origin.Evidence
}

// allows reports whether the stream may be sent to a target.
func (b binding) allows(t *routing.Target) bool { return !b.bound || t.Software == b.software }

// filter returns the targets that the stream may be sent to.
func (b binding) filter(targets []*routing.Target) []*routing.Target {
	if !b.bound {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), func(t *routing.Target) bool { return !b.allows(t) })
}

// served reports whether any of the targets accepts the stream.
func (b binding) served(targets []*routing.Target) bool {
	return slices.ContainsFunc(targets, func(t *routing.Target) bool { return t.AcceptsWork() && b.allows(t) })
}

// streamKey returns the key of the stream by the attempt that began it.
func (r *Request) streamKey() coreorigin.Key {
	if r.Call.Resuming {
		return coreorigin.KeyOf(r.account(), r.Call.Resumes)
	}
	return coreorigin.KeyOf(r.account(), r.Call.ID)
}

// bind binds the stream to the version that began it. It returns an error if that is not known.
func (j *job) bind() error {
	if j.binding.bound {
		return nil
	}
	began, err := j.s.opts.Origins.Resolve(j.ctx, j.r.streamKey(), j.r.Service.Name)
	if err != nil {
		j.disregardUnasked()
		j.s.log.Request("Origin of a stream is not known.", "id", j.r.Call.ID, "resumes", j.r.Call.Resumes, "service", j.r.Service.Name, "in_answer", j.headOut, "error", err)
		return result.Wrap(result.OriginUnknown, err).WithRetryAfter(unknownOriginRetryAfter)
	}
	j.binding = binding{true, began.Software, began.Basis, began.Evidence}
	return nil
}

// checkServed returns an error if no target of the version takes work.
func (j *job) checkServed() error {
	if !j.binding.bound || j.binding.served(j.s.opts.Targets.Targets().ByService(j.r.Service.Name)) {
		return nil
	}
	j.disregardUnasked()
	return result.New(result.NoTarget, "no target of %s takes work at version %q, which began the stream", j.r.Service.Name, j.binding.software).WithRetryAfter(noTargetRetryAfter)
}

// beginsStream reports whether the first event of the answer begins a stream that can be resumed. A caller
// that names no attempt must not find one without an ID.
func (j *job) beginsStream() bool {
	return j.r.Route.Stream && j.r.Route.Resumable && j.r.Call.ID != "" && !j.r.Call.Resuming
}

// noteSent notes the target that an attempt is sent to, as listed, if its answer begins a stream.
func (j *job) noteSent(t *routing.Target) {
	if !j.beginsStream() || j.headOut {
		return
	}
	j.sent = origin.Attempt{Key: j.r.streamKey(), Service: j.r.Service.Name, Target: t, Try: j.history.Sent + j.history.Unsent + 1, SentAt: j.sentAt}
	j.sentStored = j.s.opts.Origins.Sent(j.sent)
}

// recordOrigin records at which target the stream begins, right before the caller gets its first event.
// Targets that were tried before it and sent no event began nothing.
func (j *job) recordOrigin() {
	if j.beginsStream() {
		j.s.opts.Origins.Began(j.sent, j.sentStored)
	}
}
