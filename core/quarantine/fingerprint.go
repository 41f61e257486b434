// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package quarantine detects poison requests ("queries of death"): requests under which
// targets die again and again. It decides which requests must not be sent to a target any
// more.
//
// A Table is a pure state machine. Records of different gateways merge in any order, so that
// gateways converge without coordination.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// Identity holds the parts that make two attempts the same request. Headers may differ.
type Identity struct {
	Account string
	Method  string
	Host    string
	URI     string // path and query
	Body    []byte
}

// Fingerprint is a truncated cryptographic digest of an Identity, the same at all gateways.
// Nobody can forge a request with the fingerprint of another one.
type Fingerprint [fingerprintSize]byte

// fingerprintSize is the length in bytes, enough to rule out accidental collisions.
const fingerprintSize = 16

// logBytes is the length of the prefix shown in logs.
const logBytes = 6

// String returns a prefix of the fingerprint in hex, for logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:logBytes]) }

// Fingerprint returns the digest of all parts.
func (i Identity) Fingerprint() Fingerprint {
	h := sha256.New()
	var size [8]byte
	for _, part := range []string{i.Account, i.Method, i.Host, i.URI} {
		// The length prefix keeps different requests from hashing the same bytes.
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:])
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(i.Body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// sampleSize is the length in bytes of each of the three samples of a body in an outline.
const sampleSize = 32

// Outline returns a cheap hash of the request with samples of its body. A request whose
// outline no record has is not in the table, so most requests need no fingerprint. The
// samples matter because requests of an account often have the same path and length.
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
