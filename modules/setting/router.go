// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package setting

import (
	"fmt"
	"regexp"
)

var idPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,31}$`)

// Router identifies this process and its location.
type Router struct {
	ID       string `toml:"id"`
	DataHall string `toml:"data_hall"`
	Region   string `toml:"region"`
}

func (r Router) check() error {
	if !idPattern.MatchString(r.ID) {
		return ErrSetting{"router.id", fmt.Sprintf("%q must be 1 to 32 lower-case letters, digits and dashes, and not start with a dash", r.ID)}
	}
	if r.DataHall == "" {
		return ErrSetting{"router.data_hall", "is missing"}
	}
	if r.Region == "" {
		return ErrSetting{"router.region", "is missing"}
	}
	return nil
}
