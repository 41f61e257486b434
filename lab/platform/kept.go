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

// fetch copies the cached prefix of a prompt from the worker at an address, as far as it is not
// cached here, and returns the duration of the transfer.
func (w *Worker) fetch(address, parts string) time.Duration {
	if address == "" || w.cfg.PeerAt == nil {
		return 0
	}
	source := w.cfg.PeerAt(address)
	if source == nil || source == w {
		return 0
	}
	source.mu.Lock()
	var held []string
	for _, part := range strings.Split(parts, ",") {
		id, _, _ := strings.Cut(part, ":")
		if _, ok := source.kept[id]; !ok {
			break
		}
		held = append(held, part)
	}
	source.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	tokens := 0
	for _, part := range held {
		id, text, _ := strings.Cut(part, ":")
		n, _ := strconv.Atoi(text)
		if _, ok := w.kept[id]; !ok {
			tokens += n
		}
		w.keep(id, n)
	}
	if tokens == 0 {
		return 0
	}
	w.copies++
	w.copied += tokens
	return time.Duration(float64(tokens) / w.cfg.CopyRate * float64(time.Second))
}

// read adds a prompt to the prefill queue, caches its parts and returns the time until its
// prefill is complete.
func (w *Worker) read(parts string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	missing, whole := 0, true
	list := strings.Split(parts, ",")
	for i, part := range list {
		id, text, _ := strings.Cut(part, ":")
		tokens, _ := strconv.Atoi(text)
		if _, ok := w.kept[id]; !ok || !whole {
			whole = false
			missing += tokens
			if i < len(list)-1 && w.seen[id] {
				w.reread += tokens
			}
		}
		w.keep(id, tokens)
	}
	w.prompts += missing
	now := time.Now()
	if w.readTo.Before(now) {
		w.readTo = now
	}
	w.readTo = w.readTo.Add(time.Duration(float64(missing) / w.cfg.PrefillRate * float64(time.Second)))
	return w.readTo.Sub(now)
}

// listKept serves the list of cached parts.
func (w *Worker) listKept(rw http.ResponseWriter) {
	w.mu.Lock()
	held := make([][]any, 0, len(w.order))
	for _, id := range w.order {
		held = append(held, []any{"", id, w.kept[id], "m"})
	}
	w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"epoch": 1, "nextPageToken": 0, "held": held})
}

func (w *Worker) keep(id string, tokens int) {
	w.seen[id] = true
	if _, ok := w.kept[id]; ok {
		for i, other := range w.order {
			if other == id {
				w.order = append(w.order[:i], w.order[i+1:]...)
				break
			}
		}
	} else {
		w.kept[id] = tokens
		w.keptSize += tokens
	}
	w.order = append(w.order, id)
	for w.keptSize > w.cfg.CacheTokens {
		w.keptSize -= w.kept[w.order[0]]
		delete(w.kept, w.order[0])
		w.order = w.order[1:]
	}
}
