// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import "testing"

// Guards against a service that stays refused beside idle workers after all gateways were killed, as
// their lists of workers come late.
func TestServicesReturnAfterAllGatewaysAreKilled(t *testing.T) {
	t.Parallel()
	s := startSmallSite(t)
	s.SetStoreMode(StoreSlowWorkers)
	seed := uint64(1)
	for range 3 {
		s.KillGateways()
		for _, kind := range Kinds() {
			awaitServed(t, s, kind, &seed)
		}
	}
	s.result()
	if v := s.Violations(); len(v) > 0 {
		t.Errorf("violations: %v", v)
	}
}
