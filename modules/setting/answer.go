// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package setting

import "time"

const minResumeKey = 16

// Answer configures the recording of responses, which lets a caller resume after its
// connection broke.
type Answer struct {
	ResumeKey string   `toml:"resume_key"` // signs resume tokens; must be the same on all routers
	Kept      Duration `toml:"kept"`       // retention of responses in the object store
	MaxBytes  int64    `toml:"max_bytes"`  // larger responses are not recorded
	MaxHeld   int64    `toml:"max_held"`   // bytes of all responses that are held before they are sent on
}

func defaultAnswer() Answer {
	return Answer{Kept: Duration{24 * time.Hour}, MaxBytes: 4 << 20, MaxHeld: 64 << 20}
}

func (a Answer) check() error {
	if len(a.ResumeKey) < minResumeKey {
		return ErrSetting{"answer.resume_key", "needs at least 16 characters"}
	}
	return checkAll(
		checkDuration("answer.kept", a.Kept, time.Minute, 90*24*time.Hour),
		checkRange("answer.max_bytes", a.MaxBytes, 1<<10, 1<<30),
		checkRange("answer.max_held", a.MaxHeld, 1<<20, 1<<40),
	)
}
