// Package config reads and checks the settings file that the platform provides.
//
// Parse decodes the JSON file into Settings and fills in limits that are missing. It rejects an unusable file with
// a one-line error, which names the field unless the file is no JSON. Degradations and Insufficient report what the service
// can't do, or does worse, because a limit is small. The JSON names in the tags are defined by the platform and never change.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

// Peer is another controller in the settings.
type Peer struct {
	Host string `json:"host_name"`
	Zone string `json:"location"`
	Addr string `json:"addr"` // address for calls from other controllers
}

// Team has a team's guarantee and its limit, which is in the fields that end in Max. A limit of 0 means no limit.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective is a service objective from the settings, for one kind of target and, unless Class is empty, one job class.
type Objective struct {
	Kind    string  `json:"kind"`  // "wait", "finished", "deadline" or "guarantee"; others are ignored
	Class   string  `json:"class"` // job class; "": no class in particular
	WithinS float64 `json:"within_s"`
	Share   float64 `json:"share"`
	Most    float64 `json:"most"`
	Times   float64 `json:"times"` // multiple of a job's deadline by which it should be done
}

// Settings has the contents of the settings file. Unknown fields of the file are ignored.
type Settings struct {
	// Assumed has a message for the log for each limit that the file does not give, with the value used instead.
	Assumed []string `json:"-"`

	Host       string `json:"host_name"`
	Zone       string `json:"location"`
	Listen     string `json:"listen"`         // address for users and workers
	PeerListen string `json:"cluster_listen"` // address for other controllers and the operators' commands
	Peers      []Peer `json:"others"`
	Services   struct {
		Cloud string `json:"cloud"` // address of the cloud's API
		Store string `json:"state"` // address of the key-value store
	} `json:"services"`
	Params struct {
		Count      int         `json:"count"` // number of controllers; 0: this one and Peers
		Zones      []string    `json:"zones"`
		Teams      []Team      `json:"teams"`
		Objectives []Objective `json:"objectives"`
		Workers    struct {
			ReportS float64 `json:"report_s"` // interval between a worker's heartbeats, in seconds
			LeaseS  float64 `json:"lease_s"`  // worker lease in seconds; see Lease
			CancelS float64 `json:"cancel_s"`
		} `json:"workers"`
		Store struct {
			RPS      float64 `json:"rps"`       // requests per second of all controllers together
			WriteRPS float64 `json:"write_rps"` // writes per second of all controllers together
			ValueKB  float64 `json:"value_kb"`  // maximum size of a value
			TxnOps   int     `json:"txn_ops"`   // maximum number of operations in a transaction
		} `json:"state"` // limits of the key-value store
		Cloud struct {
			RPS      float64 `json:"rps"`        // requests per second
			ListLagS float64 `json:"list_lag_s"` // how many seconds the list of instances may lag behind
		} `json:"cloud"`
		Limits struct {
			CoreShare       float64 `json:"core_share"` // share of one core
			MemoryMB        float64 `json:"memory_mb"`
			FileDescriptors int     `json:"fd_limit"`
		} `json:"machine_limits"` // limits of the controller's process; 0: not given
		SkewMS float64 `json:"skew_ms"` // maximum difference between two hosts' times of day, in milliseconds
	} `json:"params"`
}

// Lease returns the duration of the worker lease. A worker that gets no response to its heartbeats for this long ends
// all its tasks.
func (s *Settings) Lease() clock.Micros { return clock.FromSeconds(s.Params.Workers.LeaseS) }

const (
	// serviceSockets is the number of sockets reserved for listening, the cloud and the key-value store.
	serviceSockets = 24
	// peerSockets is the number of sockets reserved for each controller of the cluster.
	peerSockets = 6
	// minInboundSockets and minDeliverySockets are used even if the limit is too small for them, so that the controller
	// starts in any case.
	minInboundSockets  = 8
	minDeliverySockets = 2
	// deliveryDivisor determines how the other sockets are divided: one in deliveryDivisor is for deliveries of commands to
	// workers, and the rest is for inbound connections.
	deliveryDivisor = 7
)

// Sockets divides the limit of file descriptors and returns the number for inbound connections of users and workers
// and the number for connections to workers, over which commands are delivered. The other sockets are reserved.
func (s *Settings) Sockets() (inbound, deliveries int) {
	available := s.Params.Limits.FileDescriptors - s.reservedSockets()
	return max(minInboundSockets, available*(deliveryDivisor-1)/deliveryDivisor), max(minDeliverySockets, available/deliveryDivisor)
}

// reservedSockets returns the number of sockets for peers, the cloud, the key-value store and listening.
func (s *Settings) reservedSockets() int { return serviceSockets + peerSockets*s.Params.Count }

// Limits that are assumed if the settings give none.
const (
	assumedSockets  = 1000 // file descriptors
	assumedMemoryMB = 256
)

// assumeLimits fills in the limits that are not given and adds a message for each to Assumed.
func (s *Settings) assumeLimits() {
	limits := &s.Params.Limits
	if limits.FileDescriptors == 0 {
		limits.FileDescriptors = assumedSockets
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

// Load reads and checks the settings file at path.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(b)
}

// Parse decodes and checks the contents of a settings file.
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

// check rejects unusable settings. It also fills in the number of controllers and the limits if they are not given,
// because later checks need them.
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

// checkPeers rejects settings in which a controller has no host name or the name of another.
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

// checkAddresses rejects an address of this controller, a service or a peer that is no IP address with a port.
func (s *Settings) checkAddresses() error {
	addresses := map[string]string{
		"listen":         s.Listen,
		"cluster_listen": s.PeerListen,
		"services.cloud": s.Services.Cloud,
		"services.state": s.Services.Store,
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

// checkLimits rejects negative limits of the controller's process. 0 means that a limit is not given.
func (s *Settings) checkLimits() error {
	limits := &s.Params.Limits
	for field, v := range map[string]float64{
		"core_share": limits.CoreShare,
		"memory_mb":  limits.MemoryMB,
		"fd_limit":   float64(limits.FileDescriptors),
	} {
		if v < 0 {
			return fmt.Errorf("field params.machine_limits.%s must not be below 0", field)
		}
	}
	return nil
}

// checkPositive rejects settings in which a number that the service needs is missing or not positive.
func (s *Settings) checkPositive() error {
	params := &s.Params
	for field, v := range map[string]float64{
		"params.count":            float64(params.Count),
		"params.workers.report_s": params.Workers.ReportS,
		"params.workers.lease_s":  params.Workers.LeaseS,
		"params.workers.cancel_s": params.Workers.CancelS,
		"params.state.rps":        params.Store.RPS,
		"params.state.write_rps":  params.Store.WriteRPS,
		"params.state.value_kb":   params.Store.ValueKB,
		"params.state.txn_ops":    float64(params.Store.TxnOps),
		"params.cloud.rps":        params.Cloud.RPS,
	} {
		if !(v > 0) {
			return fmt.Errorf("field %s must be more than 0", field)
		}
	}
	return nil
}

// checkTeams rejects missing or repeated names of teams, negative amounts, and limits below the guarantee.
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

// exceeds reports whether a guarantee is above a team's limit. A limit of 0 means no limit.
func exceeds(guarantee, limit float64) bool { return limit > 0 && limit < guarantee }
