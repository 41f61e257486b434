// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package router_test

import (
	"testing"
	"time"

	"madderway/lab/platform"
)

// A request crashed each model worker that began to run it, and its caller sent it again
// and again, to whichever gateway the load balancer chose. Each gateway took each try for
// a new request: all it knew of a request was forgotten with the answer. Under three
// requests of one account 18, 13 and 18 workers of nine ended in 80 seconds, and with each
// of them the 3 to 17 other streams that ran there. What one gateway wrote, ten times in
// eight seconds with other IDs and targets:
//
//	front-1: Request failed. account="davo520" route="r-tbstw73" target="i-9ef93dc8db" sent=1 first="0s" after="175ms" tokens=3111 code="outcome_unknown"
//
// A request under which three workers have ended is not sent to another one, at any
// gateway, and other requests go on. Three more may have left gateways that had not heard
// of it yet.
func TestRequestThatEndsTargetsIsNotSentOn(t *testing.T) {
	for _, kind := range platform.Kinds() {
		t.Run(kind.Name, func(t *testing.T) {
			t.Parallel()
			endTargets(t, kind)
		})
	}
}

const (
	enough   = 3 // enough targets have ended under a request to refuse it
	underWay = 3 // underWay is how many more sends may have left before all know.
	rounds   = 8 // rounds is how often each gateway is asked.
)

func endTargets(t *testing.T, kind platform.Kind) {
	site, err := platform.Start(platform.Options{Gateways: 4, Models: 4, Plains: 4, Accounts: 2, Length: time.Minute, Seed: 7})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	if err := site.AwaitReady(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	seed := uint64(0)
	refusals, after := 0, time.Duration(0)
	for range rounds {
		for gateway := range 4 {
			seed++
			refused := false
			if refused, after = site.AskEnding(t.Context(), gateway, kind, "account-0", seed); refused {
				refusals++
			} else {
				refusals = 0
			}
			if err := site.RestartEnded(); err != nil {
				t.Fatal(err)
			}
			seed++
			site.AskAt(t.Context(), gateway, "account-1", seed)
		}
	}
	if n := site.Endings(); n < enough || n > enough+underWay {
		t.Errorf("%d targets ended under one request, want %d and at most %d more", n, enough, underWay)
	}
	if refusals < 4 || after < time.Minute {
		t.Errorf("the last %d tries were refused, the last one for %v", refusals, after)
	}
	for _, b := range site.Broken() {
		t.Error(b)
	}
}
