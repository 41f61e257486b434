// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"

	"madderway/core/attempt"
	"madderway/core/quarantine"
	"madderway/models/routing"
)

// targetEnd is what is known of a target whose answer broke off.
type targetEnd struct {
	looked  bool // looked tells that the target was asked whether it is still there.
	ended   bool
	request quarantine.Fingerprint // request is the one under which it ended.
}

// identity returns what makes another try the same request.
func (r *Request) identity() quarantine.Identity {
	return quarantine.Identity{Account: r.account(), Method: r.Method, Host: r.Host, URI: r.URI, Body: r.Body}
}

// lookAtEnd finds out whether the target of an attempt that broke off has ended under it.
func (j *job) lookAtEnd(t *routing.Target, o attempt.Outcome) targetEnd {
	if !j.broken || o != attempt.Unknown && o != attempt.Cut {
		return targetEnd{}
	}
	// The deadline of the request must not hide the end from those who come after it.
	if !j.s.opts.Client.HasEnded(context.WithoutCancel(j.ctx), t) {
		return targetEnd{looked: true}
	}
	return targetEnd{looked: true, ended: true, request: j.r.identity().Fingerprint()}
}
