// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package peerwire

import (
	"fmt"
	"io"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"madderway/core/member"
	core "madderway/core/quarantine"
	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/modules/wire"
	"madderway/services/quarantine"
)

func TestMain(m *testing.M) {
	log.Setup(io.Discard, 0)
	m.Run()
}

// testNode is a process that exchanges records, without connections.
type testNode struct {
	id      string
	clock   *clock.Fake
	members *member.List
	out     *Outbox
	records *Records
	service *quarantine.Service
}

func newNode(id string, c *clock.Fake, others ...string) *testNode {
	n := &testNode{id: id, clock: c, out: NewOutbox(0), members: member.New(member.DefaultConfig(), member.Record{ID: id, Incarnation: 1, Address: "a"})}
	n.service = quarantine.New(log.New("quarantine"), quarantine.Options{Clock: c, MetricsPrefix: "test", Share: func(r core.Record) { n.records.Share(c.Now(), r, "") }, SharePart: func(news core.PartNews) { n.records.SharePart(c.Now(), news, "") }})
	n.records = NewRecords(id, n.service, n.members, n.out)
	for _, other := range others {
		n.members.Step(c.Now(), member.HeartbeatSeen{From: member.Record{ID: other, Incarnation: 1, State: member.StateAlive, Address: "a"}})
	}
	return n
}

func badRequest() core.Identity {
	return core.Identity{Account: "a", Method: "POST", URI: "/p", Body: []byte("x")}
}

// endTargets ends targets under the request, one every two seconds.
func (n *testNode) endTargets(targets ...string) {
	for _, target := range targets {
		n.clock.Advance(2 * time.Second)
		n.service.TargetDied(badRequest(), target, n.clock.Now().Add(-time.Second))
	}
}

func (n *testNode) standing() core.Standing {
	s, _ := n.service.Standing(badRequest().Fingerprint())
	return s
}

// deliver exchanges frames until none are pending.
func deliver(nodes ...*testNode) {
	for moved := true; moved; {
		moved = false
		for _, from := range nodes {
			from.out.Flush(from.clock.Now(), func(to string, f *wire.Frame) {
				for _, n := range nodes {
					if n.id == to {
						moved = true
						n.records.Receive(n.clock.Now(), from.id, f)
					}
				}
			})
		}
	}
}

// Deaths seen by different processes add up everywhere, and a process that starts late learns of
// them from the first digest.
func TestRecordsReachAllProcesses(t *testing.T) {
	c := clock.NewFake()
	a, b, d := newNode("a", c, "b", "d"), newNode("b", c, "a", "d"), newNode("d", c, "a", "b")
	a.endTargets("t1")
	deliver(a, b, d)
	b.endTargets("t2")
	deliver(a, b, d)
	d.endTargets("t3")
	deliver(a, b, d)
	for _, n := range []*testNode{a, b, d} {
		if got := n.standing(); got != core.Quarantined {
			t.Errorf("%s judges the request as %v, want quarantined", n.id, got)
		}
	}
	late := newNode("e", c, "a")
	a.members.Step(c.Now(), member.HeartbeatSeen{From: member.Record{ID: "e", Incarnation: 1, State: member.StateAlive, Address: "a"}})
	c.Advance(2 * recordsSettleTime)
	a.records.Compare(c.Now(), "e", late.records.Digest())
	deliver(a, late)
	if got := late.standing(); got != core.Quarantined || late.records.Digest() != a.records.Digest() {
		t.Errorf("the late process judges the request as %v, want quarantined and the same digest", got)
	}
}

const badPart core.Part = 7

// endPart ends targets under prompts with the bad part, one every two seconds.
func (n *testNode) endPart(targets ...string) {
	for _, target := range targets {
		n.clock.Advance(2 * time.Second)
		a := n.service.NewAttempt(core.Identity{Account: "a", URI: target}, onePart{})
		a.TargetDied(target, n.clock.Now().Add(-time.Second), false)
	}
}

// onePart is a prompt with the bad part.
type onePart struct{}

func (onePart) PromptParts() []core.Part { return []core.Part{badPart} }

// refusesPart reports whether a prompt with the bad part is refused.
func (n *testNode) refusesPart() bool {
	a := n.service.NewAttempt(core.Identity{Account: "a", URI: "/new"}, onePart{})
	defer a.End()
	return a.Check() != nil
}

// Deaths under different requests with one part, seen by different processes, add up everywhere, and
// so does an answer seen by any of them; a process that starts late learns of both.
func TestPartRecordsReachAllProcesses(t *testing.T) {
	c := clock.NewFake()
	a, b, d := newNode("a", c, "b", "d"), newNode("b", c, "a", "d"), newNode("d", c, "a", "b")
	for i, n := range []*testNode{a, b, d} {
		n.endPart(fmt.Sprint("t", i))
		deliver(a, b, d)
	}
	late := newNode("e", c, "a")
	a.members.Step(c.Now(), member.HeartbeatSeen{From: member.Record{ID: "e", Incarnation: 1, State: member.StateAlive, Address: "a"}})
	c.Advance(2 * recordsSettleTime)
	a.records.Compare(c.Now(), "e", late.records.Digest())
	deliver(a, b, d, late)
	for _, n := range []*testNode{a, b, d, late} {
		if !n.refusesPart() || n.records.Digest() != a.records.Digest() {
			t.Errorf("%s does not refuse the part, or has another digest", n.id)
		}
	}
	answered := b.service.NewAttempt(core.Identity{Account: "a", URI: "/sound"}, onePart{})
	answered.Answered()
	deliver(a, b, d, late)
	for _, n := range []*testNode{a, b, d, late} {
		if n.refusesPart() {
			t.Errorf("%s refuses the part after an answer", n.id)
		}
	}
}

// A process that is leaving still serves, so that it must be told of what the others refuse.
func TestLeavingProcessIsToldOfRecords(t *testing.T) {
	c := clock.NewFake()
	a, b, leaving := newNode("a", c, "b", "d"), newNode("b", c, "a", "d"), newNode("d", c, "a", "b")
	for _, n := range []*testNode{a, b} {
		n.members.Step(c.Now(), member.HeartbeatSeen{From: member.Record{ID: "d", Incarnation: 1, State: member.StateLeaving, Address: "a"}})
	}
	a.endPart("t1", "t2", "t3")
	a.endTargets("t4", "t5", "t6")
	deliver(a, b, leaving)
	if !leaving.refusesPart() || leaving.standing() != core.Quarantined {
		t.Errorf("the leaving process refuses the part: %v, judges the request as %v", leaving.refusesPart(), leaving.standing())
	}
}

// Tables with differing digests are not sent at each heartbeat.
func TestDifferingTablesAreResentRarely(t *testing.T) {
	c := clock.NewFake()
	a := newNode("a", c, "b")
	a.endTargets("t1", "t2")
	a.out.Flush(c.Now(), func(string, *wire.Frame) {})
	sent := 0
	for range 60 {
		c.Advance(recordsSettleTime)
		a.records.Compare(c.Now(), "b", 7)
		a.out.Flush(c.Now(), func(string, *wire.Frame) { sent++ })
	}
	if most := int(60*recordsSettleTime/recordsResendInterval) + 1; sent == 0 || sent > most {
		t.Errorf("sent %d times in a minute, want 1 to %d", sent, most)
	}
}

// No records from a peer may cause a panic.
func FuzzRecords(f *testing.F) {
	now := time.Unix(1_700_000_000, 0)
	request := badRequest().Fingerprint()
	seed, err := proto.Marshal(&wire.Frame{RequestRecords: []*wire.RequestRecord{{
		Request: request[:], Outline: 7, Account: "a", Deaths: []*wire.TargetDeath{{Target: "t", AgeMs: 5}, {Target: "t", AgeMs: 5000, Forgiven: true}},
	}}, RequestRecordsAsk: true})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	if seed, err = proto.Marshal(&wire.Frame{PromptPartRecords: []*wire.PromptPartRecord{{
		Part: 7, Deaths: []*wire.TargetDeath{{Target: "t", AgeMs: 5000}, {Target: "u", AgeMs: 5}}, Answered: true, AnsweredAgeMs: 1 << 31,
	}}}); err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, content []byte) {
		frame := &wire.Frame{}
		if proto.Unmarshal(content, frame) != nil {
			return
		}
		n := newNode("a", clock.NewFake(), "b")
		n.records.Receive(now, "b", frame)
		n.records.Compare(now, "b", 1)
		n.records.Tick(now)
		n.out.Flush(now, func(string, *wire.Frame) {})
	})
}
