// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package routing

import "fmt"

// Revision orders the changes of the platform's store. The upper bits hold the store's era, the
// lower bits the number of the change within the era. A store restored from an older backup
// starts a new era and uses numbers again, so compare whole revisions, never numbers alone. 0
// precedes every change.
type Revision uint64

const (
	// numberBits leaves 16 bits for the era; 2^48 changes last 22,000 years at 400 a second.
	numberBits = 48
	maxNumber  = 1<<numberBits - 1
	maxEra     = 1<<(64-numberBits) - 1
)

// NewRevision combines an era and a number; values that do not fit are clamped.
func NewRevision(era, number uint64) Revision {
	return Revision(min(era, maxEra)<<numberBits | min(number, maxNumber))
}

// Era returns the number of times the store was restored from a backup.
func (r Revision) Era() uint64 { return uint64(r >> numberBits) }

// Number returns the number of the change within its era.
func (r Revision) Number() uint64 { return uint64(r & maxNumber) }

// String formats the revision as "era.number", or "number" in era 0.
func (r Revision) String() string {
	if r.Era() == 0 {
		return fmt.Sprint(r.Number())
	}
	return fmt.Sprintf("%d.%d", r.Era(), r.Number())
}
