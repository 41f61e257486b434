// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package policy

import (
	"errors"
	"os"
	"testing"
)

func compile(t testing.TB, source string) *Program {
	t.Helper()
	p, err := Compile("p", source)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestExamplesCompile(t *testing.T) {
	for _, name := range []string{"core-logging", "haddad"} {
		source, err := os.ReadFile("../../examples/" + name + "/policy.star")
		if err != nil {
			t.Fatal(err)
		}
		p := compile(t, string(source))
		if ok, err := p.Retry(Request{Pool: map[string]string{"core-logging": "samples", "haddad": "booking"}[name], Method: "POST"}, Attempt{Number: 1, Outcome: "unknown"}); ok || err != nil {
			t.Errorf("%s allows repeating a submission that may have run: %v", name, err)
		}
	}
}

func TestErrorsHavePosition(t *testing.T) {
	for _, c := range []struct {
		source       string
		line, column int
	}{
		{"def order(request, account):\n  return (", 2, 11},
		{"def order(request, account):\n  return nothing\n", 2, 10},
		{"def order(request):\n  return {}\n", 1, 1},
		{"def order(request, account):\n  return 1 // 0\n", 2, 12},
		{"def order(request, account):\n  for i in range(1000000): x = i\n  return {}\n", 2, 0},
		{"def place(request, target):\n  return 'far'\n", 1, 1},
		{"def retry(request, attempt):\n  return 1\n", 1, 1},
	} {
		_, err := Compile("p", c.source)
		var e ErrPolicy
		if !errors.As(err, &e) || e.Line != c.line || c.column != 0 && e.Column != c.column {
			t.Errorf("%q: got %v, want an error at the position of the test case", c.source, err)
		}
	}
}

func TestMissingOrFailedPolicyUsesDefaults(t *testing.T) {
	var none *Program
	r := Request{MaxTokens: 4096}
	if o, err := none.Order(r, Account{}); err != nil || o != DefaultOrder(r) || !o.Keep {
		t.Errorf("got order %+v, %v, want the default", o, err)
	}
	for outcome, want := range map[string]bool{"not_run": true, "failed": false, "unknown": false} {
		if ok, err := none.Retry(r, Attempt{Outcome: outcome}); err != nil || ok != want {
			t.Errorf("retry after %s: got %t, %v, want only after not_run", outcome, ok, err)
		}
	}
	if p, err := none.Place(r, Target{}); err != nil || !p.Allowed {
		t.Errorf("got placement %+v, %v, want allowed", p, err)
	}
	// A policy that fails for one request falls back to the default for it.
	p := compile(t, "def retry(request, attempt):\n  if request.model == 'bad': fail('no')\n  return True\n")
	if ok, err := p.Retry(Request{Model: "bad"}, Attempt{Outcome: "unknown"}); err == nil || ok {
		t.Errorf("got retry %t and error %v of a failed policy, want false and an error", ok, err)
	}
}

func TestPlaceExcludesTargets(t *testing.T) {
	p := compile(t, "def place(request, target):\n  return None if target.region == 'far' else 2\n")
	if got, err := p.Place(Request{}, Target{Region: "far"}); err != nil || got.Allowed {
		t.Errorf("far target: got %+v, %v, want not allowed", got, err)
	}
	if got, err := p.Place(Request{}, Target{Region: "near"}); err != nil || !got.Allowed || got.Score != 2 {
		t.Errorf("near target: got %+v, %v, want allowed with score 2", got, err)
	}
}

func FuzzCompile(f *testing.F) {
	f.Add("def order(request, account):\n  return {'rank': 1}\n")
	f.Add("def retry(request, attempt):\n  return attempt.number < 2\n")
	f.Add("x = [i for i in range(100)]\ndef place(request, target):\n  return x\n")
	f.Fuzz(func(t *testing.T, source string) {
		p, err := Compile("fuzz", source)
		if err != nil {
			return
		}
		// An accepted policy must handle the samples again.
		for _, r := range Samples() {
			if _, err := p.Order(r, Account{Name: "sample", Weight: 1}); err != nil {
				t.Errorf("an accepted policy failed on a sample: %v", err)
			}
		}
	})
}
