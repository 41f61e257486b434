// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package router_test

import (
	"fmt"
	"sync"
	"testing"

	"madderway/lab/platform"
)

// Guards against answers without end that look complete to their callers, or that keep a gateway from
// serving others.
func TestEndlessAnswersEndAndOthersAreServed(t *testing.T) {
	const requests = 8
	faulty := []platform.Answers{{BreakOff: platform.EndlessHead}}
	for _, f := range framings {
		faulty = append(faulty, platform.Answers{Framing: f, BreakOff: platform.EndlessBody, After: 12})
	}
	kinds := platform.Kinds()
	for i, kind := range kinds {
		t.Run(kind.Name, func(t *testing.T) {
			t.Parallel()
			s := newEndingSite(t, kind, 1)
			other := kinds[(i+2)%len(kinds)] // a stream if this is none
			arrived := 0
			for _, a := range faulty {
				for _, w := range s.Workers(kind) {
					w.SetAnswers(a)
				}
				var done sync.WaitGroup
				for range requests {
					s.seed++
					seed := s.seed
					done.Add(1)
					go func() {
						defer done.Done()
						if s.Ask(t.Context(), 0, kind, "account-0", seed).Served {
							t.Errorf("%+v: an answer without end was served", a)
						}
					}()
				}
				s.seed++
				if answer := s.Ask(t.Context(), 0, other, "account-0", s.seed); !answer.Served {
					t.Errorf("%+v: a request of another kind was not served meanwhile: %s", a, fmt.Sprint(answer))
				}
				done.Wait()
				before := arrived
				arrived = 0
				for _, w := range s.Workers(kind) {
					n, _ := w.Arrived()
					arrived += n
				}
				if arrived == before {
					t.Errorf("%+v: no request reached a target", a)
				}
			}
			for _, v := range s.Violations() {
				t.Error(v)
			}
		})
	}
}
