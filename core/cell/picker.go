// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package cell

import (
	"fmt"

	"madderway/core/place"
)

// pickerWidth is the number of choices that a pick compares at each level.
const pickerWidth = 16

// picker picks one of n choices for a key by weighted rendezvous hashing. Choices are grouped into
// a tree, so that a pick looks at pickerWidth of them a level instead of all. A change of one
// weight moves keys only to or from that choice.
type picker struct {
	levels []pickerLevel // the choices first, a single group last
}

type pickerLevel struct {
	names   []string
	weights []float64
}

func newPicker(names []string) *picker {
	p := &picker{levels: []pickerLevel{{names, make([]float64, len(names))}}}
	for n := len(names); n > pickerWidth; {
		n = (n + pickerWidth - 1) / pickerWidth
		l := pickerLevel{make([]string, n), make([]float64, n)}
		for i := range l.names {
			l.names[i] = fmt.Sprintf("%d#%d", len(p.levels), i)
		}
		p.levels = append(p.levels, l)
	}
	return p
}

// setWeight changes the weight of a choice; one with weight 0 is not picked.
func (p *picker) setWeight(choice int, weight float64) {
	p.levels[0].weights[choice] = weight
	for depth := 1; depth < len(p.levels); depth++ {
		choice /= pickerWidth
		sum, below := 0.0, p.levels[depth-1].weights
		for _, w := range below[choice*pickerWidth : min((choice+1)*pickerWidth, len(below))] {
			sum += w
		}
		p.levels[depth].weights[choice] = sum
	}
}

// noChoice excludes nothing from a pick, and is the result of one without choices.
const noChoice = -1

// pick returns the choice for a key as if one of them, unless it is noChoice, had no weight.
func (p *picker) pick(key uint64, except int) int {
	choice := 0 // the only group of the level above the last one
	for depth := len(p.levels) - 1; depth >= 0; depth-- {
		if choice = p.pickChild(depth, choice, key, except); choice == noChoice {
			return noChoice
		}
	}
	return choice
}

// pickChild returns the choice among the children that a group has at a level.
func (p *picker) pickChild(depth, group int, key uint64, except int) int {
	level := p.levels[depth]
	best, bestScore := noChoice, 0.0
	for i := group * pickerWidth; i < min((group+1)*pickerWidth, len(level.names)); i++ {
		weight := level.weights[i]
		if except != noChoice && except/groupSize(depth) == i {
			weight -= p.levels[0].weights[except]
		}
		if weight <= 0 {
			continue
		}
		if score := place.Weighted(weight, place.Score(level.names[i], key)); best == noChoice || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// groupSize returns the number of choices below an entry of a level.
func groupSize(depth int) int {
	size := 1
	for range depth {
		size *= pickerWidth
	}
	return size
}
