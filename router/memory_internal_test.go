// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package router

import "testing"

// Guards against bounds that together exceed what the runtime aims to stay under: a gateway that is
// asked for all of them at once must leave room for its own work.
func TestBoundsLeaveMemoryForGateway(t *testing.T) {
	const ownShare = 0.1
	if together := bodyShare + answerShare + slowCallerShare + receivingShare; together > memoryShare-ownShare {
		t.Errorf("bodies and answers may take %v of the memory, want %v at most", together, memoryShare-ownShare)
	}
}
