// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package conf

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
)

// Defaults for fields that a document does not set, and bounds of its values.
const (
	DefaultMaxQueued      = 256
	DefaultMaxQueuedBytes = 16 << 20
	DefaultKeepAnswers    = 64
	DefaultKeepBytes      = 16 << 20
	DefaultTimeoutMS      = 120_000
	DefaultSlots          = 8
	DefaultMaxCost        = 16_384
	maxSlots              = 1024
	maxWeight             = 1e6
)

// ErrBad is wrapped by all errors of this package.
var ErrBad = errors.New("configuration not valid")

// ErrInvalid reports the invalid field and the reason.
type ErrInvalid struct{ Field, Reason string }

// Error implements error.
func (e ErrInvalid) Error() string { return e.Field + ": " + e.Reason }

// Unwrap returns ErrBad.
func (e ErrInvalid) Unwrap() error { return ErrBad }

// IsErrInvalid reports whether err is an ErrInvalid.
func IsErrInvalid(err error) bool {
	var e ErrInvalid
	return errors.As(err, &e)
}

// Check fills in defaults and returns an ErrInvalid for the first invalid field.
func (d *Document) Check() error {
	policies, err := d.checkPolicies()
	if err != nil {
		return err
	}
	if err := d.checkAccounts(policies); err != nil {
		return err
	}
	pools, err := d.checkPools()
	if err != nil {
		return err
	}
	return d.checkTargets(pools)
}

func (d *Document) checkPolicies() (map[string]bool, error) {
	names := make(map[string]bool, len(d.Policies))
	for _, p := range d.Policies {
		if p.Name == "" || names[p.Name] {
			return nil, ErrInvalid{"policy.name", fmt.Sprintf("%q is empty or stands twice", p.Name)}
		}
		names[p.Name] = true
	}
	return names, nil
}

func (d *Document) checkAccounts(policies map[string]bool) error {
	names, keys := map[string]bool{}, map[string]bool{}
	for i := range d.Accounts {
		a := &d.Accounts[i]
		field := "account." + a.Name
		if a.Name == "" || names[a.Name] {
			return ErrInvalid{"account.name", fmt.Sprintf("%q is empty or stands twice", a.Name)}
		}
		names[a.Name] = true
		if a.Policy != "" && !policies[a.Policy] {
			return ErrInvalid{field + ".policy", fmt.Sprintf("no policy %q", a.Policy)}
		}
		if err := checkKeys(field, a.KeySHA256, keys); err != nil {
			return err
		}
		a.setDefaults()
		if a.Weight < 0 || a.Weight > maxWeight {
			return ErrInvalid{field + ".weight", "out of range"}
		}
		if a.MaxQueued < 0 || a.MaxQueuedBytes < 0 || a.KeepAnswers < 0 || a.KeepBytes < 0 {
			return ErrInvalid{field, "a limit is negative"}
		}
	}
	return nil
}

func checkKeys(field string, hashes []string, seen map[string]bool) error {
	if len(hashes) == 0 {
		return ErrInvalid{field + ".key_sha256", "no key"}
	}
	for _, h := range hashes {
		raw, err := hex.DecodeString(h)
		if err != nil || len(raw) != 32 {
			return ErrInvalid{field + ".key_sha256", "not a SHA-256 in hex"}
		}
		if seen[h] {
			return ErrInvalid{field + ".key_sha256", "the key belongs to another account too"}
		}
		seen[h] = true
	}
	return nil
}

func (a *ClientAccount) setDefaults() {
	setDefault(&a.Weight, 1)
	setDefault(&a.MaxQueued, DefaultMaxQueued)
	setDefault(&a.MaxQueuedBytes, DefaultMaxQueuedBytes)
	setDefault(&a.KeepAnswers, DefaultKeepAnswers)
	setDefault(&a.KeepBytes, DefaultKeepBytes)
}

func (d *Document) checkPools() (map[string]bool, error) {
	names, models := map[string]bool{}, map[string]bool{}
	for i := range d.Pools {
		p := &d.Pools[i]
		field := "pool." + p.Name
		if p.Name == "" || names[p.Name] {
			return nil, ErrInvalid{"pool.name", fmt.Sprintf("%q is empty or stands twice", p.Name)}
		}
		names[p.Name] = true
		if p.Kind != KindModel && p.Kind != KindService {
			return nil, ErrInvalid{field + ".kind", fmt.Sprintf("%q is neither model nor service", p.Kind)}
		}
		for _, m := range p.Models {
			if models[m] {
				return nil, ErrInvalid{field + ".models", fmt.Sprintf("%q is served by another pool too", m)}
			}
			models[m] = true
		}
		p.setDefaults()
		if p.PromptWeight < 0 || p.OutputWeight < 0 || p.MilliWeight < 0 || p.MaxCost <= 0 || p.Quantum < 0 || p.HeadStart < 0 || p.TimeoutMS <= 0 {
			return nil, ErrInvalid{field, "a weight, cost or time is out of range"}
		}
	}
	return names, nil
}

func (p *Pool) setDefaults() {
	setDefault(&p.TimeoutMS, DefaultTimeoutMS)
	setDefault(&p.MaxCost, DefaultMaxCost)
	if p.Kind == KindService {
		setDefault(&p.MilliWeight, 1)
		return
	}
	setDefault(&p.PromptWeight, 0.25)
	setDefault(&p.OutputWeight, 1)
}

func (d *Document) checkTargets(pools map[string]bool) error {
	names := map[string]bool{}
	for i := range d.Targets {
		t := &d.Targets[i]
		field := "target." + t.Name
		if t.Name == "" || names[t.Name] {
			return ErrInvalid{"target.name", fmt.Sprintf("%q is empty or stands twice", t.Name)}
		}
		names[t.Name] = true
		if !pools[t.Pool] {
			return ErrInvalid{field + ".pool", fmt.Sprintf("no pool %q", t.Pool)}
		}
		if _, err := netip.ParseAddrPort(t.Address); err != nil {
			return ErrInvalid{field + ".address", "not an IP number and port"}
		}
		setDefault(&t.Slots, DefaultSlots)
		if t.Slots < 1 || t.Slots > maxSlots {
			return ErrInvalid{field + ".slots", fmt.Sprintf("not between 1 and %d", maxSlots)}
		}
	}
	return nil
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
