// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"

	"madderway/models/routing"
)

// minPackSize is the size in bytes from which on a state is packed: less crosses any link at once.
const minPackSize = 4 << 10

// packCache packCache states, and remembers the operator's: up to a hundred gateways fetch the same one
// within a second, and packing 400 KB takes some milliseconds of a processor.
type packCache struct {
	mu       sync.Mutex
	versions operatorVersions
	content  []byte
}

// operatorVersions name a state of the operator's settings.
type operatorVersions struct {
	configuration uint64
	evacuations   routing.Revision
}

// state returns the state that is wanted, packed where it is large.
func (p *packCache) state(want StateRequest, v Versions, plain func() ([]byte, error)) ([]byte, error) {
	of := operatorVersions{v.Configuration, v.Evacuations}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !want.Targets && p.content != nil && p.versions == of {
		return p.content, nil
	}
	content, err := plain()
	if err != nil || len(content) < minPackSize {
		return content, err
	}
	packed, err := pack(content)
	if err == nil && !want.Targets {
		p.versions, p.content = of, packed
	}
	return packed, err
}

// maxStateSize bounds what a peer's state may grow to when it is unpacked, in bytes: a
// configuration of 1,500 routes takes some 400 KB.
const maxStateSize = 64 << 20

// errStateTooLarge tells that a peer sent more than any state can be.
var errStateTooLarge = errors.New("the state is too large")

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

// unpack returns what pack was given.
func unpack(packed []byte) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxStateSize+1))
	if err != nil {
		return nil, fmt.Errorf("unpack: %w", err)
	}
	if len(content) > maxStateSize {
		return nil, errStateTooLarge
	}
	return content, nil
}
