// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package batch estimates the state of an engine that serves requests in batches: its
// prefix cache, its prefill backlog, its memory in use, its speed and its health.
//
// The estimates rest on the requests sent to the engine, their outcomes and the cache
// contents that it reports. The package does no I/O.
package batch

import (
	"container/list"
	"time"

	"madderway/models/routing"
)

// cachedPart is a prompt part in the engine's memory. It is a cache hit only if all parts
// before it in the prompt are cached, too.
type cachedPart struct {
	id        uint64
	tokens    int
	pins      int  // running requests that use it
	prefilled bool // false while a request still has to prefill it
	usedAt    time.Time
	elem      *list.Element
}

// cache estimates the engine's prefix cache, with LRU eviction.
type cache struct {
	capacity     int
	usedTokens   int // tokens of all parts
	pinnedTokens int // tokens of the parts in use
	outputTokens int // tokens that running requests may generate
	parts        map[uint64]*cachedPart
	lru          *list.List // least recently used first
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, parts: map[uint64]*cachedPart{}, lru: list.New()}
}

// hitTokens returns the tokens at the beginning of the prompt that are cached.
func (c *cache) hitTokens(parts []routing.PromptPart) int {
	tokens := 0
	for _, p := range parts {
		if _, ok := c.parts[p.ID]; !ok {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// copyableTokens returns the tokens at the beginning of the prompt that are prefilled, so that
// another engine can copy them.
func (c *cache) copyableTokens(parts []routing.PromptPart) int {
	tokens := 0
	for _, p := range parts {
		k, ok := c.parts[p.ID]
		if !ok || !k.prefilled {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// markPrefilled marks the parts of a request as prefilled.
func (c *cache) markPrefilled(parts []routing.PromptPart) {
	for _, p := range parts {
		if k, ok := c.parts[p.ID]; ok {
			k.prefilled = true
		}
	}
}

// dropNotPrefilled drops unused parts that were never prefilled.
func (c *cache) dropNotPrefilled(parts []routing.PromptPart) {
	for _, p := range parts {
		if k, ok := c.parts[p.ID]; ok && !k.prefilled && k.pins == 0 {
			c.drop(k)
		}
	}
}

// pin adds the parts of a starting request to the cache and marks them as in use.
func (c *cache) pin(now time.Time, parts []routing.PromptPart) {
	for _, p := range parts {
		k, ok := c.parts[p.ID]
		if !ok {
			k = &cachedPart{id: p.ID, tokens: p.Tokens}
			k.elem = c.lru.PushBack(k)
			c.parts[p.ID] = k
			c.usedTokens += p.Tokens
		}
		c.lru.MoveToBack(k.elem)
		k.usedAt = now
		if k.pins == 0 {
			c.pinnedTokens += k.tokens
		}
		k.pins++
	}
	c.evict()
}

// unpin releases the parts of a request that ended.
func (c *cache) unpin(now time.Time, parts []routing.PromptPart) {
	for _, p := range parts {
		k, ok := c.parts[p.ID]
		if !ok || k.pins == 0 {
			continue
		}
		k.pins--
		k.usedAt = now
		if k.pins == 0 {
			c.pinnedTokens -= k.tokens
		}
	}
	c.evict()
}

// evict drops the least recently used parts that are not pinned until the rest fits.
func (c *cache) evict() {
	for at := c.lru.Front(); at != nil && c.usedTokens+c.outputTokens > c.capacity; {
		k, next := at.Value.(*cachedPart), at.Next()
		if k.pins == 0 {
			c.drop(k)
		}
		at = next
	}
}

// sync replaces the cached parts by those that the engine reported at a time. Parts
// that are pinned or were used since stay. New parts count as least recently used,
// since the engine does not report when it used them.
func (c *cache) sync(at time.Time, parts []routing.PromptPart) {
	told := make(map[uint64]bool, len(parts))
	for _, p := range parts {
		told[p.ID] = true
		if k, ok := c.parts[p.ID]; ok || p.Tokens <= 0 {
			if ok {
				k.prefilled = true
			}
			continue
		}
		k := &cachedPart{id: p.ID, tokens: p.Tokens, prefilled: true, usedAt: at}
		k.elem = c.lru.PushFront(k)
		c.parts[p.ID] = k
		c.usedTokens += p.Tokens
	}
	for _, k := range c.parts {
		if !told[k.id] && k.pins == 0 && k.usedAt.Before(at) {
			c.drop(k)
		}
	}
	c.evict()
}

func (c *cache) drop(k *cachedPart) {
	c.lru.Remove(k.elem)
	delete(c.parts, k.id)
	c.usedTokens -= k.tokens
}

// available returns the tokens that are free or evictable.
func (c *cache) available() int { return c.capacity - c.pinnedTokens - c.outputTokens }
