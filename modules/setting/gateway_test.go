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

func TestParseGateway(t *testing.T) {
	g, err := ParseGateway(gatewaySample)
	if err != nil {
		t.Fatal(err)
	}
	if g.Grace.Duration != 8*time.Second || g.RetryExtra != 58 || g.RetryRatio != 0.2 || len(g.Seeds) != 2 {
		t.Errorf("ParseGateway: got %+v", g)
	}
}

func TestGatewayPeerAddress(t *testing.T) {
	for extra, want := range map[string]string{"": "127.0.0.1:3", `peers_advertise = "127.0.0.1:9"`: "127.0.0.1:9"} {
		g, err := ParseGateway(gatewaySample + extra)
		if err != nil || g.PeerAddress() != want {
			t.Errorf("with %q: got %v, %v, want %s", extra, g.PeerAddress(), err, want)
		}
	}
}

// Guards against settings of before that change how services are scheduled, and against values
// out of range.
func TestParseScheduling(t *testing.T) {
	g, err := ParseGateway(gatewaySample)
	if err != nil || g.Scheduling != (Scheduling{}) {
		t.Errorf("without the section: got %+v, %v, want nothing switched on", g.Scheduling, err)
	}
	section := "\n[gateway.scheduling]\ncompact_token_kb = 32\nforecast = true\ncrossing_cost = \"10ms\"\n"
	g, err = ParseGateway(gatewaySample + section)
	if want := (Scheduling{CompactTokenKB: 32, Forecast: true, CrossingCost: Duration{10 * time.Millisecond}}); err != nil || g.Scheduling != want {
		t.Errorf("got %+v, %v, want %+v", g.Scheduling, err, want)
	}
	for key, value := range map[string]string{"compact_token_kb": "-1", "crossing_cost": `"2s"`} {
		_, err := ParseGateway(gatewaySample + "\n[gateway.scheduling]\n" + key + " = " + value + "\n")
		if err == nil || !strings.Contains(err.Error(), "gateway.scheduling."+key) {
			t.Errorf("%s = %s: got %v, want an error that names the key", key, value, err)
		}
	}
}

// Guards against errors that do not name the invalid key, or span lines.
func TestParseGatewayErrorNamesKey(t *testing.T) {
	for key, replace := range map[string][2]string{
		"gateway.id":              {`id = "front-1"`, `id = ""`},
		"gateway.callers":         {`callers = "127.0.0.1:1"`, `callers = "localhost:1"`},
		"gateway.store":           {`store = "127.0.0.1:4"`, ``},
		"gateway.seeds":           {`"127.0.0.1:5"`, `"somewhere"`},
		"gateway.grace":           {`grace = "8s"`, `grace = "0s"`},
		"gateway.peers_advertise": {`peers = "127.0.0.1:3"`, "peers = \"127.0.0.1:3\"\npeers_advertise = \"front-1\""},
		"gateway.retry_extra":     {`retry_extra = 58`, `retry_extra = -1`},
		"grace":                   {`grace = "8s"`, `grace = "long"`},
	} {
		_, err := ParseGateway(strings.Replace(gatewaySample, replace[0], replace[1], 1))
		if err == nil || !strings.Contains(err.Error(), key) || strings.Contains(err.Error(), "\n") {
			t.Errorf("error for invalid %s: got %v", key, err)
		}
	}
}

func TestIsGatewayFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(gatewaySample), 0o600); err != nil {
		t.Fatal(err)
	}
	if !IsGatewayFile(path) || IsGatewayFile("../../madderway.example.toml") || IsGatewayFile(path+".none") {
		t.Error("IsGatewayFile: want true for a gateway's file only")
	}
	if g, err := LoadGateway(path); err != nil || g.ID != "front-1" {
		t.Errorf("LoadGateway: got %+v, %v", g, err)
	}
	if _, err := LoadGateway(path + ".none"); !IsErrSetting(err) {
		t.Errorf("missing file: got %v, want an ErrSetting", err)
	}
}

func FuzzGateway(f *testing.F) {
	f.Add(gatewaySample)
	f.Add("[gateway]\nseeds = [\"\"]\n")
	f.Fuzz(func(t *testing.T, text string) {
		if g, err := ParseGateway(text); err == nil && (g.ID == "" || g.Grace.Duration <= 0) {
			t.Errorf("ParseGateway accepted invalid settings: %+v", g)
		}
	})
}
