// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package setting reads and validates the TOML settings file of a router or gateway
// process. A router's targets are in the operators' configuration (models/conf), a
// gateway's in the platform's store (models/routing).
// Each section has a Go file of its own. madderway.example.toml documents all keys of
// a router and their defaults.
package setting

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// ErrBad is wrapped by all errors of this package.
var ErrBad = errors.New("invalid setting")

// ErrSetting reports the invalid key and the reason.
type ErrSetting struct{ Key, Reason string }

// Error implements error.
func (e ErrSetting) Error() string { return e.Key + ": " + e.Reason }

// Unwrap returns ErrBad.
func (e ErrSetting) Unwrap() error { return ErrBad }

// IsErrSetting reports whether err is an ErrSetting.
func IsErrSetting(err error) bool {
	var e ErrSetting
	return errors.As(err, &e)
}

// Settings holds the settings of a router, a field per section of the file.
type Settings struct {
	Router   Router   `toml:"router"`
	Caller   Caller   `toml:"caller"`
	Operator Operator `toml:"operator"`
	Peer     Peer     `toml:"peer"`
	Platform Platform `toml:"platform"`
	Control  Control  `toml:"control"`
	Answer   Answer   `toml:"answer"`
	Log      Log      `toml:"log"`
}

// Default returns the defaults of a router's settings.
func Default() *Settings {
	return &Settings{
		Caller:   defaultCaller(),
		Peer:     defaultPeer(),
		Platform: defaultPlatform(),
		Control:  defaultControl(),
		Answer:   defaultAnswer(),
	}
}

// Load reads and validates a settings file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrSetting{"--config", err.Error()}
	}
	return Parse(string(text))
}

// Parse parses and validates the text of a settings file. It rejects unknown keys.
func Parse(text string) (*Settings, error) {
	s := Default()
	md, err := toml.Decode(text, s)
	if err != nil {
		return nil, tomlError(err)
	}
	if unknown := md.Undecoded(); len(unknown) > 0 {
		keys := make([]string, len(unknown))
		for i, k := range unknown {
			keys[i] = k.String()
		}
		sort.Strings(keys)
		return nil, ErrSetting{strings.Join(keys, ", "), "unknown key"}
	}
	return s, s.Check()
}

func tomlError(err error) error {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		key := parse.LastKey
		if key == "" {
			key = fmt.Sprintf("line %d", parse.Position.Line)
		}
		return ErrSetting{key, fmt.Sprintf("%s (line %d)", parse.Message, parse.Position.Line)}
	}
	return ErrSetting{"file", err.Error()}
}

// Check returns an ErrSetting for the first invalid setting.
func (s *Settings) Check() error {
	checks := []func() error{
		s.Router.check, s.Caller.check, s.Operator.check, s.Peer.check,
		s.Platform.check, s.Control.check, s.Answer.check, s.Log.check,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func checkAddress(key, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return ErrSetting{key, fmt.Sprintf("%q is not an IP address and port", address)}
	}
	return nil
}

func isLoopback(address string) bool {
	ap, err := netip.ParseAddrPort(address)
	return err == nil && ap.Addr().IsLoopback()
}

func checkRange[T int | int64 | float64](key string, value, low, high T) error {
	if value < low || value > high {
		return ErrSetting{key, fmt.Sprintf("%v is not between %v and %v", value, low, high)}
	}
	return nil
}

func checkDuration(key string, d Duration, low, high time.Duration) error {
	if d.Duration < low || d.Duration > high {
		return ErrSetting{key, fmt.Sprintf("%v is not between %v and %v", d.Duration, low, high)}
	}
	return nil
}

func checkAll(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Duration is a time.Duration in TOML, written like "250ms".
type Duration struct{ time.Duration }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	d.Duration = v
	return err
}
