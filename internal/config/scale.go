package config

import (
	"fmt"
	"math"
)

// LargeFleet is the number of machines, at least, that every limit in the code allows. Whether the
// settings suffice for it is logged at the start.
const LargeFleet = 4000

const (
	// machineBytes is a controller's memory for each machine of the fleet: the schedulers' cached
	// machine with 16 tasks, and its part of the partition leaders' state (BenchmarkFleetSizes).
	machineBytes = 8 << 10
	// maxLiveShare is the share of its memory that a process may hold permanently: the collector needs
	// the rest to run seldom, and requests and responses come on top.
	maxLiveShare = 0.3
	// instancesPerPage is how many machines a page of the cloud's list has at most.
	instancesPerPage = 500
	// maxListSeconds is how long it may take to read all pages.
	maxListSeconds = 6.0
	// cloudRequestShare is the share of the cloud's request limit that a controller uses.
	cloudRequestShare = 0.8
)

// Insufficient tells which settings do not suffice for a fleet of so many machines, and the
// consequence. Everything works all the same, slower.
func (s *Settings) Insufficient(machines int) (out []string) {
	p := &s.Params
	workersEach := int(math.Ceil(float64(machines) / float64(max(p.Count, 1))))
	if inbound, _ := s.Sockets(); inbound < workersEach {
		out = append(out, fmt.Sprintf("params.machine_limits.fd_limit is %d: "+
			"of the %d workers that report to each controller %d keep their connections",
			p.Limits.Sockets, workersEach, inbound))
	}
	if neededMB := float64(machines) * machineBytes / (1 << 20); neededMB > maxLiveShare*p.Limits.MemoryMB {
		out = append(out, fmt.Sprintf("params.machine_limits.memory_mb is %g: %d machines take %.0f of it, the collector runs often",
			p.Limits.MemoryMB, machines, neededMB))
	}
	pages := math.Ceil(float64(machines) / instancesPerPage)
	if seconds := pages / (p.Cloud.RPS * cloudRequestShare); seconds > maxListSeconds {
		out = append(out, fmt.Sprintf("params.cloud.rps is %g: the list of %d machines is read in %.0f s", p.Cloud.RPS, machines, seconds))
	}
	return out
}
