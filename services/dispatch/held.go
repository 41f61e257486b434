// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"errors"
	"io"
	"sync"

	"madderway/services/heldbytes"
)

// errAnswersTooLarge reports that an answer does not fit into what is left for all answers.
var errAnswersTooLarge = errors.New("too many bytes of answers are held")

// Held counts the bytes that are held of the answer of one request.
type Held struct {
	mu     sync.Mutex
	holder heldbytes.Holder
	users  int
}

// Hold returns a count of which nothing is held yet. Its user must release it.
func (s *Service) Hold(requestID string) *Held {
	return &Held{holder: s.held.Holder(requestID), users: 1}
}

// Reserve takes n bytes, or none and returns false.
func (h *Held) Reserve(n int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder.Reserve(n)
}

func (h *Held) reserveEvent(n int) bool { return h.Reserve(int64(n)) }

// read reads an answer, in place of an earlier one of which nothing is used any more.
func (h *Held) read(r io.Reader, limit int) (body []byte, more bool, err error) {
	h.mu.Lock()
	h.holder.Release()
	holder := h.holder
	h.mu.Unlock()
	body, more, err = holder.Read(r, limit)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder = holder
	return body, more, err
}

// GiveBack releases n of the bytes.
func (h *Held) GiveBack(n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder.GiveBack(n)
}

// retain adds a user, which must release h too.
func (h *Held) retain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.users++
}

// Release gives all bytes back once each user has called it.
func (h *Held) Release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.users--; h.users == 0 {
		h.holder.Release()
	}
}
