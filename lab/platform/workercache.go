// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// copyCached copies the cached prefix of a prompt from the worker at an address, as far as it is not
// cached here, and returns the duration of the transfer.
func (w *Worker) copyCached(address, parts string) time.Duration {
	if address == "" || w.cfg.PeerAt == nil {
		return 0
	}
	source := w.cfg.PeerAt(address)
	if source == nil || source == w {
		return 0
	}
	source.mu.Lock()
	var found []string
	for _, part := range strings.Split(parts, ",") {
		id, _, _ := strings.Cut(part, ":")
		if _, ok := source.cached[id]; !ok {
			break
		}
		found = append(found, part)
	}
	source.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	tokens := 0
	for _, part := range found {
		id, text, _ := strings.Cut(part, ":")
		n, _ := strconv.Atoi(text)
		if _, ok := w.cached[id]; !ok {
			tokens += n
		}
		w.addCached(id, n)
	}
	if tokens == 0 {
		return 0
	}
	w.copies++
	w.copied += tokens
	return time.Duration(float64(tokens) / w.cfg.CopyRate * float64(time.Second))
}

// prefill adds a prompt to the prefill queue, caches its parts and returns the time until its
// prefill is complete.
func (w *Worker) prefill(parts string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	missing, hit := 0, true
	list := strings.Split(parts, ",")
	for i, part := range list {
		id, text, _ := strings.Cut(part, ":")
		tokens, _ := strconv.Atoi(text)
		if _, ok := w.cached[id]; !ok || !hit {
			hit = false
			missing += tokens
			if i < len(list)-1 && w.everCached[id] {
				w.reprefilled += tokens
			}
		}
		w.addCached(id, tokens)
	}
	w.prefilled += missing
	now := time.Now()
	if w.prefillEnd.Before(now) {
		w.prefillEnd = now
	}
	w.prefillEnd = w.prefillEnd.Add(time.Duration(float64(missing) / w.cfg.PrefillRate * float64(time.Second)))
	return w.prefillEnd.Sub(now)
}

// serveCacheList serves the list of cached parts.
func (w *Worker) serveCacheList(rw http.ResponseWriter) {
	w.mu.Lock()
	held := make([][]any, 0, len(w.lru))
	for _, id := range w.lru {
		held = append(held, []any{"", id, w.cached[id], "m"})
	}
	w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"epoch": 1, "nextPageToken": 0, "held": held})
}

func (w *Worker) addCached(id string, tokens int) {
	w.everCached[id] = true
	if _, ok := w.cached[id]; ok {
		for i, other := range w.lru {
			if other == id {
				w.lru = append(w.lru[:i], w.lru[i+1:]...)
				break
			}
		}
	} else {
		w.cached[id] = tokens
		w.cachedTokens += tokens
	}
	w.lru = append(w.lru, id)
	for w.cachedTokens > w.cfg.CacheTokens {
		w.cachedTokens -= w.cached[w.lru[0]]
		delete(w.cached, w.lru[0])
		w.lru = w.lru[1:]
	}
}
