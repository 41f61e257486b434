// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package conf

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// Index holds a checked document and its lookup tables. It is read-only.
type Index struct {
	Version  uint64
	Hash     string
	Document *Document

	accounts map[string]*ClientAccount
	keys     map[[sha256.Size]byte]*ClientAccount
	pools    map[string]*Pool
	models   map[string]*Pool
	targets  map[string]*Target
	byPool   map[string][]*Target
}

// NewIndex checks d, which fills in defaults, and builds its lookup tables.
func NewIndex(version uint64, hash string, d *Document) (*Index, error) {
	if err := d.Check(); err != nil {
		return nil, err
	}
	x := &Index{
		Version: version, Hash: hash, Document: d,
		accounts: map[string]*ClientAccount{},
		keys:     map[[sha256.Size]byte]*ClientAccount{},
		pools:    map[string]*Pool{},
		models:   map[string]*Pool{},
		targets:  map[string]*Target{},
		byPool:   map[string][]*Target{},
	}
	x.addAccounts()
	x.addPools()
	for i := range d.Targets {
		t := &d.Targets[i]
		x.targets[t.Name] = t
		x.byPool[t.Pool] = append(x.byPool[t.Pool], t)
	}
	return x, nil
}

func (x *Index) addAccounts() {
	for i := range x.Document.Accounts {
		a := &x.Document.Accounts[i]
		x.accounts[a.Name] = a
		for _, h := range a.KeySHA256 {
			raw, _ := hex.DecodeString(h) // validated by Document.Check
			x.keys[[sha256.Size]byte(raw)] = a
		}
	}
}

func (x *Index) addPools() {
	for i := range x.Document.Pools {
		p := &x.Document.Pools[i]
		x.pools[p.Name] = p
		for _, m := range p.Models {
			x.models[m] = p
		}
	}
}

// Authenticate returns the account that owns the key. It compares digests only, the
// last time in constant time.
func (x *Index) Authenticate(key string) (*ClientAccount, bool) {
	sum := sha256.Sum256([]byte(key))
	account, ok := x.keys[sum]
	if !ok {
		return nil, false
	}
	for _, h := range account.KeySHA256 {
		raw, _ := hex.DecodeString(h)
		if subtle.ConstantTimeCompare(raw, sum[:]) == 1 {
			return account, true
		}
	}
	return nil, false
}

// Account returns the account with this name.
func (x *Index) Account(name string) (*ClientAccount, bool) {
	a, ok := x.accounts[name]
	return a, ok
}

// Pool returns the pool with this name.
func (x *Index) Pool(name string) (*Pool, bool) {
	p, ok := x.pools[name]
	return p, ok
}

// PoolOfModel returns the pool that serves this model.
func (x *Index) PoolOfModel(model string) (*Pool, bool) {
	p, ok := x.models[model]
	return p, ok
}

// Target returns the target with this name.
func (x *Index) Target(name string) (*Target, bool) {
	t, ok := x.targets[name]
	return t, ok
}

// TargetsOf returns the targets of a pool; the caller must not change the slice.
func (x *Index) TargetsOf(pool string) []*Target { return x.byPool[pool] }
