// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import "sync"

const (
	// bufferStep is by how much the sizes of buffers differ. While callers send their requests
	// slowly a thousand buffers are in use: with one size for all, of 64 KB, the collector
	// took two fifths of a process that has 184 MB.
	bufferStep = 4 << 10
	// bufferSizes is how many sizes are kept; longer buffers are made anew.
	bufferSizes = 16
)

// bufferPools keeps bufferPools of some sizes for those that need them next.
type bufferPools [bufferSizes]sync.Pool

// requestBuffers are buffers for requestBuffers that are handed over.
var requestBuffers bufferPools

// get returns a buffer of at least this size.
func (b *bufferPools) get(size int) *[]byte {
	step := (size + bufferStep - 1) / bufferStep
	if step > bufferSizes {
		buffer := make([]byte, size)
		return &buffer
	}
	if kept, ok := b[max(step, 1)-1].Get().(*[]byte); ok {
		return kept
	}
	buffer := make([]byte, max(step, 1)*bufferStep)
	return &buffer
}

// put gives a buffer back.
func (b *bufferPools) put(buffer *[]byte) {
	if step := len(*buffer) / bufferStep; len(*buffer)%bufferStep == 0 && step >= 1 && step <= bufferSizes {
		b[step-1].Put(buffer)
	}
}
