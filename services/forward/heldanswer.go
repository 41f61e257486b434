// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package forward

import "errors"

const (
	// freeHeldBytes of an incomplete event are not counted: most events are shorter.
	freeHeldBytes = streamChunk
	// eventGrowth is the factor by which the buffer of an incomplete event grows.
	eventGrowth = 2
)

// errAnswersTooLarge reports that an answer does not fit into what its target may hold.
var errAnswersTooLarge = errors.New("too many bytes of answers are held")

// holdFor begins to count what is held of the answer of a target, instead of an earlier one's.
func (j *job) holdFor(target string) {
	j.releaseAnswer()
	j.held = j.s.answers.Holder(target)
}

// releaseAnswer gives back what is held of an answer.
func (j *job) releaseAnswer() { j.held.Release() }
