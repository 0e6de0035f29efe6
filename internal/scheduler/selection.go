package scheduler

import (
	"math/rand/v2"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// selection is the machine chosen for a task, and the tasks to preempt there for it.
type selection struct {
	machine       *machineState // nil: none for now
	victims       []peer.TaskID
	overGuarantee bool // victims may have the same or a higher priority: their team is beyond its guarantee
}

// selector chooses machines for tasks: it filters, scores and, where there is no capacity, finds victims. It changes neither
// jobs, but for how long they have waited for an image, nor machines.
type selector struct {
	machineCache
	timing         Timing
	rng            *rand.Rand
	fetchRates     fetchRates
	prices         cpuPrices
	zones          zoneGates
	largestTaskCPU int64           // micro-CPUs, as of this cycle
	exhausted      exhaustedDemand // what found no capacity in this cycle
}

// startCycle prepares a scheduling cycle for the jobs of the queue.
func (s *selector) startCycle(queue []*job) {
	s.largestTaskCPU = s.largestTask(queue)
	s.exhausted = exhaustedDemand{staged: len(s.zones) > 0}
}

// selectMachine chooses a machine for a task of a job: by estimated costs where these are configured and known, by
// the best fit otherwise, by preemption where no machine has capacity.
func (s *selector) selectMachine(j *job, now clock.Micros) selection {
	if s.exhausted.isExhausted(j) {
		return s.preemptAnywhere(j, now)
	}
	if s.timing.Costs != nil {
		if m, decided := s.selectByCost(j, now); decided {
			return selection{machine: m}
		}
	}
	return s.selectByFit(j, now)
}

// selectByFit chooses among the machines that have the image, if any has capacity, or among all.
func (s *selector) selectByFit(j *job, now clock.Micros) selection {
	withImage := s.capacity.withImage(j.Image)
	if list := s.findCapacity(j, withImage, now); len(list) > 0 {
		j.noImageSince = 0
		return selection{machine: s.bestFit(j, list)}
	}
	list := s.findCapacity(j, &s.capacity.all, now)
	if len(list) == 0 {
		choice := s.preemptAnywhere(j, now)
		if choice.machine == nil {
			s.exhausted.markExhausted(j)
		}
		return choice
	}
	if s.imageFetchTooSlow(j, list[0], now) {
		// The fetch alone would make the task late: capacity on a machine that has
		// the image is worth a task that has hardly begun.
		if choice := s.preempt(j, withImage, now); choice.machine != nil && !choice.overGuarantee {
			return choice
		}
	}
	if s.waitsForImage(j, list, now) {
		return selection{}
	}
	return selection{machine: s.bestFitWithFetch(j, list, now)}
}

// bestFit scores machines that have the image: it prefers those where a small task leaves as many large slots.
func (s *selector) bestFit(j *job, list []*machineState) *machineState {
	list = s.onDemandIfUrgent(j, list)
	list = preferred(list, s.keepingLargeSlots(j, list))
	return s.best(j, list)
}

// bestFitWithFetch scores machines that must fetch the image: beside bestFit it prefers those that fetch no other.
func (s *selector) bestFitWithFetch(j *job, list []*machineState, now clock.Micros) *machineState {
	list = s.onDemandIfUrgent(j, list)
	if _, urgent := s.timing.Waits[j.Class]; urgent {
		// To start soon counts for more than to leave large slots whole.
		list = preferred(list, withoutOtherFetches(j, list, now))
	}
	list = preferred(list, s.keepingLargeSlots(j, list))
	list = preferred(list, withoutOtherFetches(j, list, now))
	return s.best(j, list)
}

// onDemandIfUrgent prefers machines that the cloud does not take back, for a job that could not afford a retry. With
// economy prefers decides on that; without it the rented machines are its own, also in pieces.
func (s *selector) onDemandIfUrgent(j *job, list []*machineState) []*machineState {
	if s.timing.Economy || !s.timing.cannotAffordRetry(j) {
		return list
	}
	return preferred(list, onDemandMachines(list))
}

// preferred returns the preferred machines if there are any, the whole list otherwise.
func preferred(list, some []*machineState) []*machineState {
	if len(some) > 0 {
		return some
	}
	return list
}

// best draws a sample of machines for a task, all of them for a small one, and returns the best.
func (s *selector) best(j *job, list []*machineState) (best *machineState) {
	if !s.isSmall(j) {
		list = s.sample(list, s.timing.Sample)
	}
	for _, m := range list {
		if best == nil || s.prefers(j, m, best) {
			best = m
		}
	}
	return best
}
