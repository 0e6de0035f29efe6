package config

import (
	"fmt"
	"math"
)

// LargeFleet is the number of machines that no limit in the code stands below. Whether the
// settings suffice for it is told at the start.
const LargeFleet = 4000

const (
	// machineBytes is what a controller holds of memory for each machine of the fleet: its
	// mirror with 16 tasks, and its part of the owners' tables (BenchmarkFleetSizes).
	machineBytes = 8 << 10
	// liveShare is how much of its memory a process may hold for long: the collector needs
	// the rest to do its work seldom, requests and answers come on top.
	liveShare = 0.3
	// cloudListed is how many machines a page of the cloud's list has at most, and
	// listSeconds how long it may take to read all pages.
	cloudListed = 500
	listSeconds = 6.0
	// cloudBudget is the share of its requests that a controller spends.
	cloudBudget = 0.8
)

// Insufficient tells which settings do not suffice for a fleet of so many machines, and
// what follows. Everything works all the same, slower.
func (s *Settings) Insufficient(machines int) (out []string) {
	p := &s.Params
	each := int(math.Ceil(float64(machines) / float64(max(p.Count, 1))))
	if inbound, _ := s.Sockets(); inbound < each {
		out = append(out, fmt.Sprintf("params.machine_limits.fd_limit is %d: of the %d workers that report to each controller %d keep their connections",
			p.Limits.Sockets, each, inbound))
	}
	if need := float64(machines) * machineBytes / (1 << 20); need > liveShare*p.Limits.MemoryMB {
		out = append(out, fmt.Sprintf("params.machine_limits.memory_mb is %g: %d machines take %.0f of it, the collector runs often",
			p.Limits.MemoryMB, machines, need))
	}
	pages := math.Ceil(float64(machines) / cloudListed)
	if took := pages / (p.Cloud.RPS * cloudBudget); took > listSeconds {
		out = append(out, fmt.Sprintf("params.cloud.rps is %g: the list of %d machines is read in %.0f s", p.Cloud.RPS, machines, took))
	}
	return out
}
