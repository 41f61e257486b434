// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import "sync"

const (
	// Difference between two sizes. Slow requests hold their buffers for long: with a single
	// large size they would take most of the memory. With 64 KB for all and a thousand in use,
	// garbage collection took two fifths of the processor time of a process with 184 MB.
	bufferStep = 4 << 10
	// Number of pooled sizes. Longer buffers are not pooled.
	bufferSizes = 16
)

// bufferPools pools buffers by size.
type bufferPools [bufferSizes]sync.Pool

// requestBuffers holds requests that are handed over.
var requestBuffers bufferPools

// get returns a buffer of at least size bytes.
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

// put returns a buffer to its pool.
func (b *bufferPools) put(buffer *[]byte) {
	if step := len(*buffer) / bufferStep; len(*buffer)%bufferStep == 0 && step >= 1 && step <= bufferSizes {
		b[step-1].Put(buffer)
	}
}
