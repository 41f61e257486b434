// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package httpresp

import (
	"bytes"
	"strings"
)

// OldVersion begins the heads that CheckOldHead checks.
const OldVersion = "HTTP/1.0 "

// CheckOldHead returns an ErrMalformed if the bytes of a head of HTTP/1.0 name a Transfer-Encoding (RFC 9112, section
// 6.1): HTTP/1.0 has no chunks. net/http removes the field, so that Check does not find it.
func CheckOldHead(head []byte) error {
	for line := range bytes.Lines(head) {
		if name, _, _ := strings.Cut(string(line), ":"); strings.EqualFold(strings.TrimSpace(name), "Transfer-Encoding") {
			return ErrMalformed{"HTTP/1.0 with a Transfer-Encoding"}
		}
	}
	return nil
}
