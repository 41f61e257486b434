// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package dispatch

import "madderway/services/engine"

const (
	// eventOverhead is the number of bytes that a kept event takes besides its data.
	eventOverhead = 16
	// minKept is the least number of bytes that is reserved for kept events.
	minKept = 4 << 10
)

// keep records the data of an event, in case the caller comes back for the response. A response that is
// over a limit is not kept at all: with events missing it would look complete.
func (st *stream) keep(ev engine.Event) {
	if st.tooLong || st.j.account.KeepAnswers == 0 {
		return
	}
	limit, data, overhead := st.j.account.KeepBytes, st.bytes+int64(len(ev.Data)), int64(len(st.events)+1)*eventOverhead
	if data > limit || overhead > limit || !st.reserveKept(data+overhead) {
		st.dropKept(true)
		return
	}
	st.events = append(st.events, ev.Data)
	st.bytes = data
}

// reserveKept reports whether so many bytes of events may be kept.
func (st *stream) reserveKept(need int64) bool {
	if need <= st.reserved {
		return true
	}
	more := max(need-st.reserved, st.reserved, minKept)
	if !st.kept.Reserve(more) {
		return false
	}
	st.reserved += more
	return true
}

// dropKept drops the kept events.
func (st *stream) dropKept(tooLong bool) {
	st.kept.GiveBack(st.reserved)
	st.events, st.bytes, st.reserved, st.tooLong = nil, 0, 0, tooLong
}
