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

// kept is a prompt part in the engine's memory. It is a cache hit only if all parts
// before it in the prompt are cached, too.
type kept struct {
	id     uint64
	tokens int
	pins   int  // running requests that use it
	read   bool // false while a request still has to prefill it
	usedAt time.Time
	at     *list.Element
}

// cache estimates the engine's prefix cache, with LRU eviction.
type cache struct {
	capacity int
	used     int // tokens of all parts
	pinned   int // tokens of the parts in use
	outputs  int // tokens that running requests may generate
	parts    map[uint64]*kept
	order    *list.List // least recently used first
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, parts: map[uint64]*kept{}, order: list.New()}
}

// hit returns the tokens at the beginning of the prompt that are cached.
func (c *cache) hit(parts []routing.PromptPart) int {
	tokens := 0
	for _, p := range parts {
		if _, ok := c.parts[p.ID]; !ok {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// ready returns the tokens at the beginning of the prompt that are prefilled, so that
// another engine can copy them.
func (c *cache) ready(parts []routing.PromptPart) int {
	tokens := 0
	for _, p := range parts {
		k, ok := c.parts[p.ID]
		if !ok || !k.read {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// markRead marks the parts of a request as prefilled.
func (c *cache) markRead(parts []routing.PromptPart) {
	for _, p := range parts {
		if k, ok := c.parts[p.ID]; ok {
			k.read = true
		}
	}
}

// forgetUnread drops unused parts that were never prefilled.
func (c *cache) forgetUnread(parts []routing.PromptPart) {
	for _, p := range parts {
		if k, ok := c.parts[p.ID]; ok && !k.read && k.pins == 0 {
			c.drop(k)
		}
	}
}

// pin adds the parts of a starting request to the cache and marks them as in use.
func (c *cache) pin(now time.Time, parts []routing.PromptPart) {
	for _, p := range parts {
		k, ok := c.parts[p.ID]
		if !ok {
			k = &kept{id: p.ID, tokens: p.Tokens}
			k.at = c.order.PushBack(k)
			c.parts[p.ID] = k
			c.used += p.Tokens
		}
		c.order.MoveToBack(k.at)
		k.usedAt = now
		if k.pins == 0 {
			c.pinned += k.tokens
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
			c.pinned -= k.tokens
		}
	}
	c.evict()
}

// evict drops the least recently used parts that are not pinned until the rest fits.
func (c *cache) evict() {
	for at := c.order.Front(); at != nil && c.used+c.outputs > c.capacity; {
		k, next := at.Value.(*kept), at.Next()
		if k.pins == 0 {
			c.drop(k)
		}
		at = next
	}
}

// learn replaces the cached parts by those that the engine reported at a time. Parts
// that are pinned or were used since stay. New parts count as least recently used,
// since the engine does not report when it used them.
func (c *cache) learn(at time.Time, parts []routing.PromptPart) {
	told := make(map[uint64]bool, len(parts))
	for _, p := range parts {
		told[p.ID] = true
		if k, ok := c.parts[p.ID]; ok || p.Tokens <= 0 {
			if ok {
				k.read = true
			}
			continue
		}
		k := &kept{id: p.ID, tokens: p.Tokens, read: true, usedAt: at}
		k.at = c.order.PushFront(k)
		c.parts[p.ID] = k
		c.used += p.Tokens
	}
	for _, k := range c.parts {
		if !told[k.id] && k.pins == 0 && k.usedAt.Before(at) {
			c.drop(k)
		}
	}
	c.evict()
}

func (c *cache) drop(k *kept) {
	c.order.Remove(k.at)
	delete(c.parts, k.id)
	c.used -= k.tokens
}

// room returns the tokens that are free or evictable.
func (c *cache) room() int { return c.capacity - c.pinned - c.outputs }
