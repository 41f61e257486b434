// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import "madderway/core/quarantine"

// recordIn is a record of a request to tell other gateways of.
type recordIn struct{ record quarantine.Record }

func (recordIn) isInput() {}

// ShareRecord tells other gateways of a request under which targets have ended.
func (l *Loop) ShareRecord(r quarantine.Record) { l.put(recordIn{r}) }
