// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package gateway

import (
	"time"

	"madderway/modules/log"
)

// serverLog passes messages of an HTTP server to the log, such as panics of a handler.
type serverLog struct {
	log     log.Logger
	limiter *log.RateLimiter
}

const (
	serverLogInterval = time.Second
	serverLogBurst    = 5
)

func newServerLog(logger log.Logger) *serverLog {
	return &serverLog{logger, log.NewRateLimiter(serverLogInterval, serverLogBurst)}
}

// Write implements io.Writer for one message.
func (s *serverLog) Write(message []byte) (int, error) {
	if ok, suppressed := s.limiter.Allow(now()); ok {
		s.log.Warn("Message of the HTTP server.", "message", string(message), "suppressed", suppressed)
	}
	return len(message), nil
}
