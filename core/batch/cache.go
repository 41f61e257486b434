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

// cachedPart is a prompt part in the engine's memory. It is a cache hit only if all
// parts before it in the prompt are cached, too.
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

// copyableTokens returns the tokens at the beginning of the prompt that are prefilled,
// so that another engine can copy them.
func (c *cache) copyableTokens(parts []routing.PromptPart) int {
	tokens := 0
	for _, p := range parts {
		part, ok := c.parts[p.ID]
		if !ok || !part.prefilled {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// markPrefilled marks the parts of a request as prefilled.
func (c *cache) markPrefilled(parts []routing.PromptPart) {
	for _, p := range parts {
		if part, ok := c.parts[p.ID]; ok {
			part.prefilled = true
		}
	}
}

// dropNotPrefilled drops unused parts that were never prefilled.
func (c *cache) dropNotPrefilled(parts []routing.PromptPart) {
	for _, p := range parts {
		if part, ok := c.parts[p.ID]; ok && !part.prefilled && part.pins == 0 {
			c.drop(part)
		}
	}
}

// pin adds the parts of a starting request to the cache and marks them as in use.
func (c *cache) pin(now time.Time, parts []routing.PromptPart) {
	for _, p := range parts {
		part, ok := c.parts[p.ID]
		if !ok {
			part = &cachedPart{id: p.ID, tokens: p.Tokens}
			part.elem = c.lru.PushBack(part)
			c.parts[p.ID] = part
			c.usedTokens += p.Tokens
		}
		c.lru.MoveToBack(part.elem)
		part.usedAt = now
		if part.pins == 0 {
			c.pinnedTokens += part.tokens
		}
		part.pins++
	}
	c.evict()
}

// unpin releases the parts of a request that ended.
func (c *cache) unpin(now time.Time, parts []routing.PromptPart) {
	for _, p := range parts {
		part, ok := c.parts[p.ID]
		if !ok || part.pins == 0 {
			continue
		}
		part.pins--
		part.usedAt = now
		if part.pins == 0 {
			c.pinnedTokens -= part.tokens
		}
	}
	c.evict()
}

// evict drops the least recently used parts that are not pinned until the rest fits.
func (c *cache) evict() {
	for at := c.lru.Front(); at != nil && c.usedTokens+c.outputTokens > c.capacity; {
		part, next := at.Value.(*cachedPart), at.Next()
		if part.pins == 0 {
			c.drop(part)
		}
		at = next
	}
}

// sync replaces the cached parts by those that the engine reported at a time. Parts
// that are pinned or were used since stay. New parts count as least recently used,
// since the engine does not report when it used them.
func (c *cache) sync(at time.Time, parts []routing.PromptPart) {
	reported := make(map[uint64]bool, len(parts))
	for _, p := range parts {
		reported[p.ID] = true
		if part, ok := c.parts[p.ID]; ok || p.Tokens <= 0 {
			if ok {
				part.prefilled = true
			}
			continue
		}
		part := &cachedPart{id: p.ID, tokens: p.Tokens, prefilled: true, usedAt: at}
		part.elem = c.lru.PushFront(part)
		c.parts[p.ID] = part
		c.usedTokens += p.Tokens
	}
	for _, part := range c.parts {
		if !reported[part.id] && part.pins == 0 && part.usedAt.Before(at) {
			c.drop(part)
		}
	}
	c.evict()
}

func (c *cache) drop(part *cachedPart) {
	c.lru.Remove(part.elem)
	delete(c.parts, part.id)
	c.usedTokens -= part.tokens
}

// available returns the tokens that are free or evictable.
func (c *cache) available() int { return c.capacity - c.pinnedTokens - c.outputTokens }

// leastRecentlyUsed returns the part that is evicted first, or nil.
func (c *cache) leastRecentlyUsed() *cachedPart {
	for at := c.lru.Front(); at != nil; at = at.Next() {
		if part := at.Value.(*cachedPart); part.pins == 0 {
			return part
		}
	}
	return nil
}
