// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	maxPartRecords = 512
	// maxCheckedParts bounds the parts of a prompt that are looked at.
	maxCheckedParts = 64
	// answeredRetention is the time for which a death is kept that does not count any more. By then
	// all gateways have heard of the answer.
	answeredRetention = time.Minute
)

// PartTable holds the records of parts known to one gateway. It is not safe for concurrent use.
type PartTable struct {
	records  map[Part]*PartRecord
	ended    map[string]time.Time // when targets died, as far as known
	culprits []culprit
	trials   map[Part]bool // in progress at this gateway
	owned    map[Part]bool // refused parts on whose trials this gateway decides
	digest   uint64        // XOR over the shared records
	changed  time.Time     // last change of a shared record
}

// NewPartTable returns an empty table.
func NewPartTable() *PartTable {
	return &PartTable{records: map[Part]*PartRecord{}, ended: map[string]time.Time{}, trials: map[Part]bool{}}
}

// Len returns the number of records.
func (t *PartTable) Len() int { return len(t.records) }

// Knows reports whether there is a record with deaths under a part.
func (t *PartTable) Knows(p Part) bool {
	r := t.records[p]
	return r != nil && len(r.Deaths) > 0
}

// TargetDied records that a target died under a request with the parts, sent at the given time. The
// death counts against them unless the target had begun to answer the request, which clears them. It
// returns the changes. Nothing counts if the target had died before the request was sent.
func (t *PartTable) TargetDied(now time.Time, prompt []Part, target string, sent time.Time, answered bool) []PartNews {
	at, seen := t.ended[target]
	if !seen || now.Sub(at) >= minLifetime && sent.After(at) {
		at = now
		t.ended[target] = at
	}
	if sent.After(at) {
		return nil
	}
	var news []PartNews
	for _, p := range prompt[:min(len(prompt), maxCheckedParts)] {
		r := t.record(p)
		change := func() bool { return r.add(PartDeath{target, at}) }
		if answered {
			change = func() bool { return r.answered(now) }
		}
		news = t.appendNews(now, news, r, change)
	}
	t.localizeIf(len(news) > 0)
	return news
}

// Answered records that a target has answered a request with the parts: deaths do not count against
// them any more. It returns the changes of which other gateways must be told.
func (t *PartTable) Answered(now time.Time, prompt []Part) []PartNews {
	var news []PartNews
	for _, p := range prompt[:min(len(prompt), maxCheckedParts)] {
		if r := t.records[p]; r != nil {
			news = t.appendNews(now, news, r, func() bool { return r.answered(now) })
		}
	}
	t.localizeIf(len(news) > 0)
	return news
}

// appendNews applies a change that this gateway saw, and appends it to the news if it adds
// information.
func (t *PartTable) appendNews(now time.Time, news []PartNews, r *PartRecord, change func() bool) []PartNews {
	if !t.update(now, r, change) {
		return news
	}
	return append(news, PartNews{Record: r.clone(), Added: true, LevelChanged: r.takeLevelChange()})
}

// localizeIf determines anew what is refused if records have changed.
func (t *PartTable) localizeIf(changed bool) {
	if changed {
		t.culprits = localize(t.records)
	}
}

// Merge merges the record of another gateway. It reports whether there is any news.
func (t *PartTable) Merge(now time.Time, other PartRecord) (PartNews, bool) {
	if !isValidPart(now, &other) {
		return PartNews{}, false
	}
	r := t.record(other.Part)
	known := r.AnsweredAt
	added := t.update(now, r, func() bool {
		added := r.answered(other.AnsweredAt)
		for _, d := range other.Deaths {
			added = r.add(d) || added
			if at, seen := t.ended[d.Target]; !seen || d.At.Before(at) || d.At.Sub(at) >= minLifetime {
				t.ended[d.Target] = d.At
			}
		}
		return added
	})
	t.localizeIf(added)
	n := PartNews{Record: r.clone(), Added: added, AnswerKnown: other.answered(known)}
	n.LevelChanged = added && r.takeLevelChange()
	return n, n.Added || n.AnswerKnown
}

// isValidPart reports whether a received record is well-formed and not expired.
func isValidPart(now time.Time, r *PartRecord) bool {
	if len(r.Deaths) == 0 || len(r.Deaths) > maxPartDeaths || !now.Before(r.expires()) {
		return false
	}
	return !r.AnsweredAt.After(now) && !slices.ContainsFunc(r.Deaths, func(d PartDeath) bool {
		return d.Target == "" || len(d.Target) > maxNameLen || d.At.After(now)
	})
}

// PartVerdict is the decision on a prompt.
type PartVerdict struct {
	Refused    bool
	Part       Part          // the part that decides, if refused or on trial
	RetryAfter time.Duration // if refused
	OnTrial    bool          // the request may run; EndTrial must follow
}

// Check decides on a prompt. A prompt on trial is the only one with the part that this gateway runs;
// held is the part of the trial that the request has already, or 0.
func (t *PartTable) Check(now time.Time, prompt []Part, held Part) PartVerdict {
	for _, c := range t.culprits {
		n := c.count(prompt)
		if n == 0 {
			continue
		}
		suspect := n > 1 || len(c.parts) == 1
		if suspect && now.Before(c.until) {
			return PartVerdict{Refused: true, Part: c.parts[0], RetryAfter: c.until.Sub(now)}
		}
		if suspect && now.Before(c.open) && !t.owned[c.parts[0]] {
			return PartVerdict{Refused: true, Part: c.parts[0], RetryAfter: c.open.Sub(now)}
		}
		if held != 0 {
			continue
		}
		if t.trials[c.parts[0]] {
			return PartVerdict{Refused: true, Part: c.parts[0], RetryAfter: trialRetryAfter}
		}
		t.trials[c.parts[0]] = true
		return PartVerdict{Part: c.parts[0], OnTrial: true}
	}
	return PartVerdict{}
}

// SetOwned sets on which refused parts' trials this gateway decides.
func (t *PartTable) SetOwned(isOwner func(Part) bool) {
	t.owned = map[Part]bool{}
	for _, c := range t.culprits {
		for _, p := range c.parts {
			t.owned[p] = isOwner(p)
		}
	}
}

// EndTrial ends a trial that Check permitted.
func (t *PartTable) EndTrial(p Part) { delete(t.trials, p) }

// Refused returns the records of the parts that are refused, alone or together with others.
func (t *PartTable) Refused() []PartRecord {
	var out []PartRecord
	for _, c := range t.culprits {
		for _, p := range c.parts {
			out = append(out, t.records[p].clone())
		}
	}
	return out
}

// Shared returns the records that all gateways are to have.
func (t *PartTable) Shared(now time.Time) []PartRecord {
	var out []PartRecord
	for _, r := range t.records {
		if r.IsShared() && now.Before(r.expires()) {
			out = append(out, r.clone())
		}
	}
	return out
}

// Digest returns a hash of the shared records, equal for tables that agree, and the time of its
// last change.
func (t *PartTable) Digest() (digest uint64, changed time.Time) { return t.digest, t.changed }

// Expire deletes old deaths and records.
func (t *PartTable) Expire(now time.Time) {
	for _, r := range t.records {
		if len(r.Deaths) > 0 && !now.Before(r.expires()) {
			t.drop(r)
			continue
		}
		t.update(now, r, func() bool {
			r.Deaths = slices.DeleteFunc(r.Deaths, func(d PartDeath) bool { return !r.counts(d) && now.Sub(d.At) > answeredRetention })
			return false
		})
		if len(r.Deaths) == 0 && now.Sub(r.AnsweredAt) > answeredRetention {
			t.drop(r)
		}
	}
	for target, at := range t.ended {
		if now.Sub(at) > retention {
			delete(t.ended, target)
		}
	}
	t.culprits = localize(t.records)
}

// compareEviction orders records by what their loss costs: the fewest deaths that count first, the
// oldest of several.
func compareEviction(a, b *PartRecord) int {
	return cmp.Or(cmp.Compare(len(a.counted(nil)), len(b.counted(nil))), a.lastDeath().Compare(b.lastDeath()))
}

// record returns the record of a part and creates it if needed, in the place of another one if the
// table is full.
func (t *PartTable) record(p Part) *PartRecord {
	if r := t.records[p]; r != nil {
		return r
	}
	if len(t.records) >= maxPartRecords {
		var victim *PartRecord
		for _, r := range t.records {
			if victim == nil || compareEviction(r, victim) < 0 {
				victim = r
			}
		}
		t.drop(victim)
	}
	r := &PartRecord{Part: p}
	t.records[p] = r
	return r
}

// update applies a change to a record and adjusts the digest. change and update report whether
// information was added.
func (t *PartTable) update(now time.Time, r *PartRecord, change func() bool) bool {
	t.digest ^= r.digest()
	updated := change()
	t.digest ^= r.digest()
	if updated && r.IsShared() {
		t.changed = now
	}
	return updated
}

func (t *PartTable) drop(r *PartRecord) {
	t.digest ^= r.digest()
	delete(t.records, r.Part)
	t.culprits = slices.DeleteFunc(t.culprits, func(c culprit) bool { return slices.Contains(c.parts, r.Part) })
}
