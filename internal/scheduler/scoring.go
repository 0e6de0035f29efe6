package scheduler

import (
	"hash/fnv"
)

// prefers reports whether a machine is better than another for a task. Small tasks gather on the same
// machines, in a fixed order, so that the others empty as a whole and large
// tasks find them; those take what is left with least capacity, from the other end.
// Each team has an order of its own: schedulers that decide at the same time would
// assign the same capacity otherwise.
func (s *selector) prefers(j *job, a, b *machineState) bool {
	if a.Spot != b.Spot {
		// Economy empties the expensive machines. But a job that would be late if a
		// machine were taken from it keeps to those that are not taken, and
		// the others leave them to such jobs.
		return a.Spot != s.timing.cannotAffordRetry(j)
	}
	if j.Need.CPU*2 >= a.Cap.CPU || j.Need.CPU*2 >= b.Cap.CPU {
		if leftA, leftB := a.available.Minus(j.Need).CPU, b.available.Minus(j.Need).CPU; leftA != leftB {
			return leftA < leftB
		}
		return a.ID > b.ID
	}
	if a.Cap.CPU != b.Cap.CPU {
		return a.Cap.CPU > b.Cap.CPU
	}
	return j.team.machineOrder(a) < j.team.machineOrder(b)
}

// machineOrder is a machine's place in the order in which a team's small tasks gather.
func (tm *team) machineOrder(m *machineState) uint64 {
	return (m.nameHash ^ tm.orderSalt) * 0x9E3779B97F4A7C15 // 2^64 divided by the golden ratio: spreads the bits
}

func nameHash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// onDemandMachines filters the machines that the cloud does not take back.
func onDemandMachines(list []*machineState) (out []*machineState) {
	for _, m := range list {
		if !m.Spot {
			out = append(out, m)
		}
	}
	return out
}

// isSmall reports whether a job's tasks are small beside the largest that waits or runs.
func (s *selector) isSmall(j *job) bool {
	return s.largestTaskCPU > 0 && j.Need.CPU*2 <= s.largestTaskCPU
}

// keepingLargeSlots filters the machines where a small task takes no place from a large
// one: as many large tasks fit there with it as without. For a large task there are none.
func (s *selector) keepingLargeSlots(j *job, list []*machineState) (out []*machineState) {
	if !s.isSmall(j) {
		return nil
	}
	for _, m := range list {
		if m.available.CPU/s.largestTaskCPU == (m.available.CPU-j.Need.CPU)/s.largestTaskCPU {
			out = append(out, m)
		}
	}
	return out
}

// largestTask is the most CPUs, in micro-CPUs, that any task takes that waits or is seen on a machine.
func (s *selector) largestTask(queue []*job) (cpu int64) {
	for _, j := range queue {
		cpu = max(cpu, j.Need.CPU)
	}
	for observed := range s.observedTasks.byCPU {
		cpu = max(cpu, observed)
	}
	return cpu
}

// sample draws n of the machines; it reorders the list.
func (s *selector) sample(from []*machineState, n int) []*machineState {
	if len(from) <= n {
		return from
	}
	for i := range n {
		k := i + s.rng.IntN(len(from)-i)
		from[i], from[k] = from[k], from[i]
	}
	return from[:n]
}
