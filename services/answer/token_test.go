// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package answer

import (
	"strings"
	"testing"
)

const key = "a key of the routers"

func TestVerifyAcceptsOwnTokenOnly(t *testing.T) {
	s := NewSigner(key)
	want := Token{Account: "alder", RequestID: "req-1", Attempt: 2, Target: "t", Address: "127.0.0.1:1", StreamID: "req-1.2"}
	text := s.Sign(want)
	got, err := s.Verify(text, "alder", "req-1")
	if err != nil || got != want {
		t.Fatalf("got %+v, error %v, want the signed token", got, err)
	}
	for name, bad := range map[string]func() (Token, error){
		"another account": func() (Token, error) { return s.Verify(text, "birch", "req-1") },
		"another request": func() (Token, error) { return s.Verify(text, "alder", "req-2") },
		"another key":     func() (Token, error) { return NewSigner("other").Verify(text, "alder", "req-1") },
		"changed":         func() (Token, error) { return s.Verify("x"+text, "alder", "req-1") },
		"cut":             func() (Token, error) { return s.Verify(text[:len(text)-3], "alder", "req-1") },
		"no signature":    func() (Token, error) { return s.Verify(strings.Split(text, ".")[0], "alder", "req-1") },
	} {
		if _, err := bad(); !IsErrBadToken(err) {
			t.Errorf("%s: got error %v, want an ErrBadToken", name, err)
		}
	}
}

func FuzzVerify(f *testing.F) {
	s := NewSigner(key)
	f.Add(s.Sign(Token{Account: "alder", RequestID: "req-1"}))
	f.Add("..")
	f.Add("e30.AAAA")
	f.Fuzz(func(t *testing.T, text string) {
		got, err := s.Verify(text, "alder", "req-1")
		if err == nil && s.Sign(got) != text {
			t.Errorf("accepted %q, which the signer did not produce", text)
		}
	})
}
