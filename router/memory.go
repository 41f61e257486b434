// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package router

import (
	"madderway/modules/saturate"
	"madderway/modules/setting"
)

// Shares of a gateway's memory.
const (
	// Share of the memory that the runtime aims to stay under.
	memoryShare = 0.6
	// Share of the memory for the bodies of requests in flight.
	bodyShare = 0.25
	// Share of the memory for answers that are held before they are forwarded.
	answerShare = 0.1
	// Share of the memory for responses of other gateways that are buffered for slow callers.
	slowCallerShare = 0.05
	// Share of the memory for requests of other gateways that are being received.
	receivingShare = 0.05
)

// memoryPart returns a share of a gateway's memory, in bytes.
func memoryPart(s *setting.Gateway, share float64) int64 {
	return saturate.Int64(share * float64(s.MemoryMB<<20))
}
