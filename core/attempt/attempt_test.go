// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package attempt

import (
	"testing"

	"madderway/models/routing"
)

var (
	once      = &routing.Route{Repeat: routing.RepeatNever, MaxAttempts: 2}
	safe      = &routing.Route{Repeat: routing.RepeatSafe, MaxAttempts: 2}
	stream    = &routing.Route{Repeat: routing.RepeatNever, Stream: true, MaxAttempts: 2}
	resumable = &routing.Route{Repeat: routing.RepeatNever, Stream: true, Resumable: true, MaxAttempts: 2}
)

func TestDecideByOutcomeAndHistory(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome Outcome
		history History
		budget  bool
		want    Next
	}{
		{"no connection, another target", NotSent, History{Route: once, Unsent: 1}, false, Again},
		{"no connection anywhere", NotSent, History{Route: once, Unsent: maxUnsent}, true, Refuse},
		{"withheld, another target", Withheld, History{Route: once, Unsent: 1}, false, Again},
		{"withheld everywhere", Withheld, History{Route: once, Unsent: maxUnsent}, true, Refuse},
		{"withheld after one that may have run", Withheld, History{Route: once, Sent: 1, Unsent: maxUnsent, MayHaveRun: true}, true, Unclear},
		{"stream withheld from another target", Withheld, History{Route: resumable, Sent: 1, Unsent: 1, MayHaveRun: true, HeadForwarded: true}, false, Resume},
		{"rejected, another target", NotRun, History{Route: once, Sent: 1}, true, Again},
		{"rejected, no budget", NotRun, History{Route: once, Sent: 1}, false, Refuse},
		{"rejected by as many as allowed", NotRun, History{Route: once, Sent: 2}, true, Refuse},
		{"rejected after one that may have run", NotRun, History{Route: safe, Sent: 2, MayHaveRun: true}, true, Unclear},
		{"may have run, once only", Unknown, History{Route: once, Sent: 1, MayHaveRun: true}, true, Unclear},
		{"may have run, safe", Unknown, History{Route: safe, Sent: 1, MayHaveRun: true}, true, Again},
		{"may have run, safe, no budget", Unknown, History{Route: safe, Sent: 1, MayHaveRun: true}, false, Unclear},
		{"failed, once only", Failed, History{Route: once, Sent: 1, MayHaveRun: true}, true, Deliver},
		{"failed, safe", Failed, History{Route: safe, Sent: 1, MayHaveRun: true}, true, Again},
		{"failed twice, safe", Failed, History{Route: safe, Sent: 2, MayHaveRun: true}, true, Deliver},
		{"stream cut before its head", Cut, History{Route: stream, Sent: 1, MayHaveRun: true}, true, Unclear},
		{"stream cut", Cut, History{Route: stream, Sent: 1, MayHaveRun: true, HeadForwarded: true}, true, Abort},
		{"resumable stream cut", Cut, History{Route: resumable, Sent: 1, MayHaveRun: true, HeadForwarded: true}, true, Resume},
		{"resumable stream cut before its head", Cut, History{Route: resumable, Sent: 1, MayHaveRun: true}, true, Again},
		{"resumable stream cut, no budget", Cut, History{Route: resumable, Sent: 1, MayHaveRun: true, HeadForwarded: true}, false, Abort},
		{"resumption rejected", NotRun, History{Route: resumable, Sent: 2, MayHaveRun: true, HeadForwarded: true}, true, Abort},
		{"deadline passed, sent", Expired, History{Route: once, Sent: 1, MayHaveRun: true}, true, TimedOut},
		{"deadline passed, never sent", Expired, History{Route: once}, true, Refuse},
		{"deadline passed in a stream", Expired, History{Route: resumable, Sent: 1, MayHaveRun: true, HeadForwarded: true}, true, Abort},
	} {
		if got := Decide(c.outcome, c.history, func() bool { return c.budget }); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}

// A request that may have run is repeated or reported as not run, or the caller gets a
// second response head.
func TestNeverRepeatsWhatMayHaveRun(t *testing.T) {
	for _, route := range []*routing.Route{once, safe, stream, resumable} {
		for outcome := NotSent; outcome <= Withheld; outcome++ {
			for bits := range 16 {
				h := History{Route: route, Sent: 1 + bits&1, Unsent: bits >> 1 & 1, MayHaveRun: bits>>2&1 == 1, HeadForwarded: bits>>3&1 == 1}
				if outcome != NotSent && outcome != NotRun && outcome != Withheld {
					h.MayHaveRun = true
				}
				next := Decide(outcome, h, func() bool { return true })
				if h.MayHaveRun && next == Refuse {
					t.Errorf("outcome %d, %+v: refused as not run", outcome, h)
				}
				ran := outcome == Unknown || outcome == Cut || outcome == Failed || outcome == Expired
				if ran && !route.MayRepeat() && (next == Again || next == Resume) {
					t.Errorf("outcome %d, %+v: sent again though it may have run", outcome, h)
				}
				if h.HeadForwarded && next != Abort && next != Resume {
					t.Errorf("outcome %d, %+v: got action %d, which sends a second head", outcome, h, next)
				}
				if next == Resume && !route.Resumable {
					t.Errorf("outcome %d, %+v: resumed on a route that is not resumable", outcome, h)
				}
			}
		}
	}
}
