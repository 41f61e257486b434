// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package setting

import "encoding/hex"

// Operator configures the listener for operators.
type Operator struct {
	Listen      string   `toml:"listen"`
	TokenSHA256 []string `toml:"token_sha256"` // hex digests of the accepted tokens
}

func (o Operator) check() error {
	if err := checkAddress("operator.listen", o.Listen); err != nil {
		return err
	}
	if len(o.TokenSHA256) == 0 {
		return ErrSetting{"operator.token_sha256", "is missing"}
	}
	for _, h := range o.TokenSHA256 {
		if raw, err := hex.DecodeString(h); err != nil || len(raw) != 32 {
			return ErrSetting{"operator.token_sha256", "not a SHA-256 in hex"}
		}
	}
	return nil
}
