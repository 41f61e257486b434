// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package standin

import (
	"io"
	"net/http"
	"net/url"
	"sort"
	"strings"
	"sync"
	"time"

	"madderway/services/platform"
)

// Objects is a stand-in for the platform's object store.
type Objects struct {
	faultInjector
	mu      sync.Mutex
	content map[string][]byte
	times   map[string]time.Time
}

// NewObjects returns an empty store.
func NewObjects() *Objects {
	return &Objects{content: map[string][]byte{}, times: map[string]time.Time{}}
}

// Handler returns the store's HTTP API.
func (o *Objects) Handler() http.Handler {
	return o.guard(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/list" {
			writeJSON(w, o.List(r.URL.Query().Get("prefix")))
			return
		}
		key, err := url.PathUnescape(strings.TrimPrefix(r.URL.EscapedPath(), "/v1/objects/"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		o.serveObject(w, r, key)
	}))
}

func (o *Objects) serveObject(w http.ResponseWriter, r *http.Request, key string) {
	switch r.Method {
	case http.MethodPut:
		content, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		o.Put(key, content)
		if o.consume(func(f *Faults) *int { return &f.LoseAnswer }) {
			abortConnection()
		}
	case http.MethodDelete:
		o.mu.Lock()
		delete(o.content, key)
		o.mu.Unlock()
	default:
		content, ok := o.Get(key)
		if !ok {
			http.Error(w, "absent", http.StatusNotFound)
			return
		}
		_, _ = w.Write(content)
	}
}

// Put writes an object.
func (o *Objects) Put(key string, content []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.content[key], o.times[key] = content, time.Now()
}

// Get reads an object.
func (o *Objects) Get(key string) ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	content, ok := o.content[key]
	return content, ok
}

// List returns the objects whose keys start with a prefix, sorted by key.
func (o *Objects) List(prefix string) []platform.ObjectInfo {
	o.mu.Lock()
	defer o.mu.Unlock()
	infos := []platform.ObjectInfo{}
	for key, content := range o.content {
		if strings.HasPrefix(key, prefix) {
			infos = append(infos, platform.ObjectInfo{Key: key, Size: int64(len(content)), Modified: o.times[key]})
		}
	}
	sort.Slice(infos, func(i, j int) bool { return infos[i].Key < infos[j].Key })
	return infos
}
