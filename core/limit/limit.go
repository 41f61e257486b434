// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package limit adapts the concurrency limit of a target: additive increase while responses
// are quick, multiplicative decrease when they are not.
package limit

import (
	"time"

	"madderway/modules/saturate"
)

// Config holds the bounds, latency goals and steps of a Limiter.
type Config struct {
	Ceiling        int           // configured concurrency limit
	Floor          int           // lowest limit, at least 1
	FirstTokenGoal time.Duration // highest time to first token that is not overload; 0 is unlimited
	TokenGapGoal   time.Duration // highest time between tokens that is not overload; 0 is unlimited
	Backoff        float64       // factor applied to the limit on overload
	Cooldown       time.Duration // least time between two decreases
}

// Defaults of Config for a model target.
const (
	DefaultFirstTokenGoal = 1400 * time.Millisecond
	DefaultTokenGapGoal   = 49 * time.Millisecond
	DefaultBackoff        = 0.8
	DefaultCooldown       = 2 * time.Second
)

// Sample holds the latencies of a finished request. Zero values are ignored.
type Sample struct {
	FirstToken time.Duration
	TokenGap   time.Duration
	Failed     bool // target unreachable, or request refused for overload
}

// Limiter holds the current concurrency limit of one target.
type Limiter struct {
	cfg          Config
	limit        float64
	lastDecrease time.Time
}

// New returns a limiter that starts at the ceiling.
func New(cfg Config) *Limiter {
	if cfg.Floor < 1 {
		cfg.Floor = 1
	}
	if cfg.Backoff == 0 {
		cfg.Backoff = DefaultBackoff
	}
	if cfg.Cooldown == 0 {
		cfg.Cooldown = DefaultCooldown
	}
	return &Limiter{cfg: cfg, limit: float64(cfg.Ceiling)}
}

// Limit returns the number of requests that may run at once.
func (l *Limiter) Limit() int { return saturate.Int(l.limit) }

// SetCeiling changes the configured limit.
func (l *Limiter) SetCeiling(n int) {
	if n == l.cfg.Ceiling {
		return
	}
	if n > l.cfg.Ceiling && saturate.Int(l.limit) == l.cfg.Ceiling {
		l.limit = float64(n)
	}
	l.cfg.Ceiling = n
	l.limit = min(l.limit, float64(n))
}

// Observe adjusts the limit to the sample of one finished request.
func (l *Limiter) Observe(now time.Time, s Sample) {
	if l.overloaded(s) {
		l.decrease(now)
		return
	}
	l.limit = min(l.limit+1/l.limit, float64(l.cfg.Ceiling))
}

func (l *Limiter) overloaded(s Sample) bool {
	if s.Failed {
		return true
	}
	if l.cfg.FirstTokenGoal > 0 && s.FirstToken > l.cfg.FirstTokenGoal {
		return true
	}
	return l.cfg.TokenGapGoal > 0 && s.TokenGap > l.cfg.TokenGapGoal
}

func (l *Limiter) decrease(now time.Time) {
	if !l.lastDecrease.IsZero() && now.Sub(l.lastDecrease) < l.cfg.Cooldown {
		return
	}
	l.lastDecrease = now
	l.limit = max(l.limit*l.cfg.Backoff, float64(l.cfg.Floor))
}
