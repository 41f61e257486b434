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

// Gateway configures a gateway process: a router in front of the targets that the
// platform's store lists. The platform writes the file, which has only this section.
// Unknown keys are ignored, since the platform may add some.
type Gateway struct {
	ID        string `toml:"id"`
	DataHall  string `toml:"data_hall"`
	Region    string `toml:"region"`
	Callers   string `toml:"callers"`   // listen address for callers
	Readiness string `toml:"readiness"` // listen address for the load balancer's health checks
	Peers     string `toml:"peers"`     // listen address for other gateways
	// PeersAdvertise is the address that other gateways dial, Peers if empty.
	PeersAdvertise string `toml:"peers_advertise"`

	Seeds       []string `toml:"seeds"`        // addresses of some other gateways, possibly stale
	PeerKey     string   `toml:"peer_key"`     // shared key of all gateways
	Metrics     string   `toml:"metrics"`      // listen address for metrics and state dumps, empty to disable
	Store       string   `toml:"store"`        // address of the platform's store
	StoreCall   Duration `toml:"store_call"`   // timeout of a call to the store
	Grace       Duration `toml:"grace"`        // from SIGTERM until the platform kills the process
	FirstStart  bool     `toml:"first_start"`  // first start of the whole fleet; no gateway is registered yet
	Linger      Duration `toml:"linger"`       // time for which a stopping gateway still accepts requests
	RetryWindow Duration `toml:"retry_window"` // time window of the fleet's retry budget
	RetryRatio  float64  `toml:"retry_ratio"`  // retries per first attempt
	RetryExtra  float64  `toml:"retry_extra"`  // retries of the whole fleet per window beyond the ratio
	FairWindow  Duration `toml:"fair_window"`  // time window of fair sharing between client accounts
	MemoryMB    int64    `toml:"memory_mb"`
	Descriptors int      `toml:"descriptors"`
	Processor   float64  `toml:"processor"` // CPU cores of the machine, may be a fraction
	LinkMbps    float64  `toml:"link_mbps"` // network bandwidth in each direction, 0 if unknown
	Verbosity   int      `toml:"verbosity"`

	Scheduling Scheduling `toml:"scheduling"`
}

// Scheduling switches on how gateways schedule under hard load. It applies to services whose
// engines copy cached prompts from each other cheaply: those that need at most CompactTokenKB for
// a cached token. All others are scheduled as without this section.
type Scheduling struct {
	CompactTokenKB int  `toml:"compact_token_kb"` // KiB for each cached token, 0 for no service
	Forecast       bool `toml:"forecast"`         // refuse by the expected wait, not after a fixed one
	Returns        bool `toml:"returns"`          // schedule the times at which refused requests may return
	Room           bool `toml:"room"`             // send requests to cells with room
	Handover       bool `toml:"handover"`         // tell the next scheduler what was learned of targets
	Pace           bool `toml:"pace"`             // weigh what prefill does to the streams beside it
	PlainByRecent  bool `toml:"plain_by_recent"`  // choose plain targets by their last responses
	// CrossingCost is the additional wait that keeping 1 KiB inside its data hall is worth.
	CrossingCost Duration `toml:"crossing_cost"`
}

type gatewayFile struct {
	Gateway Gateway `toml:"gateway"`
}

// DefaultGateway returns the defaults of a gateway's settings.
func DefaultGateway() Gateway {
	return Gateway{
		StoreCall: Duration{time.Second},
		Grace:     Duration{8 * time.Second}, Linger: Duration{2200 * time.Millisecond},
		RetryWindow: Duration{10 * time.Second}, RetryRatio: 0.2, FairWindow: Duration{4 * time.Second}, MemoryMB: 256, Descriptors: 1024, Processor: 1,
	}
}

// IsGatewayFile reports whether a settings file has a gateway section. It reports false if the
// file cannot be read.
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
		return nil, tomlError(err)
	}
	g := &file.Gateway
	return g, g.check()
}

// PeerAddress returns the address that other gateways dial.
func (g *Gateway) PeerAddress() string {
	if g.PeersAdvertise != "" {
		return g.PeersAdvertise
	}
	return g.Peers
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
	if g.PeersAdvertise != "" {
		addresses["gateway.peers_advertise"] = g.PeersAdvertise
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
		checkRange("gateway.scheduling.compact_token_kb", g.Scheduling.CompactTokenKB, 0, 1<<20),
		checkDuration("gateway.scheduling.crossing_cost", g.Scheduling.CrossingCost, 0, time.Second),
	)
}
