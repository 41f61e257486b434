// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package setting

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const gatewaySample = `
[gateway]
id = "front-1"
callers = "127.0.0.1:1"
readiness = "127.0.0.1:2"
peers = "127.0.0.1:3"
store = "127.0.0.1:4"
seeds = ["127.0.0.1:3", "127.0.0.1:5"]
grace = "8s"
retry_extra = 58
a_field_of_tomorrow = 1
`

func TestGatewaySettings(t *testing.T) {
	g, err := ParseGateway(gatewaySample)
	if err != nil {
		t.Fatal(err)
	}
	if g.Grace.Duration != 8*time.Second || g.RetryExtra != 58 || g.RetryRatio != 0.2 || len(g.Seeds) != 2 {
		t.Errorf("%+v", g)
	}
}

// A wrong value is named with its key, in one line.
func TestWrongGatewaySettingsAreNamed(t *testing.T) {
	for key, replace := range map[string][2]string{
		"gateway.id":          {`id = "front-1"`, `id = ""`},
		"gateway.callers":     {`callers = "127.0.0.1:1"`, `callers = "localhost:1"`},
		"gateway.store":       {`store = "127.0.0.1:4"`, ``},
		"gateway.seeds":       {`"127.0.0.1:5"`, `"somewhere"`},
		"gateway.grace":       {`grace = "8s"`, `grace = "0s"`},
		"gateway.retry_extra": {`retry_extra = 58`, `retry_extra = -1`},
		"grace":               {`grace = "8s"`, `grace = "long"`},
	} {
		_, err := ParseGateway(strings.Replace(gatewaySample, replace[0], replace[1], 1))
		if err == nil || !strings.Contains(err.Error(), key) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", key, err)
		}
	}
}

func TestGatewayFileIsTold(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(gatewaySample), 0o600); err != nil {
		t.Fatal(err)
	}
	if !IsGatewayFile(path) || IsGatewayFile("../../madderway.example.toml") || IsGatewayFile(path+".none") {
		t.Error("a gateway's file is not told from others")
	}
	if g, err := LoadGateway(path); err != nil || g.ID != "front-1" {
		t.Errorf("%+v, %v", g, err)
	}
	if _, err := LoadGateway(path + ".none"); !IsErrSetting(err) {
		t.Errorf("no file: %v", err)
	}
}

func FuzzGateway(f *testing.F) {
	f.Add(gatewaySample)
	f.Add("[gateway]\nseeds = [\"\"]\n")
	f.Fuzz(func(t *testing.T, text string) {
		if g, err := ParseGateway(text); err == nil && (g.ID == "" || g.Grace.Duration <= 0) {
			t.Errorf("%+v was taken", g)
		}
	})
}
