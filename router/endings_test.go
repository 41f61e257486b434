// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package router_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"madderway/lab/platform"
	"madderway/router"
)

// endingSite is a site whose targets all frame and end their answers alike.
type endingSite struct {
	*platform.Site
	t    *testing.T
	kind platform.Kind
	ask  func(ctx context.Context, gateway int, kind platform.Kind, account string, seed uint64) platform.Answer
	seed uint64
}

// maxUpload is the limit on the bytes of a request's body.
const maxUpload = 4 << 20

func newEndingSite(t *testing.T, kind platform.Kind, gateways int) *endingSite {
	t.Helper()
	site, err := platform.Start(platform.Options{Gateways: gateways, Models: 2, Plains: 2, Accounts: 1, Length: time.Minute, Seed: 11, MaxBody: maxUpload})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	if err := site.AwaitReady(waitTimeout); err != nil {
		t.Fatal(err)
	}
	return &endingSite{Site: site, t: t, kind: kind, ask: site.Ask}
}

// deliver sends requests until one reaches a target, all of which answer in the same way, and
// returns the answer. What looks complete to the caller and is not is a violation.
func (s *endingSite) deliver(a platform.Answers) platform.Answer {
	s.t.Helper()
	arrived := func() (n int) {
		for _, w := range s.Workers(s.kind) {
			requests, _ := w.Arrived()
			n += requests
		}
		return n
	}
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
		if err := s.RestartCrashed(); err != nil {
			s.t.Fatal(err)
		}
		for _, w := range s.Workers(s.kind) {
			w.SetAnswers(a)
		}
		before := arrived()
		s.seed++
		if answer := s.ask(s.t.Context(), 0, s.kind, "account-0", s.seed); arrived() > before {
			return answer
		}
	}
	s.t.Fatalf("%+v: no request reached a target", a)
	return platform.Answer{}
}

// expect checks that an answer is served if and only if it is whole.
func (s *endingSite) expect(a platform.Answers) {
	s.t.Helper()
	whole := a.BreakOff == platform.NoBreakOff
	before := len(s.Violations())
	if answer := s.deliver(a); answer.Served != whole || len(s.Violations()) > before {
		s.t.Errorf("%+v: got served %v, want %v; violations: %v", a, answer.Served, whole, s.Violations()[before:])
	}
}

// breaks returns the ways to end an answer early that an answer of the framing shows, after some
// bytes that lie inside its first event.
func breaks(kind platform.Kind, f platform.Framing) (out []platform.Answers) {
	ways := []platform.BreakOff{platform.BreakByClose, platform.BreakByReset, platform.BreakByCrash, platform.BreakByFinish}
	for _, way := range ways {
		orderly := way != platform.BreakByReset
		if !kind.Stream && orderly && (f == platform.CloseFraming || way == platform.BreakByFinish) {
			continue // nothing tells that the body is not complete
		}
		for _, after := range []int{0, 1, 5, 12} {
			if after == 0 && way == platform.BreakByFinish && f != platform.CloseFraming {
				continue // an empty body that is announced is complete
			}
			out = append(out, platform.Answers{Framing: f, BreakOff: way, After: after})
		}
	}
	return out
}

var framings = []platform.Framing{platform.LengthFraming, platform.ChunkFraming, platform.CloseFraming}

// expectAll checks whole answers and all ways to end one early.
func (s *endingSite) expectAll() {
	s.t.Helper()
	for _, f := range framings {
		s.expect(platform.Answers{Framing: f})
		for _, a := range breaks(s.kind, f) {
			s.expect(a)
		}
		s.expect(platform.Answers{Framing: f, BreakOff: platform.BadStatus})
		s.expect(platform.Answers{Framing: f, BreakOff: platform.BadField})
	}
	s.expectBrokenUploads()
}

// expectBrokenUploads checks answers that are reset before their upload has been read.
func (s *endingSite) expectBrokenUploads() {
	s.t.Helper()
	if s.kind.Method != http.MethodPost {
		return
	}
	const repetitions = 12
	s.kind.Upload = maxUpload - 1
	for range repetitions {
		s.expect(platform.Answers{BreakOff: platform.BreakInUpload})
	}
	s.expect(platform.Answers{})
}

// A broken answer must not look complete to its caller, however the target frames and ends it.
func TestBrokenAnswerNeverLooksComplete(t *testing.T) {
	for _, kind := range platform.Kinds() {
		t.Run(kind.Name, func(t *testing.T) {
			t.Parallel()
			newEndingSite(t, kind, 1).expectAll()
		})
		t.Run("handed over/"+kind.Name, func(t *testing.T) {
			t.Parallel()
			testBrokenAnswersHandedOver(t, kind)
		})
	}
	for _, kind := range platform.Kinds()[:2] {
		for name, lineEnd := range map[string]string{"LF": "\n", "CR LF": "\r\n", "CR": "\r"} {
			t.Run("at each byte/"+kind.Name+"/"+name, func(t *testing.T) {
				t.Parallel()
				testStreamsBrokenAtEachByte(t, kind, lineEnd)
			})
		}
	}
}

// A broken answer must not look complete to a caller that speaks HTTP/1.0, which has no chunks.
func TestBrokenAnswerNeverLooksCompleteToOldCallers(t *testing.T) {
	for _, kind := range platform.Kinds() {
		t.Run(kind.Name, func(t *testing.T) {
			t.Parallel()
			s := newEndingSite(t, kind, 1)
			s.ask = s.AskOld
			s.expectAll()
		})
	}
}

// testBrokenAnswersHandedOver asks a gateway that hands its requests for streams over to another one.
func testBrokenAnswersHandedOver(t *testing.T, kind platform.Kind) {
	s := newEndingSite(t, kind, 6)
	stop := make(chan struct{})
	var reporter sync.WaitGroup
	reporter.Go(func() {
		reportLateness(s.Gateway(0), func(*router.Gateway) time.Duration { return time.Second }, stop)
	})
	s.expectAll()
	close(stop)
	reporter.Wait()
}

func testStreamsBrokenAtEachByte(t *testing.T, kind platform.Kind, lineEnd string) {
	s := newEndingSite(t, kind, 1)
	s.expect(platform.Answers{Framing: platform.CloseFraming, LineEnd: lineEnd})
	for after := range len(fmt.Sprintf("id: 1\ndata: %016x v1 part 1\n", 0)) {
		s.expect(platform.Answers{Framing: platform.CloseFraming, BreakOff: platform.BreakByClose, After: after, LineEnd: lineEnd})
	}
}
