package config

import (
	"fmt"
	"math"
)

// LargeFleet is a number of machines that every limit in the code allows at least. At the start the service logs whether the
// settings suffice for a fleet of this size.
const LargeFleet = 4000

const (
	// machineBytes is the memory in bytes that a controller needs for each machine of the fleet: for the machine with 16
	// tasks in the scheduler's cache, and for the controller's part of the partition leaders' state. BenchmarkFleetSizes
	// in the packages scheduler and partition measures it.
	machineBytes = 8 << 10
	// maxLiveShare is the share of its memory that the process may occupy permanently. The rest is for requests and
	// responses, and lets the garbage collector run rarely.
	maxLiveShare = 0.3
	// instancesPerPage is the maximum number of machines in one page of the cloud's list.
	instancesPerPage = 500
	// maxListSeconds is the maximum time in seconds for reading all pages of the list.
	maxListSeconds = 6.0
	// cloudRequestShare is the share of the cloud's request limit that a controller uses.
	cloudRequestShare = 0.8
)

// Insufficient returns a message for each setting that does not suffice for a fleet with the given number of machines,
// with the consequence. With such settings the service works, but more slowly.
func (s *Settings) Insufficient(machines int) (out []string) {
	p := &s.Params
	workersPerController := int(math.Ceil(float64(machines) / float64(max(p.Count, 1))))
	if inbound, _ := s.Sockets(); inbound < workersPerController {
		out = append(out, fmt.Sprintf("params.machine_limits.fd_limit is %d: "+
			"of the %d workers that report to each controller %d keep their connections",
			p.Limits.FileDescriptors, workersPerController, inbound))
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
