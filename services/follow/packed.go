// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"bytes"
	"compress/flate"
	"fmt"
	"sync"
	"time"

	"madderway/models/routing"
)

// minPackSize is the smallest state that is compressed, in bytes.
const minPackSize = 4 << 10

// packCache keeps compressed states: at the start of a fleet hundreds of gateways fetch the same
// ones within seconds, and compressing the list of 10,000 targets takes 60 ms of a core.
type packCache struct {
	mu       sync.Mutex
	operator packedState
	targets  packedState // the whole list
}

type packedState struct {
	version any // comparable
	content []byte
	until   time.Time // zero if the content does not depend on the time
}

// operatorVersions identifies a state of the operator's settings.
type operatorVersions struct {
	configuration uint64
	evacuations   routing.Revision
}

// targetsVersion identifies a whole list of targets.
type targetsVersion struct {
	changes   uint64
	revision  routing.Revision
	announced int
}

// maxTimedStateAge bounds the age of a cached list that holds the remaining times of cold targets
// or the ages of announcements.
const maxTimedStateAge = time.Second

// get returns the cached state, or the one built and compressed anew. timed reports whether the
// content depends on the time.
func (p *packCache) get(now time.Time, cached *packedState, version any, timed bool, plain func() ([]byte, error)) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cached.version == version && (cached.until.IsZero() || now.Before(cached.until)) {
		return cached.content, nil
	}
	content, err := plain()
	if err == nil {
		content, err = packLarge(content)
	}
	if err != nil {
		return nil, err
	}
	*cached = packedState{version: version, content: content}
	if timed {
		cached.until = now.Add(maxTimedStateAge)
	}
	return content, nil
}

// packLarge compresses a state if it is large.
func packLarge(content []byte) ([]byte, error) {
	if len(content) < minPackSize {
		return content, nil
	}
	return pack(content)
}

// maxStateSize bounds a decompressed state of a peer, in bytes. A configuration of 1,500 routes
// takes some 400 KB.
const maxStateSize = 64 << 20

// pack compresses a state.
func pack(content []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	if _, err := w.Write(content); err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	return b.Bytes(), nil
}
