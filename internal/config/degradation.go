package config

import "fmt"

// Limits below which Degradations reports what the service can't do.
const (
	minTxnOps            = 2    // operations in a transaction of the key-value store
	minValueKB           = 2    // size of a value in the key-value store, in kB
	minRequestsPerSecond = 3    // requests to the key-value store per second and controller
	minWritesPerSecond   = 1    // writes to the key-value store per second and controller
	minMemoryMB          = 48   // memory of a controller
	minCoreShare         = 0.02 // share of one core for a controller
)

// Degradations returns a message for each limit that is very small, which says what the service can't do or does
// worse because of it. The service starts and serves in spite of such limits.
func (s *Settings) Degradations() []string {
	var out []string
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	state, limits := &s.Params.Store, &s.Params.Limits
	if state.TxnOps < minTxnOps {
		add("params.state.txn_ops is %d: ends of jobs stay in their own records, which are read at every start", state.TxnOps)
	}
	if state.ValueKB < minValueKB {
		add("params.state.value_kb is %g: jobs whose record takes more are refused, "+
			"progress is written in many small records", state.ValueKB)
	}
	controllers := float64(max(s.Params.Count, 1))
	requests, writes := state.RPS/controllers, state.WriteRPS/controllers
	if requests < minRequestsPerSecond || writes < minWritesPerSecond {
		add("params.state.rps and write_rps leave %.2g requests and %.2g changes a second to each controller: "+
			"take-overs and submissions are slow", requests, writes)
	}
	inbound, deliveries := s.Sockets()
	if inbound+deliveries+s.reservedSockets() > limits.FileDescriptors {
		add("params.machine_limits.fd_limit is %d: fewer than the peers, the services and %d other connections take",
			limits.FileDescriptors, inbound+deliveries)
	}
	if limits.MemoryMB < minMemoryMB {
		add("params.machine_limits.memory_mb is %g: the collector runs often, long requests are cut off", limits.MemoryMB)
	}
	if limits.CoreShare > 0 && limits.CoreShare < minCoreShare {
		add("params.machine_limits.core_share is %g: rounds of decisions are far apart", limits.CoreShare)
	}
	return out
}
