// Copyright 2026 The madderway Authors.
// SPDX-License-Identifier: MIT

package setting

import (
	"os"
	"sort"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Gateway holds the settings of a gateway process: a router that serves in
// front of targets which the platform's store lists. Its file has this one
// section; an unknown key is passed over, since the platform may add fields.
type Gateway struct {
	ID          string   `toml:"id"`
	DataHall    string   `toml:"data_hall"`
	Region      string   `toml:"region"`
	Callers     string   `toml:"callers"`   // address for callers
	Readiness   string   `toml:"readiness"` // address where the balancer asks
	Peers       string   `toml:"peers"`     // address for other gateways
	Seeds       []string `toml:"seeds"`     // addresses of some other gateways, perhaps stale
	PeerKey     string   `toml:"peer_key"`  // shared by all gateways of the private network
	Metrics     string   `toml:"metrics"`   // address for metrics and dumps, empty for none
	Store       string   `toml:"store"`     // address of the platform's store
	StoreCall   Duration `toml:"store_call"`
	Grace       Duration `toml:"grace"`        // from the order to stop until the process is killed
	FirstStart  bool     `toml:"first_start"`  // the whole fleet starts for the first time; nobody is registered yet
	Linger      Duration `toml:"linger"`       // how long a stopping gateway still takes requests
	RetryWindow Duration `toml:"retry_window"` // span of the fleet's retry budget
	RetryRatio  float64  `toml:"retry_ratio"`  // repeats for each first send
	RetryExtra  float64  `toml:"retry_extra"`  // repeats beyond, of the whole fleet
	FairWindow  Duration `toml:"fair_window"`  // span over which client accounts are compared
	MemoryMB    int64    `toml:"memory_mb"`
	Descriptors int      `toml:"descriptors"`
	Processor   float64  `toml:"processor"` // share of a core that the machine has
	LinkMbps    float64  `toml:"link_mbps"` // what the machine's link carries each way, 0 where that is not known
	Verbosity   int      `toml:"verbosity"`
}

type gatewayFile struct {
	Gateway Gateway `toml:"gateway"`
}

// DefaultGateway returns the settings where the file is silent.
func DefaultGateway() Gateway {
	return Gateway{
		StoreCall: Duration{time.Second},
		Grace:     Duration{8 * time.Second}, Linger: Duration{2200 * time.Millisecond},
		RetryWindow: Duration{10 * time.Second}, RetryRatio: 0.2, FairWindow: Duration{4 * time.Second}, MemoryMB: 256, Descriptors: 1024, Processor: 1,
	}
}

// IsGatewayFile tells whether a settings file has the section of a gateway.
func IsGatewayFile(path string) bool {
	var sections map[string]any
	if _, err := toml.DecodeFile(path, &sections); err != nil {
		return false
	}
	_, ok := sections["gateway"]
	return ok
}

// LoadGateway reads and checks the settings file of a gateway.
func LoadGateway(path string) (*Gateway, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrSetting{"--config", err.Error()}
	}
	return ParseGateway(string(text))
}

// ParseGateway reads and checks the text of a gateway's settings file.
func ParseGateway(text string) (*Gateway, error) {
	file := gatewayFile{Gateway: DefaultGateway()}
	if _, err := toml.Decode(text, &file); err != nil {
		return nil, describe(err)
	}
	g := &file.Gateway
	return g, g.check()
}

func (g *Gateway) check() error {
	if g.ID == "" {
		return ErrSetting{"gateway.id", "must not be empty"}
	}
	addresses := map[string]string{
		"gateway.callers": g.Callers, "gateway.readiness": g.Readiness, "gateway.peers": g.Peers, "gateway.store": g.Store,
	}
	if g.Metrics != "" {
		addresses["gateway.metrics"] = g.Metrics
	}
	keys := make([]string, 0, len(addresses))
	for key := range addresses {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		if err := checkAddress(key, addresses[key]); err != nil {
			return err
		}
	}
	for _, seed := range g.Seeds {
		if err := checkAddress("gateway.seeds", strings.TrimSpace(seed)); err != nil {
			return err
		}
	}
	return checkAll(
		checkDuration("gateway.store_call", g.StoreCall, 10*time.Millisecond, time.Minute),
		checkDuration("gateway.grace", g.Grace, 100*time.Millisecond, time.Hour),
		checkDuration("gateway.linger", g.Linger, 0, g.Grace.Duration),
		checkDuration("gateway.retry_window", g.RetryWindow, 100*time.Millisecond, time.Hour),
		checkDuration("gateway.fair_window", g.FairWindow, 100*time.Millisecond, time.Hour),
		checkRange("gateway.retry_ratio", g.RetryRatio, 0, 10),
		checkRange("gateway.retry_extra", g.RetryExtra, 0, 1e6),
		checkRange("gateway.memory_mb", g.MemoryMB, 16, 1<<20),
		checkRange("gateway.descriptors", g.Descriptors, 64, 1<<24),
		checkRange("gateway.processor", g.Processor, 0.01, 1024),
		checkRange("gateway.link_mbps", g.LinkMbps, 0, 1e7),
	)
}
