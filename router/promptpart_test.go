// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package router_test

import (
	"sync"
	"testing"
	"time"

	"madderway/lab/platform"
	"madderway/router"
)

// Shared parts of prompts besides the one that crashes targets: one that all prompts have, and one
// of each of two groups of callers.
const (
	commonPart = "c0"
	groupPart  = "a0"
	otherGroup = "a1"
)

// promptSite is a site that gets prompts with chosen parts.
type promptSite struct {
	*platform.Site
	t    *testing.T
	kind platform.Kind
	seed uint64
}

func newPromptSite(t *testing.T, gateways int, kind platform.Kind) *promptSite {
	return &promptSite{Site: newPoisonSite(t, gateways), t: t, kind: kind}
}

// ask sends a prompt of account-0 with some shared parts to a gateway.
func (s *promptSite) ask(gateway int, parts ...string) platform.Answer {
	s.t.Helper()
	s.seed++
	return s.AskPrompt(s.t.Context(), gateway, s.kind, "account-0", s.seed, parts...)
}

// sendBad sends prompts with the part that crashes targets to gateways in turn, each followed by
// sound ones with the same account and the same other parts. It returns how many sound ones were
// sent and served in the second half.
func (s *promptSite) sendBad(gateways int, bad ...string) (sound, served int) {
	s.t.Helper()
	for round := range rounds {
		for gateway := range gateways {
			s.ask(gateway, bad...)
			if err := s.RestartCrashed(); err != nil {
				s.t.Fatal(err)
			}
			for _, group := range []string{groupPart, otherGroup} {
				a := s.ask(gateway, commonPart, group)
				if round < rounds/2 {
					continue
				}
				sound++
				if a.Served {
					served++
				}
			}
		}
	}
	return sound, served
}

// maxCrashesByPart is the number of targets that one part may crash while requests come one by one.
const maxCrashesByPart = 5

// check checks that a part crashed few targets, that all gateways refuse it in the end, and that most
// sound prompts with its other parts were served.
func (s *promptSite) check(gateways, sound, served int, bad ...string) {
	s.t.Helper()
	if n := s.Crashes(); n > maxCrashesByPart {
		s.t.Errorf("got %d deaths of targets by one part of prompts, want at most %d", n, maxCrashesByPart)
	}
	for gateway := range gateways {
		if a := s.ask(gateway, bad...); !a.Refused || a.After < time.Minute {
			s.t.Errorf("gateway %d: got refused %v with a retry delay of %v, want a refusal for a minute or longer", gateway, a.Refused, a.After)
		}
	}
	if served < sound*9/10 {
		s.t.Errorf("got %d of %d sound prompts served, want at least 90%%", served, sound)
	}
	for _, v := range s.Violations() {
		s.t.Error(v)
	}
}

// A part of prompts under which targets die must be refused by all gateways, whatever else the
// requests hold; sound prompts of the same account with the same other parts are served.
func TestPromptPartThatEndsTargetsIsRefused(t *testing.T) {
	for _, kind := range platform.Kinds()[:2] {
		t.Run(kind.Name, func(t *testing.T) {
			t.Parallel()
			s := newPromptSite(t, 4, kind)
			bad := []string{commonPart, groupPart, platform.PoisonPart}
			sound, served := s.sendBad(4, bad...)
			s.check(4, sound, served, bad...)
		})
	}
	t.Run("first part", func(t *testing.T) {
		t.Parallel()
		s := newPromptSite(t, 4, platform.Kinds()[0])
		bad := []string{platform.PoisonPart, groupPart}
		sound, served := s.sendBad(4, bad...)
		s.check(4, sound, served, bad...)
	})
	t.Run("without the store", func(t *testing.T) {
		t.Parallel()
		s := newPromptSite(t, 4, platform.Kinds()[0])
		s.SetStoreDown(true)
		bad := []string{commonPart, groupPart, platform.PoisonPart}
		sound, served := s.sendBad(4, bad...)
		s.check(4, sound, served, bad...)
	})
	t.Run("handed over", func(t *testing.T) {
		t.Parallel()
		s := newPromptSite(t, 6, platform.Kinds()[0])
		stop := make(chan struct{})
		var reporter sync.WaitGroup
		reporter.Go(func() {
			reportLateness(s.Gateway(0), func(*router.Gateway) time.Duration { return time.Second }, stop)
		})
		bad := []string{commonPart, groupPart, platform.PoisonPart}
		for range 4 * rounds {
			s.ask(0, bad...)
			if err := s.RestartCrashed(); err != nil {
				t.Fatal(err)
			}
		}
		close(stop)
		reporter.Wait()
		if n := s.Crashes(); n > maxCrashesByPart {
			t.Errorf("got %d deaths of targets, want at most %d", n, maxCrashesByPart)
		}
	})
}

// What is refused must still be refused after the end of all gateways, by the store.
func TestRefusedPromptPartSurvivesFleetRestart(t *testing.T) {
	t.Parallel()
	s := newPromptSite(t, 4, platform.Kinds()[0])
	bad := []string{commonPart, groupPart, platform.PoisonPart}
	s.sendBad(4, bad...)
	s.KillGateways()
	if err := s.AwaitReady(waitTimeout); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(waitTimeout); s.Gateway(0).Dump().RefusedParts == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the part is not known after the restart")
		}
	}
	before := s.Crashes()
	if a := s.ask(0, bad...); !a.Refused || s.Crashes() > before {
		t.Errorf("got refused %v and %d more deaths of targets, want a refusal", a.Refused, s.Crashes()-before)
	}
}
