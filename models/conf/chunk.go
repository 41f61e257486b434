// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package conf

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"sort"
)

// Accounts and targets are hashed to buckets, one chunk each, so that a router
// fetches only the few chunks that a change affects.
const (
	accountBuckets = 64
	targetBuckets  = 16
)

// Chunk is a part of a document, addressed by the hash of its content.
type Chunk struct {
	Hash    string
	Content []byte
}

// Manifest lists the chunk hashes of a document. The hash of its JSON identifies the
// whole document.
type Manifest struct {
	Chunks []string `json:"chunks"`
}

// Split encodes a document as a manifest and chunks. The encoding is deterministic:
// equal documents have equal hashes.
func (d *Document) Split() (manifest Chunk, chunks []Chunk, err error) {
	var m Manifest
	for _, part := range d.parts() {
		content, err := json.Marshal(part)
		if err != nil {
			return Chunk{}, nil, err
		}
		c := Chunk{Hash(content), content}
		chunks = append(chunks, c)
		m.Chunks = append(m.Chunks, c.Hash)
	}
	content, err := json.Marshal(m)
	if err != nil {
		return Chunk{}, nil, err
	}
	return Chunk{Hash(content), content}, chunks, nil
}

func (d *Document) parts() []Document {
	parts := []Document{{Pools: d.Pools}}
	for _, p := range d.Policies {
		parts = append(parts, Document{Policies: []Policy{p}})
	}
	accounts := bucketByName(d.Accounts, accountBuckets, func(a ClientAccount) string { return a.Name })
	for _, bucket := range accounts {
		parts = append(parts, Document{Accounts: bucket})
	}
	targets := bucketByName(d.Targets, targetBuckets, func(t Target) string { return t.Name })
	for _, bucket := range targets {
		parts = append(parts, Document{Targets: bucket})
	}
	return parts
}

// bucketByName distributes items over n buckets by the hash of their name and sorts
// each bucket by name. It omits empty buckets.
func bucketByName[T any](items []T, n int, name func(T) string) [][]T {
	buckets := make([][]T, n)
	for _, it := range items {
		h := fnv.New32a()
		_, _ = h.Write([]byte(name(it)))
		at := int(h.Sum32() % uint32(n))
		buckets[at] = append(buckets[at], it)
	}
	var used [][]T
	for _, b := range buckets {
		if len(b) == 0 {
			continue
		}
		sort.Slice(b, func(i, j int) bool { return name(b[i]) < name(b[j]) })
		used = append(used, b)
	}
	return used
}

// ParseManifest verifies a manifest against its hash and parses it.
func ParseManifest(hash string, content []byte) (Manifest, error) {
	var m Manifest
	if Hash(content) != hash {
		return m, ErrInvalid{"manifest", "the content does not have its hash"}
	}
	if err := json.Unmarshal(content, &m); err != nil {
		return m, ErrInvalid{"manifest", err.Error()}
	}
	return m, nil
}

// Join verifies the chunks and merges them into a document in the manifest's order.
func Join(m Manifest, chunks map[string][]byte) (*Document, error) {
	d := &Document{}
	for _, hash := range m.Chunks {
		content, ok := chunks[hash]
		if !ok || Hash(content) != hash {
			return nil, ErrInvalid{"chunk", fmt.Sprintf("%.12s is missing or damaged", hash)}
		}
		var part Document
		if err := json.Unmarshal(content, &part); err != nil {
			return nil, ErrInvalid{"chunk", err.Error()}
		}
		d.Accounts = append(d.Accounts, part.Accounts...)
		d.Pools = append(d.Pools, part.Pools...)
		d.Targets = append(d.Targets, part.Targets...)
		d.Policies = append(d.Policies, part.Policies...)
	}
	return d, nil
}
