// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package seconds aggregates the per-second log lines of all gateways into a table or a chart of
// load, placement, refusals, prefill and engine utilisation.
package seconds

import (
	"fmt"
	"io"
	"sort"
	"strconv"
	"time"

	"madderway/modules/log"
)

// Log messages of the mesh and forward services.
const (
	cellMessage    = "Cell statistics."
	gatewayMessage = "Gateway statistics."
	timeLayout     = "0102 15:04:05.999999"
)

// Second sums the activity of all gateways in one second.
type Second struct {
	At int // seconds since the first line of a scheduler
	// From the schedulers:
	Asked, Placed, Refused, WithRoom, Waiting         int
	AskedTokens, PlacedTokens, Prefilled, Reprefilled int
	Copies, Copied, Targets, Streams                  int
	prefillTime                                       float64       // share of the time spent on prefill, times targets, summed over all cells
	booked                                            time.Duration // queued prefill times targets, summed over all cells
	// Requests by outcome, from the gateways.
	Outcomes map[string]int
}

// PrefillShare returns the share of the engines' time spent on prefill.
func (s *Second) PrefillShare() float64 { return s.prefillTime / float64(max(s.Targets, 1)) }

// Booked returns the prefill time queued at an engine, on average.
func (s *Second) Booked() time.Duration { return s.booked / time.Duration(max(s.Targets, 1)) }

// Gather sums the lines of all processes by second, starting at the first line of a scheduler.
func Gather(lines []log.Line) []*Second {
	start, found := firstCellTime(lines)
	if !found {
		return nil
	}
	bySecond := map[int]*Second{}
	for _, l := range lines {
		if l.Message != cellMessage && l.Message != gatewayMessage {
			continue
		}
		at, err := time.Parse(timeLayout, l.Time)
		if err != nil || at.Before(start) {
			continue
		}
		n := int(at.Sub(start) / time.Second)
		s := bySecond[n]
		if s == nil {
			s = &Second{At: n, Outcomes: map[string]int{}}
			bySecond[n] = s
		}
		s.add(l)
	}
	out := make([]*Second, 0, len(bySecond))
	for _, s := range bySecond {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out
}

func firstCellTime(lines []log.Line) (time.Time, bool) {
	var first time.Time
	found := false
	for _, l := range lines {
		if l.Message != cellMessage {
			continue
		}
		at, err := time.Parse(timeLayout, l.Time)
		if err == nil && (!found || at.Before(first)) {
			first, found = at, true
		}
	}
	return first, found
}

func (s *Second) add(l log.Line) {
	if l.Message == gatewayMessage {
		for name, text := range l.Values {
			if n, err := strconv.Atoi(text); err == nil {
				s.Outcomes[name] += n
			}
		}
		return
	}
	number := func(name string) int {
		n, err := strconv.Atoi(l.Values[name])
		if err != nil {
			return 0 // other versions may lack the value
		}
		return n
	}
	for name, sum := range map[string]*int{
		"asked": &s.Asked, "placed": &s.Placed, "refused": &s.Refused, "with_room": &s.WithRoom, "waiting": &s.Waiting,
		"asked_tokens": &s.AskedTokens, "placed_tokens": &s.PlacedTokens, "read": &s.Prefilled, "reread": &s.Reprefilled,
		"copies": &s.Copies, "copied": &s.Copied, "targets": &s.Targets, "streams": &s.Streams,
	} {
		*sum += number(name)
	}
	if share, err := strconv.ParseFloat(l.Values["reading_share"], 64); err == nil {
		s.prefillTime += share * float64(number("targets"))
	}
	if booked, err := time.ParseDuration(l.Values["booked"]); err == nil {
		s.booked += booked * time.Duration(number("targets"))
	}
}

// WriteTable writes a table with a row for each second.
func WriteTable(w io.Writer, all []*Second) error {
	_, err := fmt.Fprintln(w, "second  asked placed refused (room) waiting | ktok asked placed  read  anew copied | engines streams reading booked | in time  late entry refused failed")
	for _, s := range all {
		if err != nil {
			return err
		}
		o := s.Outcomes
		failed := 0
		for name, n := range o {
			switch name {
			case "in_time", "late", "refused_at_entry", "not_in_time", "gone":
			default:
				failed += n
			}
		}
		_, err = fmt.Fprintf(w, "%6d %6d %6d %7d %6d %7d | %10d %6d %5d %5d %6d | %7d %7d %6.0f%% %4dms | %7d %5d %5d %7d %6d\n",
			s.At, s.Asked, s.Placed, s.Refused, s.WithRoom, s.Waiting,
			s.AskedTokens/1000, s.PlacedTokens/1000, s.Prefilled/1000, s.Reprefilled/1000, s.Copied/1000,
			s.Targets, s.Streams, 100*s.PrefillShare(), s.Booked().Milliseconds(),
			o["in_time"], o["late"], o["refused_at_entry"], o["not_in_time"], failed)
	}
	return err
}
