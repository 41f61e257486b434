// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package routing

// PromptPart is a segment of a prompt. Segments with the same ID hold the same
// tokens, so a target that has one cached skips its prefill.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Prompt holds the size of a request as its caller declares it before it runs.
type Prompt struct {
	Parts     []PromptPart // in prompt order; the last one belongs to this request alone
	Tokens    int          // of the whole prompt
	MaxOutput int          // upper bound of the response's tokens
	Hint      int          // caller's estimate of the response's tokens, 0 if unknown
	Model     string
}

// SharedParts returns the parts that other requests may have, too: all but the last.
func (p *Prompt) SharedParts() []PromptPart {
	if p == nil || len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// AffinityKey returns the ID of the longest prompt prefix that other requests may
// share, or 0. Requests with the same key profit from the same target's cache.
func (p *Prompt) AffinityKey() uint64 {
	if len(p.Parts) < 2 {
		return 0
	}
	return p.Parts[len(p.Parts)-2].ID
}

// OutputEstimate returns the expected number of tokens in the response: the caller's
// hint within MaxOutput, or MaxOutput without one.
func (p *Prompt) OutputEstimate() int {
	if p.Hint > 0 {
		return min(p.Hint, max(p.MaxOutput, 1))
	}
	return max(p.MaxOutput, 1)
}

// OwnTokens returns the tokens that no other request shares: those of the last part.
func (p *Prompt) OwnTokens() int {
	if len(p.Parts) == 0 {
		return p.Tokens
	}
	return p.Parts[len(p.Parts)-1].Tokens
}
