// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package answer lets a caller get an answer after its connection broke: by a signed token with
// which it resumes the stream, or from the object store.
package answer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"strings"
)

// ErrToken matches every ErrBadToken in errors.Is.
var ErrToken = errors.New("bad resume token")

// ErrBadToken reports why a token was rejected.
type ErrBadToken struct{ Reason string }

// Error implements error.
func (e ErrBadToken) Error() string { return "resume token: " + e.Reason }

// Unwrap returns ErrToken.
func (e ErrBadToken) Unwrap() error { return ErrToken }

// IsErrBadToken reports whether err is an ErrBadToken.
func IsErrBadToken(err error) bool {
	var e ErrBadToken
	return errors.As(err, &e)
}

const maxTokenSize = 2048 // bytes

// Token identifies the stream that produces an answer. The caller receives it with the first
// bytes, so the routers need not store it.
type Token struct {
	Account   string `json:"a"`
	RequestID string `json:"r"`
	Attempt   int    `json:"n"`
	Target    string `json:"t"`
	Address   string `json:"d"`
	StreamID  string `json:"s"`
}

// Signer signs and verifies tokens.
type Signer struct{ key []byte }

// NewSigner returns a signer with a key that all routers share.
func NewSigner(key string) *Signer { return &Signer{[]byte(key)} }

func (s *Signer) mac(payload string) []byte {
	m := hmac.New(sha256.New, s.key)
	m.Write([]byte("madderway resume\x00" + payload))
	return m.Sum(nil)
}

// Sign encodes and signs a token.
func (s *Signer) Sign(t Token) string {
	raw, err := json.Marshal(t)
	if err != nil {
		panic("a token of plain strings cannot fail to encode: " + err.Error())
	}
	payload := base64.RawURLEncoding.EncodeToString(raw)
	return payload + "." + base64.RawURLEncoding.EncodeToString(s.mac(payload))
}

// Verify decodes a token and checks that it was signed for this account and request.
func (s *Signer) Verify(text, account, requestID string) (Token, error) {
	var t Token
	if len(text) > maxTokenSize {
		return t, ErrBadToken{"too long"}
	}
	payload, sum, ok := strings.Cut(text, ".")
	if !ok {
		return t, ErrBadToken{"no signature"}
	}
	got, err := base64.RawURLEncoding.DecodeString(sum)
	if err != nil || !hmac.Equal(got, s.mac(payload)) {
		return t, ErrBadToken{"wrong signature"}
	}
	raw, err := base64.RawURLEncoding.DecodeString(payload)
	if err != nil {
		return t, ErrBadToken{"not base64"}
	}
	if err := json.Unmarshal(raw, &t); err != nil {
		return t, ErrBadToken{"not a token"}
	}
	if t.Account != account || t.RequestID != requestID {
		return t, ErrBadToken{"made for another account or request"}
	}
	return t, nil
}
