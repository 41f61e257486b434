// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import (
	"context"
	"testing"
	"time"

	coreorigin "madderway/core/origin"
	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/modules/wire"
	"madderway/services/origin"
)

// originsLoop returns a loop with a service of origins, and the service.
func originsLoop(id string) (*Loop, *origin.Service) {
	c := clock.NewFake()
	l := handoverLoop(id)
	l.opts.Origins = origin.New(log.New("origin"), origin.Options{
		Clock: c, MetricsPrefix: "test", FirstStart: true, ListFreshAt: c.Now, InContact: func() bool { return true }, CutOff: func() bool { return false },
		Share: func([]coreorigin.Record, bool) {}, ShareEarly: func(coreorigin.Record) {}, Backup: func([]origin.Backup) {},
		Ask: func(coreorigin.Key, bool) []string { return nil }, Confirm: func(context.Context) error { return nil },
	})
	return l, l.opts.Origins
}

// Guards against the record of an attempt without an event that counts as the beginning of its stream.
func TestEarlyRecordIsForTheStoreOnly(t *testing.T) {
	l, origins := originsLoop("g1")
	now := time.Unix(1_700_000_000, 0)
	l.handleOrigins(now, "g2", &wire.Frame{StreamOrigins: []*wire.StreamOrigin{
		{Stream: 1, Target: "a", Software: "v1", Store: true, Early: true},
		{Stream: 2, Target: "a", Software: "v1", Store: true},
	}})
	if origins.Lookup(1).Found {
		t.Error("an early record was taken")
	}
	if !origins.Lookup(2).Found {
		t.Error("the record of a first event was not taken")
	}
}

// Guards against a reply that does not tell a record of the store from that of a first event.
func TestReplyTellsTentativeRecords(t *testing.T) {
	for _, tentative := range []bool{false, true} {
		l, origins := originsLoop("g1")
		now := time.Unix(1_700_000_000, 0)
		origins.Receive([]coreorigin.Record{{Key: 1, Target: "a", Software: "v1", Tentative: tentative, At: now}})
		l.handleOrigins(now, "g2", &wire.Frame{StreamOriginAsks: []uint64{1}})
		var replies []*wire.StreamOriginReply
		l.out.Flush(now.Add(lazyFrameDelay), func(_ string, f *wire.Frame) { replies = append(replies, f.StreamOriginReplies...) })
		if len(replies) != 1 || replies[0].Origin.GetEarly() != tentative {
			t.Errorf("tentative %t: got replies %v", tentative, replies)
		}
	}
}
