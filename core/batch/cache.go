// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package batch models one engine that runs requests in batches: the parts of
// prompts that it probably keeps, the tokens that it still has to read, the
// memory in use and how fast and how sound it shows itself. The model is built
// from what was sent there and what came of it; it never asks the engine.
package batch

import (
	"container/list"
	"time"

	"madderway/models/routing"
)

// kept is one part of a prompt in the engine's memory. A part counts only
// together with all parts before it; its name is its own, as engines tell it.
type kept struct {
	id     uint64
	tokens int
	pins   int  // pins counts the running requests that use it.
	read   bool // read tells that it is in memory; else a request is still to read it.
	usedAt time.Time
	at     *list.Element
}

// cache is what the engine probably keeps, the least recently used part first
// in the list.
type cache struct {
	capacity int
	used     int // tokens of all parts
	pinned   int // tokens of the parts in use
	outputs  int // tokens that running requests may make
	parts    map[uint64]*kept
	order    *list.List
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, parts: map[uint64]*kept{}, order: list.New()}
}

// hit returns the tokens at the beginning of the prompt that are kept.
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

// ready returns the tokens at the beginning of the prompt that have been read, so
// that another engine can copy them.
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

// markRead notes that the parts of a request have been read.
func (c *cache) markRead(parts []routing.PromptPart) {
	for _, p := range parts {
		if k, ok := c.parts[p.ID]; ok {
			k.read = true
		}
	}
}

// forgetUnread drops the parts that only a request which has ended was to read.
func (c *cache) forgetUnread(parts []routing.PromptPart) {
	for _, p := range parts {
		if k, ok := c.parts[p.ID]; ok && !k.read && k.pins == 0 {
			c.drop(k)
		}
	}
}

// pin marks the parts of a request that begins as in use and kept.
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

// unpin marks the parts of a request that ended as no longer in use.
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

// evict drops the parts unused longest until all fits.
func (c *cache) evict() {
	for at := c.order.Front(); at != nil && c.used+c.outputs > c.capacity; {
		k, next := at.Value.(*kept), at.Next()
		if k.pins == 0 {
			c.drop(k)
		}
		at = next
	}
}

// learn makes the parts those that the engine says it keeps, as of a time. Parts
// in use, or used since, stay; new ones count as used longest ago: when they were
// used the engine does not say.
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

// room returns the tokens that are free or can be made free.
func (c *cache) room() int { return c.capacity - c.pinned - c.outputs }
