// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package seconds

import (
	"fmt"
	"io"
	"strings"
)

// Dimensions of the SVG chart, in pixels.
const (
	panelWidth, panelHeight = 900, 150
	marginLeft, marginTop   = 70, 26
	panelGap                = 42
)

// series is a line in a panel.
type series struct {
	name, color string
	value       func(*Second) float64
}

type panel struct {
	title string
	lines []series
}

func panels() []panel {
	count := func(name string) func(*Second) float64 {
		return func(s *Second) float64 { return float64(s.Outcomes[name]) }
	}
	return []panel{
		{"requests a second at the gateways", []series{
			{"in time", "#2a7", count("in_time")},
			{"late", "#c80", count("late")},
			{"refused by a scheduler", "#c33", count("not_in_time")},
			{"refused at the entry", "#939", count("refused_at_entry")},
		}},
		{"thousand prompt tokens a second", []series{
			{"requested", "#999", func(s *Second) float64 { return float64(s.AskedTokens) / 1000 }},
			{"placed", "#27a", func(s *Second) float64 { return float64(s.PlacedTokens) / 1000 }},
			{"prefilled", "#2a7", func(s *Second) float64 { return float64(s.Prefilled) / 1000 }},
			{"prefilled again", "#c33", func(s *Second) float64 { return float64(s.Reprefilled) / 1000 }},
			{"copied", "#939", func(s *Second) float64 { return float64(s.Copied) / 1000 }},
		}},
		{"engines' time, percent", []series{
			{"prefill", "#27a", func(s *Second) float64 { return 100 * s.PrefillShare() }},
		}},
		{"streams running, requests refused while an engine had room", []series{
			{"streams", "#27a", func(s *Second) float64 { return float64(s.Streams) }},
			{"refused with room", "#c33", func(s *Second) float64 { return float64(s.WithRoom) }},
		}},
	}
}

// WriteSVG writes the seconds as an SVG chart with one panel per topic.
func WriteSVG(w io.Writer, all []*Second) error {
	list := panels()
	height := len(list)*(panelHeight+panelGap) + marginTop
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n",
		panelWidth+marginLeft+20, height)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/>`+"\n")
	for i, p := range list {
		p.draw(&b, all, marginTop+i*(panelHeight+panelGap))
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return err
}

func (p panel) draw(b *strings.Builder, all []*Second, top int) {
	last, highest := 1, 1.0
	for _, s := range all {
		last = max(last, s.At)
		for _, line := range p.lines {
			highest = max(highest, line.value(s))
		}
	}
	fmt.Fprintf(b, `<text x="%d" y="%d" font-weight="bold">%s</text>`+"\n", marginLeft, top-8, p.title)
	fmt.Fprintf(b, `<rect x="%d" y="%d" width="%d" height="%d" fill="none" stroke="#ccc"/>`+"\n", marginLeft, top, panelWidth, panelHeight)
	fmt.Fprintf(b, `<text x="%d" y="%d" text-anchor="end">%.0f</text><text x="%d" y="%d" text-anchor="end">0</text>`+"\n",
		marginLeft-6, top+10, highest, marginLeft-6, top+panelHeight)
	fmt.Fprintf(b, `<text x="%d" y="%d" text-anchor="end">%d s</text>`+"\n", marginLeft+panelWidth, top+panelHeight+14, last)
	for i, line := range p.lines {
		points := make([]string, 0, len(all))
		for _, s := range all {
			x := marginLeft + float64(s.At)/float64(last)*panelWidth
			y := float64(top+panelHeight) - line.value(s)/highest*panelHeight
			points = append(points, fmt.Sprintf("%.1f,%.1f", x, y))
		}
		fmt.Fprintf(b, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="%s"/>`+"\n", line.color, strings.Join(points, " "))
		fmt.Fprintf(b, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", marginLeft+10+i*170, top+panelHeight+14, line.color, line.name)
	}
}
