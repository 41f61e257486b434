// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"sort"
	"strings"
	"time"

	"madderway/lab/platform"
)

type takeUpsCommand struct {
	commonOptions
	Dir    string `long:"dir" required:"true" description:"folder for the settings of the gateways"`
	Rounds uint64 `long:"rounds" default:"50" description:"number of rounds"`
	First  uint64 `long:"first" default:"1" description:"number of the first round"`
	Seed   uint64 `long:"seed" default:"1" description:"seed of the rounds"`
}

// Execute implements flags.Commander. It asks the caller to start, suspend, resume and end the gateways
// by lines that begin with "do", each of which is answered by a line.
func (c *takeUpsCommand) Execute([]string) error {
	if err := c.setUpLog(); err != nil {
		return err
	}
	p := scriptedProcesses{answers: bufio.NewScanner(os.Stdin)}
	t := takeUpTable{}
	for round := c.First; round < c.First+c.Rounds; round++ {
		drawn := platform.DrawTakeUp(c.Seed, round)
		r, err := platform.RunTakeUp(context.Background(), drawn, c.Dir, p)
		if err != nil {
			return fmt.Errorf("round %d: %w", round, err)
		}
		t.add(round, drawn, r)
	}
	return t.summarize()
}

// scriptedProcesses lets the caller of the command act on the gateways' processes.
type scriptedProcesses struct{ answers *bufio.Scanner }

func (p scriptedProcesses) ask(command string) error {
	if _, err := fmt.Println("do", command); err != nil {
		return err
	}
	if !p.answers.Scan() {
		return errors.New("no answer to " + command)
	}
	if answer := p.answers.Text(); answer != "done" {
		return fmt.Errorf("%s: %s", command, answer)
	}
	return nil
}

// Start implements platform.Processes.
func (p scriptedProcesses) Start() error { return p.ask("start") }

// Suspend implements platform.Processes.
func (p scriptedProcesses) Suspend(gateway int) error { return p.ask(fmt.Sprint("suspend ", gateway)) }

// Resume implements platform.Processes.
func (p scriptedProcesses) Resume(gateway int) error { return p.ask(fmt.Sprint("resume ", gateway)) }

// End implements platform.Processes.
func (p scriptedProcesses) End() error { return p.ask("end") }

// takeUpTable sums up rounds.
type takeUpTable struct {
	cells      map[takeUpCell]*takeUpSum
	all        takeUpSum
	violations int
}

type takeUpCell struct {
	trouble platform.Trouble
	class   int
}

type takeUpSum struct {
	rounds, joinedRounds int
	outOfStep, inStep    platform.TakeUpCounts
}

// takeUpClasses are upper limits of the length of a trouble.
var takeUpClasses = []time.Duration{300 * time.Millisecond, time.Second, 1500 * time.Millisecond, 3 * time.Second}

func (s *takeUpSum) add(r platform.TakeUpResult) {
	s.rounds++
	if len(r.JoinedStreams) > 0 {
		s.joinedRounds++
	}
	s.outOfStep.Add(r.OutOfStep)
	s.inStep.Add(r.InStep)
}

func (t *takeUpTable) add(round uint64, drawn platform.TakeUp, r platform.TakeUpResult) {
	class := 0
	for class < len(takeUpClasses)-1 && drawn.Length > takeUpClasses[class] {
		class++
	}
	cell := takeUpCell{drawn.Trouble, class}
	if t.cells == nil {
		t.cells = map[takeUpCell]*takeUpSum{}
	}
	if t.cells[cell] == nil {
		t.cells[cell] = &takeUpSum{}
	}
	t.cells[cell].add(r)
	t.all.add(r)
	t.violations += len(r.Violations)
	fmt.Printf("round %d: gateway-%d %s %v: %s; in step %s; %d not begun, %d late\n",
		round, drawn.Gateway, drawn.Trouble, drawn.Length, describeCounts(r.OutOfStep), describeCounts(r.InStep), r.NotBegun, r.Late)
	for _, stream := range append(r.JoinedStreams, r.Violations...) {
		fmt.Println("    " + stream)
	}
}

func describeCounts(c platform.TakeUpCounts) string {
	var refused []string
	for reason, n := range c.Refused {
		refused = append(refused, fmt.Sprintf("%d with %s", n, reason))
	}
	sort.Strings(refused)
	reasons := ""
	if len(refused) > 0 {
		reasons = " (" + strings.Join(refused, ", ") + ")"
	}
	return fmt.Sprintf("%d joined, %d gone on, %d refused%s of which %d later, %d failed of %d", c.Joined, c.GoneOn, c.AllRefused(), reasons, c.Later, c.Failed, c.All())
}

// summarize prints the table and returns an error if a stream was joined.
func (t *takeUpTable) summarize() error {
	fmt.Printf("%-15s %-8s %6s %6s %6s %7s %7s %6s %6s %6s\n", "trouble", "to", "rounds", "joined", "streams", "gone on", "refused", "later", "failed", "all")
	line := func(trouble platform.Trouble, limit string, s *takeUpSum) {
		c := s.outOfStep
		fmt.Printf("%-15s %-8s %6d %6d %6d %7d %7d %6d %6d %6d\n", trouble, limit, s.rounds, s.joinedRounds, c.Joined, c.GoneOn, c.AllRefused(), c.Later, c.Failed, c.All())
	}
	for _, trouble := range append([]platform.Trouble{platform.TroubleStop}, platform.CutTroubles()...) {
		for class, limit := range takeUpClasses {
			if s := t.cells[takeUpCell{trouble, class}]; s != nil {
				line(trouble, limit.String(), s)
			}
		}
	}
	line("all", "", &t.all)
	fmt.Printf("in step: %s\n", describeCounts(t.all.inStep))
	if t.all.joinedRounds > 0 || t.violations > 0 {
		return fmt.Errorf("%d streams joined in %d of %d rounds, %d violations", t.all.outOfStep.Joined+t.all.inStep.Joined, t.all.joinedRounds, t.all.rounds, t.violations)
	}
	return nil
}
