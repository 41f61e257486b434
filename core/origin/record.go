// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package origin

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a stream by the account and the attempt that brought its first event. An account
// can therefore not learn of another account's streams.
type Key uint64

// KeyOf returns the key of the stream that an attempt of an account began.
func KeyOf(account, attempt string) Key {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(account)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(attempt)
	return Key(d.Sum64())
}

// Record says to which target an attempt was sent. If the attempt brought the first event of its
// stream, that target began the stream.
type Record struct {
	Key      Key
	Target   string // incarnation, as listed at that time
	Software string // version of the target's software, as listed at that time
	// Sender identifies one incarnation of the gateway that served the attempt; Try rises with
	// the targets that it tried.
	Sender uint32
	Try    uint32
	// Tentative is set for a record from the store: a later target may have begun the stream.
	Tentative bool
	SentAt    int64     // Unix milliseconds on the sender's clock
	At        time.Time // when the record was made, on the local clock
}

// Follows reports whether a record replaces another one with the same key.
func (r Record) Follows(old Record) bool {
	switch {
	case r.Sender != old.Sender:
		return false
	case r.Tentative != old.Tentative:
		return old.Tentative
	default:
		return r.Try > old.Try
	}
}

// Conflicts reports whether two records cannot both be right: two gateways served attempts of the
// same ID.
func (r Record) Conflicts(other Record) bool {
	return r.Sender != other.Sender && r.Software != other.Software
}
