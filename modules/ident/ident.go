// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package ident generates random identifiers that are unique without coordination.
package ident

import (
	"crypto/rand"
	"encoding/base32"
	"encoding/binary"
	"strings"
)

const idBytes = 10

var encoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// New returns prefix, a dash and 80 random bits in base32.
func New(prefix string) string {
	var raw [idBytes]byte
	if _, err := rand.Read(raw[:]); err != nil {
		panic("no random numbers: " + err.Error())
	}
	return prefix + "-" + encoding.EncodeToString(raw[:])
}

// Valid reports whether id has the format of New with this prefix.
func Valid(prefix, id string) bool {
	rest, ok := strings.CutPrefix(id, prefix+"-")
	if !ok || len(rest) != encoding.EncodedLen(idBytes) {
		return false
	}
	_, err := encoding.DecodeString(rest)
	return err == nil
}

// Incarnation returns an identifier for one run of a process. The Unix time in seconds
// forms the upper bits, so that a later run has a larger one.
func Incarnation(seconds int64) uint64 {
	var raw [4]byte
	if _, err := rand.Read(raw[:]); err != nil {
		panic("no random numbers: " + err.Error())
	}
	return uint64(seconds)<<20 | uint64(binary.BigEndian.Uint32(raw[:]))&(1<<20-1)
}
