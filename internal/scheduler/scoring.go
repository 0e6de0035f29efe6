package scheduler

import (
	"hash/fnv"
)

// prefers reports whether machine a is better than b for a task of a job. If only one of them is a spot instance, that decides.
// A task of at least half the CPUs of one of them takes the machine with the fewest available CPUs, and the one with the higher
// id among equals. Smaller tasks are packed onto the same machines in a fixed order, those with the most CPUs first, so that
// other machines become entirely free for large tasks. Among machines with the same CPUs that order differs between teams:
// otherwise schedulers that decide at the same time would assign the same capacity.
func (s *selector) prefers(j *job, a, b *machineState) bool {
	if a.Spot != b.Spot {
		// Spot instances are cheaper, so most jobs prefer them, and on-demand machines become idle and can be returned. A
		// job that can't afford a retry prefers on-demand machines, which the cloud does not reclaim and the other jobs
		// leave free.
		return a.Spot != s.parameters.cannotAffordRetry(j)
	}
	if j.Need.CPU*2 >= a.Cap.CPU || j.Need.CPU*2 >= b.Cap.CPU {
		if remainingA, remainingB := a.available.Minus(j.Need).CPU, b.available.Minus(j.Need).CPU; remainingA != remainingB {
			return remainingA < remainingB
		}
		return a.ID > b.ID
	}
	if a.Cap.CPU != b.Cap.CPU {
		return a.Cap.CPU > b.Cap.CPU
	}
	return j.team.machineOrder(a) < j.team.machineOrder(b)
}

// machineOrder returns a machine's position, among machines with the same CPUs, in the order in which the team packs small tasks.
func (tm *team) machineOrder(m *machineState) uint64 {
	return (m.nameHash ^ tm.orderSalt) * 0x9E3779B97F4A7C15 // Fibonacci hashing: 2^64 divided by the golden ratio
}

func nameHash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// onDemandMachines returns the on-demand machines, which the cloud does not reclaim.
func onDemandMachines(candidates []*machineState) (out []*machineState) {
	for _, m := range candidates {
		if !m.Spot {
			out = append(out, m)
		}
	}
	return out
}

// isSmall reports whether a task of the job takes at most half the CPUs of the largest task, see maxTaskCPU.
func (s *selector) isSmall(j *job) bool {
	return s.largestTaskCPU > 0 && j.Need.CPU*2 <= s.largestTaskCPU
}

// keepingLargeSlots returns the machines on which a small task takes no slot from large tasks: as many of the largest
// tasks fit next to it as without it. For a large task it returns none.
func (s *selector) keepingLargeSlots(j *job, candidates []*machineState) (out []*machineState) {
	if !s.isSmall(j) {
		return nil
	}
	for _, m := range candidates {
		if m.available.CPU/s.largestTaskCPU == (m.available.CPU-j.Need.CPU)/s.largestTaskCPU {
			out = append(out, m)
		}
	}
	return out
}

// maxTaskCPU returns the CPUs, in micro-CPUs, of the largest task among those of the queued jobs and those that have been seen on
// a machine and have not exited.
func (s *selector) maxTaskCPU(queue []*job) (cpu int64) {
	for _, j := range queue {
		cpu = max(cpu, j.Need.CPU)
	}
	for observedCPU := range s.observedTasks.byCPU {
		cpu = max(cpu, observedCPU)
	}
	return cpu
}

// sample returns n random machines of the list, or all if there are no more; it reorders the list.
func (s *selector) sample(machines []*machineState, n int) []*machineState {
	if len(machines) <= n {
		return machines
	}
	for i := range n {
		k := i + s.rng.IntN(len(machines)-i)
		machines[i], machines[k] = machines[k], machines[i]
	}
	return machines[:n]
}
