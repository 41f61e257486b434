// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package setting

// Log configures the log.
type Log struct {
	Verbosity int `toml:"verbosity"` // 0 to 4
}

func (l Log) check() error { return checkRange("log.verbosity", l.Verbosity, 0, 4) }
