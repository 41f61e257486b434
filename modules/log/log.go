// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package log writes short sentences with a fixed prefix for each part and
// structured values, through klog.
package log

import (
	"flag"
	"fmt"
	"io"
	"sync/atomic"

	"k8s.io/klog/v2"
)

// Logger writes the lines of one part of the program.
type Logger struct{ prefix string }

// New returns the logger of a part; the prefix stands before each line.
func New(part string) Logger { return Logger{"[" + part + "] "} }

// With returns a logger whose lines also name the process, for programs that
// run several routers.
func (l Logger) With(name string) Logger { return Logger{l.prefix + name + ": "} }

// output is the writer in use where it has a budget.
var output atomic.Pointer[AsyncWriter]

// over tells whether the budget of this second is spent, and counts the line
// that is left out for it. It is asked before a line is put together, since that
// is most of its cost.
func over(kind lineKind) bool {
	w := output.Load()
	return w != nil && w.overBudget(kind)
}

// Info writes a line with key-value pairs.
func (l Logger) Info(msg string, kv ...any) {
	if !over(general) {
		klog.InfoSDepth(1, l.prefix+msg, kv...)
	}
}

// Request writes a line about a single request. A flood of these leaves a part of the
// budget to all other lines.
func (l Logger) Request(msg string, kv ...any) {
	if !over(aboutRequest) {
		klog.InfoSDepth(1, l.prefix+msg, kv...)
	}
}

// Debug writes a line if verbosity 2 is on.
func (l Logger) Debug(msg string, kv ...any) {
	if klog.V(2).Enabled() {
		klog.InfoSDepth(1, l.prefix+msg, kv...)
	}
}

// Warn writes a warning with key-value pairs.
func (l Logger) Warn(msg string, kv ...any) {
	if over(general) {
		return
	}
	klog.WarningDepth(1, l.prefix+msg+pairs(kv))
}

// Error writes an error with key-value pairs.
func (l Logger) Error(err error, msg string, kv ...any) {
	klog.ErrorSDepth(1, err, l.prefix+msg, kv...)
}

func pairs(kv []any) string {
	s := ""
	for i := 0; i+1 < len(kv); i += 2 {
		s += fmt.Sprintf(" %v=%q", kv[i], fmt.Sprint(kv[i+1]))
	}
	return s
}

// SetVerbosity changes the verbosity of a running program.
func SetVerbosity(verbosity int) {
	var level klog.Level
	_ = level.Set(fmt.Sprint(verbosity))
}

// Setup directs all lines to out and sets the verbosity.
func Setup(out io.Writer, verbosity int) {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	_ = fs.Set("logtostderr", "false")
	_ = fs.Set("alsologtostderr", "false")
	_ = fs.Set("stderrthreshold", "FATAL")
	_ = fs.Set("one_output", "true")
	_ = fs.Set("v", fmt.Sprint(verbosity))
	w, _ := out.(*AsyncWriter)
	output.Store(w)
	klog.SetOutput(out)
}
