// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"madderway/core/attempt"
	"madderway/models/routing"
	"madderway/modules/clock"
	"madderway/modules/log"
	"madderway/modules/netopt"
	"madderway/services/quarantine"
	"madderway/services/upstream"
)

// addressedPlacement is a placement at a target with an address.
type addressedPlacement struct {
	slowPlacement
	t *routing.Target
}

func (p addressedPlacement) target() *routing.Target { return p.t }

// Guards against an answer that looks complete although its target was killed while it wrote it: the
// body has neither a length nor chunks, and the connection is closed in order.
func TestUnframedAnswerOfExitedTargetIsBroken(t *testing.T) {
	open, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer open.Close()
	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	exited := closed.Addr().String()
	_ = closed.Close()
	event := "id: 1\ndata: a\n\n"
	for name, c := range map[string]struct {
		target  routing.Target
		framing upstream.Framing
		leaving bool // as told in the answer
		broken  bool
	}{
		"exited":                      {routing.Target{Address: exited}, upstream.FramedByClose, false, true},
		"alive":                       {routing.Target{Address: open.Addr().String()}, upstream.FramedByClose, false, false},
		"exited after a whole answer": {routing.Target{Address: exited}, upstream.FramedByLength, false, false},
		"leaves, as listed":           {routing.Target{Address: exited, Leaving: true}, upstream.FramedByClose, false, false},
		"leaves, as it says":          {routing.Target{Address: exited}, upstream.FramedByClose, true, false},
	} {
		for kind, route := range map[string]routing.Route{
			"stream":              {Stream: true, Resumable: true},
			"plain":               {Repeat: routing.RepeatSafe},
			"too long to be held": {Repeat: routing.RepeatSafe},
		} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				fake := clock.NewFake()
				c.target.ID = "t"
				body := event
				if kind == "too long to be held" {
					body = strings.Repeat("x", maxBufferedResponse+1)
				}
				j := &job{
					s: &Service{opts: Options{
						Clock: fake, Guard: newTestGuard(fake), Quarantine: quarantine.New(log.New("quarantine"), quarantine.Options{Clock: fake}),
						Targets: &listedTargets{routing.NewTargetSet(1, c.target)}, Client: upstream.NewClient(upstream.NewPool(time.Second, 1, &netopt.Traffic{}), nil, nil),
					}, counters: newCounters()}, ctx: context.Background(), w: httptest.NewRecorder(),
					r: &Request{Route: &route, Received: fake.Now(), Deadline: fake.Now().Add(time.Hour)}, history: attempt.History{Route: &route},
				}
				p := addressedPlacement{t: &c.target}
				a := &upstream.Answer{Status: http.StatusOK, Header: http.Header{}, Framing: c.framing, Body: strings.NewReader(body)}
				a.Info.Leaving = c.leaving
				timer := fake.AfterFunc(time.Hour, func() {})
				var outcome attempt.Outcome
				if route.Stream {
					outcome = j.forwardStream(p, a, timer)
				} else {
					outcome = j.forwardWhole(p, a, timer)
				}
				if broken := outcome != 0; broken != c.broken || j.brokeOff != c.broken {
					t.Errorf("got outcome %v, broke off %v, want broken %v", outcome, j.brokeOff, c.broken)
				}
			})
		}
	}
}
