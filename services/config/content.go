// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package config

import (
	"context"
	"fmt"
	"sync"

	"madderway/core/policy"
	"madderway/models/conf"
	"madderway/models/result"
	"madderway/services/platform"
)

const (
	headKey         = "config/head"
	operationPrefix = "config/op/"
	objectPrefix    = "config/chunk/"
	fetchParallel   = 8
	noPolicy        = ""
)

// Snapshot is an immutable configuration with its compiled policies.
type Snapshot struct {
	Index    *conf.Index
	programs map[string]*policy.Program
}

// Program returns the policy of an account, nil if it has none.
func (s *Snapshot) Program(account *conf.ClientAccount) *policy.Program {
	if account.Policy == noPolicy {
		return nil
	}
	return s.programs[account.Policy]
}

// newSnapshot validates a document and compiles its policies.
func newSnapshot(version uint64, hash string, d *conf.Document) (*Snapshot, error) {
	index, err := conf.NewIndex(version, hash, d)
	if err != nil {
		return nil, result.Wrap(result.BadConfig, err)
	}
	programs := map[string]*policy.Program{}
	for _, p := range d.Policies {
		program, err := policy.Compile(p.Name, p.Source)
		if err != nil {
			return nil, result.Wrap(result.BadPolicy, err)
		}
		programs[p.Name] = program
	}
	return &Snapshot{index, programs}, nil
}

// chunkCache holds the chunks of the current configuration and of those being fetched or stored.
type chunkCache struct {
	mu     sync.Mutex
	chunks map[string][]byte
}

func newChunkCache() *chunkCache { return &chunkCache{chunks: map[string][]byte{}} }

func (c *chunkCache) get(hash string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	content, ok := c.chunks[hash]
	return content, ok
}

func (c *chunkCache) put(hash string, content []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chunks[hash] = content
}

// retain drops all chunks except a manifest and its chunks.
func (c *chunkCache) retain(manifest string, m conf.Manifest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := map[string][]byte{manifest: c.chunks[manifest]}
	for _, hash := range m.Chunks {
		kept[hash] = c.chunks[hash]
	}
	c.chunks = kept
}

// source fetches chunks from the object store or from peers.
type source struct {
	cache   *chunkCache
	objects platform.Objects
	peers   Peers
}

// chunk returns a chunk with a verified hash from the cache, the object store or the holders.
func (s *source) chunk(ctx context.Context, hash string, holders []string) ([]byte, error) {
	if content, ok := s.cache.get(hash); ok {
		return content, nil
	}
	content, err := s.objects.Get(ctx, objectPrefix+hash)
	for _, peer := range holders {
		if err == nil && conf.Hash(content) == hash {
			break
		}
		content, err = s.peers.FetchChunk(ctx, peer, hash)
	}
	if err != nil {
		return nil, err
	}
	if conf.Hash(content) != hash {
		return nil, fmt.Errorf("chunk %.12s does not have its hash", hash)
	}
	s.cache.put(hash, content)
	return content, nil
}

// document returns a whole document. Only chunks that are not cached are fetched.
func (s *source) document(ctx context.Context, hash string, holders []string) (*conf.Document, conf.Manifest, error) {
	content, err := s.chunk(ctx, hash, holders)
	if err != nil {
		return nil, conf.Manifest{}, err
	}
	m, err := conf.ParseManifest(hash, content)
	if err != nil {
		return nil, m, err
	}
	chunks, err := s.fetchAll(ctx, m.Chunks, holders)
	if err != nil {
		return nil, m, err
	}
	d, err := conf.Join(m, chunks)
	return d, m, err
}

func (s *source) fetchAll(ctx context.Context, hashes, holders []string) (map[string][]byte, error) {
	var (
		mu     sync.Mutex
		wg     sync.WaitGroup
		first  error
		chunks = make(map[string][]byte, len(hashes))
		slots  = make(chan struct{}, fetchParallel)
	)
	for _, hash := range hashes {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			content, err := s.chunk(ctx, hash, holders)
			mu.Lock()
			defer mu.Unlock()
			if err != nil && first == nil {
				first = err
			}
			chunks[hash] = content
		}()
	}
	wg.Wait()
	return chunks, first
}

// store writes the chunks and then the manifest to the object store, except those in the cache.
func (s *source) store(ctx context.Context, manifest conf.Chunk, chunks []conf.Chunk) error {
	for _, c := range append(chunks, manifest) {
		if _, ok := s.cache.get(c.Hash); ok {
			continue
		}
		if err := s.objects.Put(ctx, objectPrefix+c.Hash, c.Content); err != nil {
			return err
		}
		s.cache.put(c.Hash, c.Content)
	}
	return nil
}
