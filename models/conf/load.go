// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package conf

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/BurntSushi/toml"
)

const maxFile = 16 << 20

// LoadFiles reads a document from a TOML file, or from all TOML files of a
// directory in the order of their names. Policies may name Starlark files,
// relative to the TOML file.
func LoadFiles(path string) (*Document, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, ErrInvalid{path, err.Error()}
	}
	files := []string{path}
	if info.IsDir() {
		if files, err = filepath.Glob(filepath.Join(path, "*.toml")); err != nil || len(files) == 0 {
			return nil, ErrInvalid{path, "no .toml file"}
		}
		sort.Strings(files)
	}
	d := &Document{}
	for _, f := range files {
		if err := d.addFile(f); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *Document) addFile(path string) error {
	var part Document
	md, err := toml.DecodeFile(path, &part)
	if err != nil {
		return ErrInvalid{path, tomlReason(err)}
	}
	if unknown := md.Undecoded(); len(unknown) > 0 {
		return ErrInvalid{path, fmt.Sprintf("unknown key %s", unknown[0])}
	}
	for i := range part.Policies {
		if err := part.Policies[i].loadSource(filepath.Dir(path)); err != nil {
			return err
		}
	}
	d.Accounts = append(d.Accounts, part.Accounts...)
	d.Pools = append(d.Pools, part.Pools...)
	d.Targets = append(d.Targets, part.Targets...)
	d.Policies = append(d.Policies, part.Policies...)
	return nil
}

func (p *Policy) loadSource(dir string) error {
	if p.File == "" {
		return nil
	}
	if p.Source != "" {
		return ErrInvalid{"policy." + p.Name, "has both file and source"}
	}
	path := p.File
	if !filepath.IsAbs(path) {
		path = filepath.Join(dir, path)
	}
	info, err := os.Stat(path)
	if err != nil || info.Size() > maxFile {
		return ErrInvalid{"policy." + p.Name + ".file", fmt.Sprintf("cannot read %s", p.File)}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return ErrInvalid{"policy." + p.Name + ".file", err.Error()}
	}
	p.Source, p.File = string(text), ""
	return nil
}

func tomlReason(err error) string {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return fmt.Sprintf("line %d: %s", parse.Position.Line, parse.Message)
	}
	return strings.TrimPrefix(err.Error(), "toml: ")
}
