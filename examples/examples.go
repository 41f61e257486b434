// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

// Package examples embeds two sample configurations. The demo of madderway-lab runs them, and
// operators can start from them.
package examples

import (
	"embed"
	"io/fs"
	"os"
	"path/filepath"

	"madderway/models/conf"
)

//go:embed core-logging haddad
var files embed.FS

// Names of the examples.
const (
	CoreLogging = "core-logging"
	Haddad      = "haddad"
)

// Load returns the configuration of an example.
func Load(name string) (*conf.Document, error) {
	dir, err := os.MkdirTemp("", "madderway-example-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	sub, err := fs.Sub(files, name)
	if err != nil {
		return nil, err
	}
	if err := os.CopyFS(filepath.Join(dir, name), sub); err != nil {
		return nil, err
	}
	return conf.LoadFiles(filepath.Join(dir, name))
}
