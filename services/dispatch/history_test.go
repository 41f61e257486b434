// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"testing"

	"madderway/models/result"
)

// Guards against the error "draining, not run" for a request whose first attempt has run.
func TestLaterRefusalKeepsEarlierExecution(t *testing.T) {
	refusal := result.New(result.Draining, "stopping")
	for _, c := range []struct{ before, want result.Ran }{
		{result.RanNo, result.RanNo},
		{result.RanUnknown, result.RanUnknown},
		{result.RanYes, result.RanYes},
	} {
		if got := result.Convert(withHistory(refusal, c.before)).Execution(); got != c.want {
			t.Errorf("after %q: %q, want %q", c.before, got, c.want)
		}
	}
	if refusal.Execution() != result.RanNo {
		t.Error("withHistory changed the original error")
	}
	unknown := result.New(result.OutcomeUnknown, "cut")
	if got := result.Convert(withHistory(unknown, result.RanNo)).Execution(); got != result.RanUnknown {
		t.Errorf("unknown outcome: got %q, want RanUnknown", got)
	}
}
