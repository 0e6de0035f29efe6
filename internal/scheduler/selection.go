package scheduler

import (
	"math/rand/v2"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// selection is the machine chosen for a task, and the tasks to preempt on it.
type selection struct {
	machine           *machineState // nil: no machine for now
	victims           []peer.TaskID
	overridesPriority bool // some victims have the same or a higher priority, but are beyond their teams' guarantees
}

// selector chooses machines for tasks: it filters and scores machines and, where none has capacity, selects victims to
// preempt. Choosing changes neither machines nor jobs, except for the time since which a job waits for a machine with
// its image.
type selector struct {
	machineCache
	parameters     Parameters
	rng            *rand.Rand
	fetchRates     fetchRates
	prices         cpuPrices
	zones          zoneGates
	largestTaskCPU int64           // in micro-CPUs, updated in every cycle; see maxTaskCPU
	exhausted      exhaustedDemand // demand for which no capacity was found in this cycle
	limitedByList  bool            // a machine was passed over in this selection since its worker's list has no room
}

// startCycle prepares a scheduling cycle for the jobs of the queue.
func (s *selector) startCycle(queue []*job) {
	s.largestTaskCPU = s.maxTaskCPU(queue)
	s.exhausted = exhaustedDemand{zoneReturning: len(s.zones) > 0}
}

// selectMachine chooses a machine for a task of a job: by estimated cost where costs are configured and can be
// estimated, else by best fit, and by preemption where no machine has capacity.
func (s *selector) selectMachine(j *job, now clock.Micros) selection {
	s.limitedByList = false
	if s.exhausted.isExhausted(j) {
		return s.preemptAnywhere(j, now)
	}
	if s.parameters.Costs != nil {
		if m, decided := s.selectByCost(j, now); decided {
			return selection{machine: m}
		}
	}
	return s.selectByFit(j, now)
}

// selectByFit chooses a machine among those with the job's image if any of them has capacity, else among all machines. It
// may preempt tasks if no machine has capacity or the image can't be fetched in time, and may choose none so that the job waits
// for a machine with its image.
func (s *selector) selectByFit(j *job, now clock.Micros) selection {
	withImage := s.capacity.withImage(j.Image)
	if candidates := s.findCapacity(j, withImage, now); len(candidates) > 0 {
		j.imageWaitSince = 0
		return selection{machine: s.bestFit(j, candidates)}
	}
	candidates := s.findCapacity(j, &s.capacity.all, now)
	if len(candidates) == 0 {
		choice := s.preemptAnywhere(j, now)
		if choice.machine == nil {
			s.exhausted.markExhausted(j, s.limitedByList)
		}
		return choice
	}
	if s.imageFetchTooSlow(j, candidates[0], now) {
		// Fetching the image alone would make the task miss its start objective. So the task preempts others on a machine
		// with the image, without waiting for PreemptAfter: capacity there is worth the work that the victims lose.
		if choice := s.preempt(j, withImage, now); choice.machine != nil && !choice.overridesPriority {
			return choice
		}
	}
	if s.waitsForImageByFit(j, candidates, now) {
		return selection{}
	}
	return selection{machine: s.bestFitWithFetch(j, candidates, now)}
}

// bestFit chooses among machines that have the image. It prefers those on which a small task takes no slot from large
// tasks.
func (s *selector) bestFit(j *job, candidates []*machineState) *machineState {
	candidates = s.onDemandIfUrgent(j, candidates)
	candidates = preferred(candidates, s.keepingLargeSlots(j, candidates))
	return s.bestOfSample(j, candidates)
}

// bestFitWithFetch chooses among machines that have to fetch the image. Besides the preferences of bestFit, it prefers
// machines that fetch no other image.
func (s *selector) bestFitWithFetch(j *job, candidates []*machineState, now clock.Micros) *machineState {
	candidates = s.onDemandIfUrgent(j, candidates)
	if _, urgent := s.parameters.StartObjectives[j.Class]; urgent {
		// A start objective has precedence over slots for large tasks.
		candidates = preferred(candidates, withoutOtherFetches(j, candidates, now))
	}
	candidates = preferred(candidates, s.keepingLargeSlots(j, candidates))
	candidates = preferred(candidates, withoutOtherFetches(j, candidates, now))
	return s.bestOfSample(j, candidates)
}

// onDemandIfUrgent prefers on-demand machines, which the cloud does not reclaim, for a job that can't afford a retry.
// With Economy it leaves that preference to prefers, which applies last; without Economy such a job gets on-demand
// machines even if it takes slots from large tasks there.
func (s *selector) onDemandIfUrgent(j *job, candidates []*machineState) []*machineState {
	if s.parameters.Economy || !s.parameters.cannotAffordRetry(j) {
		return candidates
	}
	return preferred(candidates, onDemandMachines(candidates))
}

// preferred returns the subset if it has any machines, otherwise all.
func preferred(all, subset []*machineState) []*machineState {
	if len(subset) > 0 {
		return subset
	}
	return all
}

// bestOfSample returns the best machine of a random sample, or the best of all candidates for a small task.
func (s *selector) bestOfSample(j *job, candidates []*machineState) (best *machineState) {
	if !s.isSmall(j) {
		candidates = s.sample(candidates, s.parameters.SampleSize)
	}
	for _, m := range candidates {
		if best == nil || s.prefers(j, m, best) {
			best = m
		}
	}
	return best
}
