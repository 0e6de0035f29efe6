// Package config reads and checks the settings file that the platform hands over.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

// Peer is another controller.
type Peer struct {
	Host string `json:"host_name"`
	Zone string `json:"location"`
	Addr string `json:"addr"`
}

// Team is a team's guarantee and limit; a limit of 0 means none.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective restates an aim.
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
	// Assumed tells, for the log, which limits are not given and what stands in for them.
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

// Lease is the workers' lease.
func (s *Settings) Lease() clock.Micros { return clock.FromSeconds(s.Params.Workers.LeaseS) }

// Sockets splits the limit: so many connections of users and workers, so many to
// workers' own addresses; the rest is for the peers, the services and listening.
func (s *Settings) Sockets() (inbound, orders int) {
	rest := s.Params.Limits.Sockets - 24 - 6*s.Params.Count
	return max(8, rest*6/7), max(2, rest/7)
}

// Degradations tells what the service does without under limits that are very small:
// it starts and serves all the same.
func (s *Settings) Degradations() (out []string) {
	p := &s.Params
	say := func(small bool, format string, args ...any) {
		if small {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	n := float64(max(p.Count, 1))
	in, lines := s.Sockets()
	say(p.State.TxnOps < 2, "params.state.txn_ops is %d: ends of jobs stay in their own records, which are read at every start", p.State.TxnOps)
	say(p.State.ValueKB < 2, "params.state.value_kb is %g: jobs whose record takes more are refused, progress is written in many small records", p.State.ValueKB)
	say(p.State.RPS/n < 3 || p.State.WriteRPS/n < 1, "params.state.rps and write_rps leave %.2g requests and %.2g changes a second to each controller: take-overs and submissions are slow",
		p.State.RPS/n, p.State.WriteRPS/n)
	say(in+lines+24+6*p.Count > p.Limits.Sockets, "params.machine_limits.fd_limit is %d: fewer than the peers, the services and %d other connections take", p.Limits.Sockets, in+lines)
	say(p.Limits.MemoryMB < 48, "params.machine_limits.memory_mb is %g: the collector runs often, long requests are cut off", p.Limits.MemoryMB)
	say(p.Limits.CoreShare > 0 && p.Limits.CoreShare < 0.02, "params.machine_limits.core_share is %g: rounds of decisions are far apart", p.Limits.CoreShare)
	return out
}

// Limits that are assumed where the settings give none.
const (
	assumedSockets  = 1000
	assumedMemoryMB = 256
)

// assumeLimits fills in the limits that are not given.
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
		var typ *json.UnmarshalTypeError
		if errors.As(err, &typ) {
			return nil, fmt.Errorf("settings: field %s: a %s is not allowed here", typ.Field, typ.Value)
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &s, nil
}

func (s *Settings) check() error {
	if s.Host == "" {
		return errors.New("field host_name is missing")
	}
	addrs := map[string]string{"listen": s.Listen, "cluster_listen": s.PeerListen,
		"services.cloud": s.Services.Cloud, "services.state": s.Services.State}
	hosts := map[string]bool{s.Host: true}
	for i, p := range s.Peers {
		addrs[fmt.Sprintf("others[%d].addr", i)] = p.Addr
		if p.Host == "" || hosts[p.Host] {
			return fmt.Errorf("field others[%d].host_name is missing or repeated", i)
		}
		hosts[p.Host] = true
	}
	for field, a := range addrs {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return fmt.Errorf("field %s: %q is not an address with a port", field, a)
		}
	}
	p := &s.Params
	if p.Count == 0 {
		p.Count = len(s.Peers) + 1
	}
	for field, v := range map[string]float64{"core_share": p.Limits.CoreShare, "memory_mb": p.Limits.MemoryMB, "fd_limit": float64(p.Limits.Sockets)} {
		if v < 0 {
			return fmt.Errorf("field params.machine_limits.%s must not be below 0", field)
		}
	}
	s.assumeLimits()
	for field, v := range map[string]float64{
		"params.count": float64(p.Count), "params.workers.report_s": p.Workers.ReportS, "params.workers.lease_s": p.Workers.LeaseS,
		"params.workers.cancel_s": p.Workers.CancelS, "params.state.rps": p.State.RPS, "params.state.write_rps": p.State.WriteRPS,
		"params.state.value_kb": p.State.ValueKB, "params.state.txn_ops": float64(p.State.TxnOps), "params.cloud.rps": p.Cloud.RPS,
	} {
		if !(v > 0) {
			return fmt.Errorf("field %s must be more than 0", field)
		}
	}
	seen := map[string]bool{}
	for i, t := range p.Teams {
		if t.Name == "" || seen[t.Name] {
			return fmt.Errorf("field params.teams[%d].name is missing or repeated", i)
		}
		seen[t.Name] = true
		if t.CPUs < 0 || t.GPUs < 0 || t.CPUsMax < 0 || t.GPUsMax < 0 {
			return fmt.Errorf("field params.teams[%d]: an amount is below 0", i)
		}
		if (t.CPUsMax > 0 && t.CPUsMax < t.CPUs) || (t.GPUsMax > 0 && t.GPUsMax < t.GPUs) {
			return fmt.Errorf("field params.teams[%d]: the limit is below the guarantee", i)
		}
	}
	return nil
}
