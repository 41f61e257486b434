// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package log writes log lines through klog: a "[part]" prefix, a short sentence and
// key-value pairs. Call Setup before the first line. Lines of one request go through
// Logger.Request, so that they cannot use up the budget of the others.
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

// New returns a logger that prefixes its lines with "[part] ".
func New(part string) Logger { return Logger{"[" + part + "] "} }

// With returns a logger whose lines also name the process, for programs that run
// several routers.
func (l Logger) With(name string) Logger { return Logger{l.prefix + name + ": "} }

// asyncOutput is the current output if it is an AsyncWriter, else nil.
var asyncOutput atomic.Pointer[AsyncWriter]

// overBudget reports whether a line exceeds the budget, and if so counts it as dropped.
// Loggers call it before they format the line, which is most of its cost.
func overBudget(kind lineKind) bool {
	w := asyncOutput.Load()
	return w != nil && w.dropIfOverBudget(kind)
}

// Info writes an informational line.
func (l Logger) Info(msg string, kv ...any) {
	if !overBudget(generalLine) {
		klog.InfoSDepth(1, l.prefix+msg, kv...)
	}
}

// Request writes an informational line about a single request. Such lines may use only
// a part of the budget.
func (l Logger) Request(msg string, kv ...any) {
	if !overBudget(requestLine) {
		klog.InfoSDepth(1, l.prefix+msg, kv...)
	}
}

// Debug writes a line at verbosity 2 and above.
func (l Logger) Debug(msg string, kv ...any) {
	if klog.V(2).Enabled() {
		klog.InfoSDepth(1, l.prefix+msg, kv...)
	}
}

// Warn writes a warning.
func (l Logger) Warn(msg string, kv ...any) {
	if overBudget(generalLine) {
		return
	}
	klog.WarningDepth(1, l.prefix+msg+pairs(kv))
}

// Error writes an error.
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

// SetVerbosity changes the verbosity at run time.
func SetVerbosity(verbosity int) {
	var level klog.Level
	_ = level.Set(fmt.Sprint(verbosity))
}

// Setup directs all lines to out and sets the verbosity. If out is an AsyncWriter, its
// budget applies.
func Setup(out io.Writer, verbosity int) {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	_ = fs.Set("logtostderr", "false")
	_ = fs.Set("alsologtostderr", "false")
	_ = fs.Set("stderrthreshold", "FATAL")
	_ = fs.Set("one_output", "true")
	_ = fs.Set("v", fmt.Sprint(verbosity))
	w, _ := out.(*AsyncWriter)
	asyncOutput.Store(w)
	klog.SetOutput(out)
}
