// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"madderway/core/attempt"
	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/services/upstream"
)

// Guards against an error response that is cut at the size of the buffer and forwarded as whole.
func TestLargeFailureIsNotForwardedInPart(t *testing.T) {
	for size, want := range map[int]attempt.Outcome{
		maxBufferedResponse:     attempt.Failed,
		maxBufferedResponse + 1: attempt.Unknown,
	} {
		fake := clock.NewFake()
		route := &routing.Route{MaxAttempts: 1}
		j := &job{
			s: &Service{opts: Options{Clock: fake}, counters: newCounters()}, ctx: context.Background(),
			r: &Request{Route: route, Deadline: fake.Now().Add(time.Second)}, history: attempt.History{Route: route},
		}
		a := &upstream.Answer{Status: http.StatusInternalServerError, Header: http.Header{}, Body: strings.NewReader(strings.Repeat("x", size))}
		if outcome, failure := j.readFailure(slowPlacement{}, a); outcome != want || (failure != nil) != (want == attempt.Failed) {
			t.Errorf("%d bytes: got outcome %v, want %v", size, outcome, want)
		}
	}
}
