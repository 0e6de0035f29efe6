// Package config reads and checks the settings file that the platform provides.
//
// Parse turns its JSON into Settings, assumes limits that are not given, and rejects a file that can't be
// used with one line that names the field. Degradations and Insufficient tell what the service does without
// under limits that are small. The names in the tags are the platform's and never change.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

// Peer is another controller, as the settings name it.
type Peer struct {
	Host string `json:"host_name"`
	Zone string `json:"location"`
	Addr string `json:"addr"`
}

// Team is a team's guarantee and quota (the fields that end in Max); a quota of 0 means none.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective is an SLO that the settings restate.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Share   float64 `json:"share"`
	Most    float64 `json:"most"`
	Times   float64 `json:"times"` // a multiple of the deadline
}

// Settings is the settings file. Unknown fields are ignored.
type Settings struct {
	// Assumed says, for the log, which limits are not given and what is assumed instead.
	Assumed []string `json:"-"`

	Host       string `json:"host_name"`
	Zone       string `json:"location"`
	Listen     string `json:"listen"`
	PeerListen string `json:"cluster_listen"`
	Peers      []Peer `json:"others"`
	Services   struct {
		Cloud string `json:"cloud"`
		State string `json:"state"`
	} `json:"services"`
	Params struct {
		Count      int         `json:"count"`
		Zones      []string    `json:"zones"`
		Teams      []Team      `json:"teams"`
		Objectives []Objective `json:"objectives"`
		Workers    struct {
			ReportS float64 `json:"report_s"`
			LeaseS  float64 `json:"lease_s"`
			CancelS float64 `json:"cancel_s"`
		} `json:"workers"`
		State struct {
			RPS      float64 `json:"rps"`
			WriteRPS float64 `json:"write_rps"`
			ValueKB  float64 `json:"value_kb"`
			TxnOps   int     `json:"txn_ops"`
		} `json:"state"`
		Cloud struct {
			RPS      float64 `json:"rps"`
			ListLagS float64 `json:"list_lag_s"`
		} `json:"cloud"`
		Limits struct {
			CoreShare float64 `json:"core_share"`
			MemoryMB  float64 `json:"memory_mb"`
			Sockets   int     `json:"fd_limit"`
		} `json:"machine_limits"`
		SkewMS float64 `json:"skew_ms"`
	} `json:"params"`
}

// Lease is the worker lease: a worker without an answer for so long ends all its tasks.
func (s *Settings) Lease() clock.Micros { return clock.FromSeconds(s.Params.Workers.LeaseS) }

const (
	// ownSockets are for the services and listening.
	ownSockets = 24
	// peerSockets are for each controller of the cluster.
	peerSockets = 6
	// minInboundSockets and minDeliverySockets are used under any limit: the controller starts all the same.
	minInboundSockets  = 8
	minDeliverySockets = 2
	// deliveryPart: one in so many of the rest is for deliveries, the others are for inbound connections.
	deliveryPart = 7
)

// Sockets divides the limit of file descriptors: so many for connections of users and workers, so many
// for deliveries to workers' own addresses; the rest is for the peers, the services and listening.
func (s *Settings) Sockets() (inbound, deliveries int) {
	rest := s.Params.Limits.Sockets - s.reservedSockets()
	return max(minInboundSockets, rest*(deliveryPart-1)/deliveryPart), max(minDeliverySockets, rest/deliveryPart)
}

// reservedSockets are those that are neither for users and workers nor for deliveries.
func (s *Settings) reservedSockets() int { return ownSockets + peerSockets*s.Params.Count }

// Limits that are assumed where the settings give none.
const (
	assumedSockets  = 1000 // file descriptors
	assumedMemoryMB = 256
)

// assumeLimits fills in the limits that are not given, and records so in Assumed.
func (s *Settings) assumeLimits() {
	limits := &s.Params.Limits
	if limits.Sockets == 0 {
		limits.Sockets = assumedSockets
		s.Assumed = append(s.Assumed, fmt.Sprintf("params.machine_limits.fd_limit is not given: %d are assumed", assumedSockets))
	}
	if limits.MemoryMB == 0 {
		limits.MemoryMB = assumedMemoryMB
		s.Assumed = append(s.Assumed, fmt.Sprintf("params.machine_limits.memory_mb is not given: %d are assumed", assumedMemoryMB))
	}
	if limits.CoreShare == 0 {
		s.Assumed = append(s.Assumed, "params.machine_limits.core_share is not given: no small share is assumed")
	}
}

// Load reads a settings file.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(b)
}

// Parse reads and checks settings.
func Parse(b []byte) (*Settings, error) {
	var s Settings
	if err := json.Unmarshal(b, &s); err != nil {
		var mismatch *json.UnmarshalTypeError
		if errors.As(err, &mismatch) {
			return nil, fmt.Errorf("settings: field %s: a %s is not allowed here", mismatch.Field, mismatch.Value)
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &s, nil
}

// check rejects settings that can't be used. It fills in the count of controllers and the limits that are
// not given, since later fields are checked against them.
func (s *Settings) check() error {
	if s.Host == "" {
		return errNoHost
	}
	if err := s.checkPeers(); err != nil {
		return err
	}
	if err := s.checkAddresses(); err != nil {
		return err
	}
	if s.Params.Count == 0 {
		s.Params.Count = len(s.Peers) + 1
	}
	if err := s.checkLimits(); err != nil {
		return err
	}
	s.assumeLimits()
	if err := s.checkPositive(); err != nil {
		return err
	}
	return s.checkTeams()
}

var errNoHost = errors.New("field host_name is missing")

// checkPeers checks that the controllers have names of their own.
func (s *Settings) checkPeers() error {
	hosts := map[string]bool{s.Host: true}
	for i, p := range s.Peers {
		if p.Host == "" || hosts[p.Host] {
			return fmt.Errorf("field others[%d].host_name is missing or repeated", i)
		}
		hosts[p.Host] = true
	}
	return nil
}

// checkAddresses checks the controller's own addresses, those of the services and those of the peers.
func (s *Settings) checkAddresses() error {
	addresses := map[string]string{
		"listen":         s.Listen,
		"cluster_listen": s.PeerListen,
		"services.cloud": s.Services.Cloud,
		"services.state": s.Services.State,
	}
	for i, p := range s.Peers {
		addresses[fmt.Sprintf("others[%d].addr", i)] = p.Addr
	}
	for field, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fmt.Errorf("field %s: %q is not an address with a port", field, address)
		}
	}
	return nil
}

// checkLimits checks the limits of the machine that the controller runs on; 0 means not given.
func (s *Settings) checkLimits() error {
	limits := &s.Params.Limits
	for field, v := range map[string]float64{
		"core_share": limits.CoreShare,
		"memory_mb":  limits.MemoryMB,
		"fd_limit":   float64(limits.Sockets),
	} {
		if v < 0 {
			return fmt.Errorf("field params.machine_limits.%s must not be below 0", field)
		}
	}
	return nil
}

// checkPositive checks the numbers without which the service can't run.
func (s *Settings) checkPositive() error {
	p := &s.Params
	for field, v := range map[string]float64{
		"params.count":            float64(p.Count),
		"params.workers.report_s": p.Workers.ReportS,
		"params.workers.lease_s":  p.Workers.LeaseS,
		"params.workers.cancel_s": p.Workers.CancelS,
		"params.state.rps":        p.State.RPS,
		"params.state.write_rps":  p.State.WriteRPS,
		"params.state.value_kb":   p.State.ValueKB,
		"params.state.txn_ops":    float64(p.State.TxnOps),
		"params.cloud.rps":        p.Cloud.RPS,
	} {
		if !(v > 0) {
			return fmt.Errorf("field %s must be more than 0", field)
		}
	}
	return nil
}

// checkTeams checks the teams' names, guarantees and quotas.
func (s *Settings) checkTeams() error {
	names := map[string]bool{}
	for i, t := range s.Params.Teams {
		if t.Name == "" || names[t.Name] {
			return fmt.Errorf("field params.teams[%d].name is missing or repeated", i)
		}
		names[t.Name] = true
		if t.CPUs < 0 || t.GPUs < 0 || t.CPUsMax < 0 || t.GPUsMax < 0 {
			return fmt.Errorf("field params.teams[%d]: an amount is below 0", i)
		}
		if exceeds(t.CPUs, t.CPUsMax) || exceeds(t.GPUs, t.GPUsMax) {
			return fmt.Errorf("field params.teams[%d]: the limit is below the guarantee", i)
		}
	}
	return nil
}

// exceeds reports whether a guarantee is above a quota; a quota of 0 means none.
func exceeds(guarantee, quota float64) bool { return quota > 0 && quota < guarantee }
