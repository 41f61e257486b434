// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package upstream

import (
	"bytes"
	"fmt"
	"io"
	"net/http"

	"madderway/modules/netopt"
)

// maxHeadLines bounds the lines of a head: a short field takes 20 times as much memory as its bytes.
const maxHeadLines = 256

var errHeadTooManyLines = fmt.Errorf("the head of the answer has over %d lines", maxHeadLines)

var errHeadTooLarge = fmt.Errorf("the head of the answer is over %d bytes", netopt.MaxResponseHead)

// headLimiter fails a read beyond netopt.MaxResponseHead or maxHeadLines while the head of an answer is read, including
// interim answers before it: http.ReadResponse reads a line or a header of any length. What the buffer
// above it has read ahead of a head does not count.
type headLimiter struct {
	r         io.Reader
	inHead    bool
	remaining int // bytes
	lines     int
	captured  []byte // bytes read since capture, nil if they are not captured
}

// startHead begins to count.
func (l *headLimiter) startHead() { l.inHead, l.remaining, l.lines = true, netopt.MaxResponseHead, 0 }

// endHead ends the count: a body has bounds of its own.
func (l *headLimiter) endHead() { l.inHead, l.captured = false, nil }

// capture keeps the bytes that are read until the end of the head, after those that have been read.
func (l *headLimiter) capture(read []byte) { l.captured = append([]byte{}, read...) }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.r.Read(p)
	}
	if l.remaining == 0 {
		return 0, errHeadTooLarge
	}
	if l.lines > maxHeadLines {
		return 0, errHeadTooManyLines
	}
	n, err := l.r.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	l.lines += bytes.Count(p[:n], lineEnd)
	if l.captured != nil {
		l.captured = append(l.captured, p[:n]...)
	}
	return n, err
}

var lineEnd = []byte("\n")

// hasTooManyFields reports whether a head that came with one read has more fields than lines are allowed.
func hasTooManyFields(h http.Header) bool {
	fields := 0
	for _, values := range h {
		fields += len(values)
	}
	return fields > maxHeadLines
}
