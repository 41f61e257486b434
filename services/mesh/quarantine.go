// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package mesh

import "madderway/core/quarantine"

type recordIn struct{ record quarantine.Record }

func (recordIn) isInput() {}

type partNewsIn struct{ news quarantine.PartNews }

func (partNewsIn) isInput() {}

// SharePartNews tells other gateways of a prompt part under which targets died.
func (l *Loop) SharePartNews(n quarantine.PartNews) { l.put(partNewsIn{n}) }

// ShareRecord sends other gateways a record of a request under which targets died.
func (l *Loop) ShareRecord(r quarantine.Record) { l.put(recordIn{r}) }
