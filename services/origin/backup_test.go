// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package origin

import (
	"fmt"
	"testing"
	"time"

	coreorigin "madderway/core/origin"
	"madderway/models/routing"
)

// freeze stops a gateway: it has no contact, learns nothing and sends nothing.
func (f *fleet) freeze(ids ...string) {
	for _, id := range ids {
		f.frozen[id], f.outOf[id] = true, true
	}
}

// wake ends a freeze. The gateway notices it and learns the list.
func (f *fleet) wake(id string) {
	f.frozen[id], f.outOf[id] = false, false
	f.gateways[id].NoteGap("standstill", 0)
	f.gateways[id].SetTargets(f.targets)
}

// kill ends a gateway for good.
func (f *fleet) kill(ids ...string) {
	for _, id := range ids {
		delete(f.gateways, id)
	}
}

// continued returns how many of n streams continue at the right version at each other gateway that is in
// contact. None may continue at another version.
func (f *fleet) continued(n int, begunAt, want string) int {
	f.t.Helper()
	count := 0
	for i := range n {
		refused := 0
		for _, id := range f.ids() {
			if id == begunAt || f.outOf[id] {
				continue
			}
			got, err := f.gateways[id].Resolve(f.t.Context(), coreorigin.KeyOf(account, attemptOf(i)), service)
			if err == nil && got.Software != want {
				f.t.Fatalf("%s continues stream %d at %s, found by %s, want %s", id, i, got.Software, got.Basis, want)
			}
			if err != nil {
				refused++
			}
		}
		if refused == 0 {
			count++
		}
	}
	return count
}

func attemptOf(i int) string { return fmt.Sprint("attempt-", i) }

// Guards against streams that are refused everywhere: their gateway falls silent, and a second version
// is listed before it or others hear of that.
func TestStreamsOfSilentGatewayContinue(t *testing.T) {
	const streams = 24
	a, b := target("a", "v1"), target("b", "v2")
	silences := map[string]func(f *fleet){
		"frozen":            func(f *fleet) { f.freeze("g0") },
		"killed":            func(f *fleet) { f.kill("g0") },
		"dark, with others": func(f *fleet) { f.freeze("g0", "g1") },
		"killed, restarted": func(f *fleet) { f.start("g0") },
	}
	for name, silence := range silences {
		for _, later := range []time.Duration{0, 100 * time.Millisecond, 500 * time.Millisecond, time.Second, 3 * time.Second} {
			for _, size := range []int{5, 9, 40} {
				t.Run(fmt.Sprint(name, "/", later, "/", size), func(t *testing.T) {
					f := newFleet(t, size, a)
					for i := range streams {
						f.begin("g0", attemptOf(i), "a")
					}
					f.gateways["g0"].stepBackups()
					silence(f)
					f.clock.Advance(later)
					f.list(a, b)
					f.clock.Advance(backupDelay)
					f.settle()
					if n := f.continued(streams, "g0", "v1"); n != streams {
						t.Errorf("got %d of %d streams that continue, want all", n, streams)
					}
				})
			}
		}
	}
}

// Guards against a guess where the backups know nothing, and against a woken gateway's streams that
// continue at the old version.
func TestSilentGatewayMayUseNewVersion(t *testing.T) {
	a, b := target("a", "v1"), target("b", "v2")
	f := newFleet(t, 3, a)
	f.begin("g0", attemptOf(0), "a") // too late for a message to the backups
	f.freeze("g0")
	f.list(a, b)
	f.clock.Advance(backupDelay)
	f.settle()
	f.expect("begun right before the freeze", "g1", attemptOf(0), "")
	f.wake("g0")
	f.begin("g0", "after", "b")
	f.expect("begun after the freeze", "g1", "after", "v2")
	f.settle()
	f.expect("told after the freeze", "g1", attemptOf(0), "v1")
	f.outOf["g0"] = true
	f.begin("g0", "alone", "b")
	f.expect("begun without contact", "g1", "alone", "")
}

// Guards against records that are sent twice: by the gateway that serves the stream, and by its backups.
func TestBackupsLeaveSharingToLiveGateway(t *testing.T) {
	f := newFleet(t, 9, target("a", "v1"))
	for i := range 10 {
		f.begin("g0", attemptOf(i), "a")
	}
	f.settle()
	f.list(target("a", "v1"), target("b", "v2"))
	shared := f.shared
	f.settle()
	f.clock.Advance(backupDelay)
	f.settle()
	if f.shared != shared || shared == 0 {
		t.Errorf("got %d records sent at the change of versions and %d later, want some and none", shared, f.shared-shared)
	}
}

// Guards against a gateway that hears of the second version later than its backups, and falls silent
// before it does.
func TestLateBackupIsShared(t *testing.T) {
	a, b := target("a", "v1"), target("b", "v2")
	f := newFleet(t, 60, a) // not all are asked
	f.targets = routing.NewTargetSet(f.targets.Revision+1, a, b)
	for _, id := range f.ids() {
		if id != "g0" {
			f.gateways[id].SetTargets(f.targets)
		}
	}
	f.clock.Advance(backupDelay)
	f.settle()
	f.begin("g0", attemptOf(0), "a")
	f.gateways["g0"].stepBackups()
	f.kill("g0")
	f.clock.Advance(backupDelay)
	f.settle()
	if f.continued(1, "g0", "v1") != 1 {
		t.Error("the stream is refused, want it to continue")
	}
}
