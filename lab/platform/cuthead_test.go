// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"testing"
	"time"
)

// cutHeadStep is the distance of the places at which the answers of a test are cut.
const cutHeadStep = 3

// Guards against a success for a caller whose target stopped in the head of its answer.
func TestCutHeadIsNoSuccess(t *testing.T) {
	t.Parallel()
	s := startSmallSite(t)
	seed, failed := uint64(1), 0
	for _, kind := range Kinds() {
		ends := []BreakOff{BreakByClose, BreakByReset, BreakByHalfClose}
		framings := []Framing{LengthFraming, ChunkFraming, CloseFraming}
		for cut := 1; cut < shortestHead; cut += cutHeadStep {
			seed++
			a := Answers{BreakOff: ends[seed%3], Framing: framings[seed/3%3], Interim: seed%2 == 0, HeadBytes: cut}
			s.setAnswers(a)
			got := s.Ask(t.Context(), int(seed)%s.GatewayCount(), kind, "account-0", seed)
			if old := seed%4 == 0; old && !got.Served {
				got = s.AskOld(t.Context(), int(seed)%s.GatewayCount(), kind, "account-0", seed+1<<32)
			}
			if got.Served {
				t.Errorf("%s: cut after %d bytes, %+v: got a success of %s", kind.Name, cut, a, got.Worker)
			}
			if !got.Refused {
				failed++
			}
		}
	}
	s.setAnswers(Answers{})
	if failed < int(seed)/2 {
		t.Errorf("%d of %d requests reached a worker, want half", failed, seed)
	}
	for _, kind := range Kinds() {
		awaitServed(t, s, kind, &seed)
	}
	if v := s.Violations(); len(v) > 0 {
		t.Errorf("violations: %v", v)
	}
}

// shortestHead is less than the bytes of any head that a worker writes, interim answers not counted.
const shortestHead = 100

// awaitServed asks until a request is served: the targets answer in full again.
func awaitServed(t *testing.T, s *Site, kind Kind, seed *uint64) {
	t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); {
		*seed++
		got := s.Ask(t.Context(), int(*seed)%s.GatewayCount(), kind, "account-0", *seed)
		if got.Served {
			return
		}
		time.Sleep(got.After)
	}
	t.Errorf("%s: no request was served within a minute after the targets answered in full", kind.Name)
}
