// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package conf

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
)

func sampleDocument(accounts int) *Document {
	d := &Document{
		Policies: []Policy{{Name: "p", Source: "x = 1"}},
		Pools:    []Pool{{Name: "chat", Kind: KindModel, Models: []string{"m"}}, {Name: "desk", Kind: KindService}},
		Targets:  []Target{{Name: "t1", Pool: "chat", Address: "127.0.0.1:1"}, {Name: "t2", Pool: "desk", Address: "127.0.0.1:2"}},
	}
	for i := range accounts {
		d.Accounts = append(d.Accounts, ClientAccount{Name: fmt.Sprint("a", i), KeySHA256: []string{fmt.Sprintf("%064x", i)}, Policy: "p"})
	}
	return d
}

// Guards against chunks that change without need: routers fetch each changed one.
func TestJoinRestoresSplitDocument(t *testing.T) {
	d := sampleDocument(200)
	manifest, chunks, err := d.Split()
	if err != nil {
		t.Fatal(err)
	}
	byHash := map[string][]byte{}
	for _, c := range chunks {
		byHash[c.Hash] = c.Content
	}
	m, err := ParseManifest(manifest.Hash, manifest.Content)
	if err != nil {
		t.Fatal(err)
	}
	joined, err := Join(m, byHash)
	if err != nil {
		t.Fatal(err)
	}
	again, _, err := joined.Split()
	if err != nil || again.Hash != manifest.Hash {
		t.Fatal("splitting the joined document gave another manifest")
	}
	joined.Accounts[3].Weight = 2
	_, changed, err := joined.Split()
	if err != nil {
		t.Fatal(err)
	}
	newChunks := 0
	for _, c := range changed {
		if _, known := byHash[c.Hash]; !known {
			newChunks++
		}
	}
	if newChunks != 1 {
		t.Errorf("changing one account changed %d chunks, want 1", newChunks)
	}
	damaged := map[string][]byte{}
	for h := range byHash {
		damaged[h] = []byte("{}")
	}
	if _, err := Join(m, damaged); !IsErrInvalid(err) {
		t.Errorf("Join accepted damaged chunks: %v", err)
	}
}

func TestCheckErrorNamesField(t *testing.T) {
	for field, invalidate := range map[string]func(*Document){
		"account.name":          func(d *Document) { d.Accounts[1].Name = d.Accounts[0].Name },
		"account.a0.key_sha256": func(d *Document) { d.Accounts[0].KeySHA256 = []string{"zz"} },
		"account.a1.key_sha256": func(d *Document) { d.Accounts[1].KeySHA256 = d.Accounts[0].KeySHA256 },
		"account.a0.policy":     func(d *Document) { d.Accounts[0].Policy = "none" },
		"account.a0.weight":     func(d *Document) { d.Accounts[0].Weight = -1 },
		"pool.chat.kind":        func(d *Document) { d.Pools[0].Kind = "other" },
		"target.t1.pool":        func(d *Document) { d.Targets[0].Pool = "none" },
		"target.t1.address":     func(d *Document) { d.Targets[0].Address = "host:1" },
		"target.t2.slots":       func(d *Document) { d.Targets[1].Slots = -1 },
	} {
		d := sampleDocument(2)
		invalidate(d)
		if err := d.Check(); !IsErrInvalid(err) || !strings.HasPrefix(err.Error(), field+":") {
			t.Errorf("error for invalid %s: got %v", field, err)
		}
	}
	if err := sampleDocument(2).Check(); err != nil {
		t.Error(err)
	}
}

func TestAuthenticateAcceptsOnlyKnownKeys(t *testing.T) {
	d := sampleDocument(1)
	d.Accounts[0].KeySHA256 = []string{Hash([]byte("secret"))}
	x, err := NewIndex(1, "", d)
	if err != nil {
		t.Fatal(err)
	}
	if a, ok := x.Authenticate("secret"); !ok || a.Name != "a0" {
		t.Error("valid key was rejected")
	}
	if _, ok := x.Authenticate("wrong"); ok {
		t.Error("invalid key was accepted")
	}
	if got := len(x.TargetsOf("chat")); got != 1 || !reflect.DeepEqual(x.TargetsOf("none"), []*Target(nil)) {
		t.Errorf("TargetsOf: got %d targets for the pool, want 1 and none for an unknown pool", got)
	}
}
