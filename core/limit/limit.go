// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package limit adapts how many requests a target runs at once: additive
// increase while answers are quick, multiplicative decrease when they are not.
package limit

import "time"

// Config holds the goals and steps of a Limiter.
type Config struct {
	Ceiling        int           // Ceiling is the configured limit.
	Floor          int           // Floor is the least limit, at least 1.
	FirstTokenGoal time.Duration // FirstTokenGoal is the time to first token to stay under.
	TokenGapGoal   time.Duration // TokenGapGoal is the time between tokens to stay under.
	Backoff        float64       // Backoff multiplies the limit on overload.
	Cooldown       time.Duration // Cooldown is the least time between two decreases.
}

// Defaults of Config for a model target.
const (
	DefaultFirstTokenGoal = 1400 * time.Millisecond
	DefaultTokenGapGoal   = 49 * time.Millisecond
	DefaultBackoff        = 0.8
	DefaultCooldown       = 2 * time.Second
)

// Sample is what one request showed. Zero values are not judged.
type Sample struct {
	FirstToken time.Duration
	TokenGap   time.Duration
	Failed     bool // Failed means that the target could not be reached or refused for load.
}

// Limiter holds the current limit of one target.
type Limiter struct {
	cfg      Config
	limit    float64
	lastDrop time.Time
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

// Limit returns how many requests may run at once.
func (l *Limiter) Limit() int { return int(l.limit) }

// SetCeiling changes the configured limit.
func (l *Limiter) SetCeiling(n int) {
	if n == l.cfg.Ceiling {
		return
	}
	if n > l.cfg.Ceiling && int(l.limit) == l.cfg.Ceiling {
		l.limit = float64(n)
	}
	l.cfg.Ceiling = n
	l.limit = min(l.limit, float64(n))
}

// Observe takes the sample of one finished request.
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
	if !l.lastDrop.IsZero() && now.Sub(l.lastDrop) < l.cfg.Cooldown {
		return
	}
	l.lastDrop = now
	l.limit = max(l.limit*l.cfg.Backoff, float64(l.cfg.Floor))
}
