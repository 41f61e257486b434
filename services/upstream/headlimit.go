// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package upstream

import (
	"fmt"
	"io"

	"madderway/modules/netopt"
)

var errHeadTooLarge = fmt.Errorf("the head of the answer is over %d bytes", netopt.MaxResponseHead)

// headLimiter fails a read beyond netopt.MaxResponseHead while the head of an answer is read, including
// interim answers before it: http.ReadResponse reads a line or a header of any length. What the buffer
// above it has read ahead of a head does not count.
type headLimiter struct {
	r         io.Reader
	inHead    bool
	remaining int
}

// startHead begins to count.
func (l *headLimiter) startHead() { l.inHead, l.remaining = true, netopt.MaxResponseHead }

// endHead ends the count: a body has bounds of its own.
func (l *headLimiter) endHead() { l.inHead = false }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.r.Read(p)
	}
	if l.remaining == 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}
