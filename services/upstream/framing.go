// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package upstream

import "net/http"

// Framing is the way in which an answer marks the end of its body (RFC 9112, section 6.3).
type Framing uint8

// Framings of an answer.
const (
	FramedByLength Framing = iota // an announced length, or a status without a body
	FramedByChunks                // the last chunk
	FramedByClose                 // the end of the connection, whether the body is complete or not
)

// String returns the name of the framing.
func (f Framing) String() string { return [...]string{"length", "chunks", "close"}[f] }

func framingOf(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	case resp.ContentLength < 0:
		return FramedByClose
	default:
		return FramedByLength
	}
}
