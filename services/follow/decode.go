// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package follow

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"io"
)

var (
	errMalformedState = errors.New("the state is malformed")
	errStateTooLarge  = errors.New("the state is too large")
)

// isJSON reports whether a state is uncompressed: each state is a JSON object.
func isJSON(content []byte) bool { return len(content) > 0 && content[0] == '{' }

// stateDecoder returns a decoder of a peer's state, which may be compressed.
func stateDecoder(content []byte) *json.Decoder {
	if isJSON(content) {
		return json.NewDecoder(bytes.NewReader(content))
	}
	return json.NewDecoder(unpack(content))
}

// unpack returns a reader of a compressed state. It fails if the state is too large.
func unpack(packed []byte) io.Reader {
	return &limitedReader{flate.NewReader(bytes.NewReader(packed)), maxStateSize}
}

// limitedReader fails once its source has returned more bytes than are left.
type limitedReader struct {
	source io.Reader
	left   int
}

func (l *limitedReader) Read(p []byte) (int, error) {
	n, err := l.source.Read(p)
	if l.left -= n; l.left < 0 {
		return 0, errStateTooLarge
	}
	return n, err
}

// decode decodes a state one change at a time: the whole list of a large fleet takes megabytes.
func (s *targetState) decode(d *json.Decoder) error {
	if err := expect(d, json.Delim('{')); err != nil {
		return err
	}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return err
		}
		if err := s.decodeField(d, key); err != nil {
			return err
		}
	}
	return expect(d, json.Delim('}'))
}

func (s *targetState) decodeField(d *json.Decoder, key json.Token) error {
	switch key {
	case "revision":
		return d.Decode(&s.Revision)
	case "whole":
		return d.Decode(&s.Whole)
	case "unseen":
		return d.Decode(&s.Unseen)
	case "changes":
		return s.decodeChanges(d)
	case "leaving":
		return d.Decode(&s.Leaving)
	default:
		var unknown json.RawMessage
		return d.Decode(&unknown)
	}
}

func (s *targetState) decodeChanges(d *json.Decoder) error {
	start, err := d.Token()
	if err != nil || start == nil {
		return err // no changes are encoded as null
	}
	if start != json.Delim('[') {
		return errMalformedState
	}
	shared := map[string]string{}
	for d.More() {
		var ch TargetChange
		if err := d.Decode(&ch); err != nil {
			return err
		}
		ch.share(shared)
		s.Changes = append(s.Changes, ch)
	}
	return expect(d, json.Delim(']'))
}

// expect reads a token and fails if it is another one.
func expect(d *json.Decoder, want json.Token) error {
	got, err := d.Token()
	if err == nil && got != want {
		return errMalformedState
	}
	return err
}

// share replaces strings of a change by equal ones that are kept already.
func (c *TargetChange) share(kept map[string]string) {
	if c.Target.Name == c.ID {
		c.Target.Name = c.ID
	}
	if c.Target.ID == c.ID {
		c.Target.ID = c.ID
	}
	for _, s := range []*string{&c.Target.Service, &c.Target.DataHall, &c.Target.Software} {
		if same, found := kept[*s]; found {
			*s = same
		} else {
			kept[*s] = *s
		}
	}
}
