// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import (
	"errors"
	"io"

	"madderway/services/heldbytes"
)

const (
	// freeHeldBytes of an incomplete event are not counted: most events are shorter.
	freeHeldBytes = streamChunk
	// eventGrowth is the factor by which the buffer of an incomplete event grows.
	eventGrowth = 2
	// The buffer of an answer starts with firstAnswerBuffer bytes and grows by answerGrowth as it comes.
	firstAnswerBuffer = 4 << 10
	answerGrowth      = 4
)

// errAnswersTooLarge reports that an answer does not fit into what its target may hold.
var errAnswersTooLarge = errors.New("too many bytes of answers are held")

// heldAnswer counts the bytes that are held of one answer. The zero value has no bound.
type heldAnswer struct {
	answers *heldbytes.Quota // shared between targets
	target  string
	bytes   int64
}

// reserve takes more bytes.
func (h *heldAnswer) reserve(n int64) bool {
	if h.answers == nil {
		return true
	}
	if !h.answers.Reserve(h.target, n) {
		return false
	}
	h.bytes += n
	return true
}

// giveBack releases n of the bytes.
func (h *heldAnswer) giveBack(n int64) {
	if h.answers == nil || n == 0 {
		return
	}
	h.answers.Release(h.target, n)
	h.bytes -= n
}

// read reads an answer to its end, or until limit bytes have come or no more may be held. more reports
// that its end has not come.
func (h *heldAnswer) read(r io.Reader, limit int) (body []byte, more bool, err error) {
	for {
		if len(body) == cap(body) {
			if len(body) >= limit {
				return body, true, nil
			}
			size := min(max(firstAnswerBuffer, answerGrowth*cap(body)), limit)
			if !h.reserve(int64(size)) {
				return body, true, nil
			}
			grown := append(make([]byte, 0, size), body...)
			h.giveBack(int64(cap(body)))
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, false, nil
		}
		if err != nil {
			return body, false, err
		}
	}
}

// holdFor begins to count what is held of the answer of a target, instead of an earlier one's.
func (j *job) holdFor(target string) {
	j.releaseAnswer()
	j.held = heldAnswer{answers: j.s.answers, target: target}
}

// releaseAnswer gives back what is held of an answer.
func (j *job) releaseAnswer() { j.held.giveBack(j.held.bytes) }
