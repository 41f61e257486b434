// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package routing

// PromptPart is a piece of a prompt. Parts with the same ID are the same
// tokens; a target that keeps a part need not read it again.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Prompt is what a request says of its size before it runs.
type Prompt struct {
	Parts     []PromptPart // in the order of the prompt; the last one is the request's own
	Tokens    int          // tokens of the prompt
	MaxOutput int          // most tokens of the answer
	Hint      int          // the caller's own estimate of the answer's tokens, 0 for none
	Model     string
}

// AffinityKey names the deepest part of the prompt that other requests share, or 0.
func (p *Prompt) AffinityKey() uint64 {
	if len(p.Parts) < 2 {
		return 0
	}
	return p.Parts[len(p.Parts)-2].ID
}

// OutputEstimate is how many tokens the answer is thought to have.
func (p *Prompt) OutputEstimate() int {
	if p.Hint > 0 {
		return min(p.Hint, max(p.MaxOutput, 1))
	}
	return max(p.MaxOutput, 1)
}

// OwnTokens returns the tokens of the last part, which belongs to the request itself.
func (p *Prompt) OwnTokens() int {
	if len(p.Parts) == 0 {
		return p.Tokens
	}
	return p.Parts[len(p.Parts)-1].Tokens
}
