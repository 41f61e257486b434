// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package setting

import "time"

// Caller configures the listener for callers and its limits.
type Caller struct {
	Listen         string   `toml:"listen"`
	MaxHeaderBytes int      `toml:"max_header_bytes"`
	MaxBodyBytes   int64    `toml:"max_body_bytes"`
	ReadTimeout    Duration `toml:"read_timeout"`  // for header and body
	IdleTimeout    Duration `toml:"idle_timeout"`  // between requests on a connection
	DrainTimeout   Duration `toml:"drain_timeout"` // maximum wait for in-flight requests on shutdown
}

func defaultCaller() Caller {
	return Caller{
		MaxHeaderBytes: 16 << 10,
		MaxBodyBytes:   4 << 20,
		ReadTimeout:    Duration{15 * time.Second},
		IdleTimeout:    Duration{2 * time.Minute},
		DrainTimeout:   Duration{10 * time.Minute},
	}
}

func (c Caller) check() error {
	return checkAll(
		checkAddress("caller.listen", c.Listen),
		checkRange("caller.max_header_bytes", c.MaxHeaderBytes, 1<<10, 1<<20),
		checkRange("caller.max_body_bytes", c.MaxBodyBytes, 1<<10, 1<<30),
		checkDuration("caller.read_timeout", c.ReadTimeout, 100*time.Millisecond, 10*time.Minute),
		checkDuration("caller.idle_timeout", c.IdleTimeout, time.Second, time.Hour),
		checkDuration("caller.drain_timeout", c.DrainTimeout, 0, 24*time.Hour),
	)
}
