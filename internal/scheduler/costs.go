package scheduler

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/placement"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Costs configures the choice of machines by estimated cost, which is measured in seconds.
type Costs struct {
	placement.Weights
	ImageWait clock.Micros // longest time for which a job waits for a machine with its image although others have capacity
}

// priceKey identifies machines of the same price.
type priceKey struct {
	machineType string
	spot        bool
}

// cpuPrices are the prices of one CPU relative to the highest of them.
type cpuPrices map[priceKey]float64

func newCPUPrices(types []wire.MachineType) cpuPrices {
	out := cpuPrices{}
	highest := 0.0
	for _, t := range types {
		cpus := max(t.CPUs, 1)
		out[priceKey{t.Name, false}] = t.Price / cpus
		out[priceKey{t.Name, true}] = t.SpotPrice / cpus
		highest = max(highest, t.Price/cpus, t.SpotPrice/cpus)
	}
	for key := range out {
		if highest > 0 {
			out[key] /= highest
		}
	}
	return out
}

// forMachine returns the relative price of a CPU of a machine, or 0 if it is unknown.
func (p cpuPrices) forMachine(m *machineState) float64 { return p[priceKey{m.Type, m.Spot}] }

// SetPrices sets the prices of machines from the cloud's catalog.
func (s *Scheduler) SetPrices(types []wire.MachineType) { s.prices = newCPUPrices(types) }

// costInputs collects what the cost of placing a task of a job on a machine depends on.
func (s *selector) costInputs(j *job, m *machineState, now clock.Micros) placement.Machine {
	inputs := placement.Machine{
		HasImage:      m.hasImage(j),
		Fetching:      m.fetchingJobs[j.ID] > 0,
		OtherFetches:  len(m.fetchingJobs),
		RelativePrice: s.prices.forMachine(m),
		Slowdown:      m.slowdown(),
	}
	if inputs.Fetching {
		inputs.OtherFetches--
	}
	if now < m.assignedFetchUntil && m.assignedFetchImage != j.Image && inputs.OtherFetches == 0 {
		inputs.OtherFetches = 1 // the view does not show the fetch for a recent assignment of this scheduler yet
	}
	if m.Cap.CPU > 0 {
		inputs.Utilization = 1 - float64(m.available.Minus(j.Need).CPU)/float64(m.Cap.CPU)
	}
	// A machine may list an image that it is still fetching for a task of the same job.
	inputs.HasImage = inputs.HasImage && !inputs.Fetching
	return inputs
}

// selectByCost chooses the machine with the lowest estimated cost among those with capacity. decided is false if the
// cost can't be estimated, no machine has capacity, or preemption may be better; selectMachine then continues with
// selectByFit. If decided is true and there is no machine, the job leaves the capacity to others for a short time
// because a machine with its image may get some.
func (s *selector) selectByCost(j *job, now clock.Micros) (best *machineState, decided bool) {
	fetch, _ := s.fetchRates.slowestFetchTime(j)
	task := placement.Task{Estimate: clock.FromSeconds(j.RuntimeEstimateS), Fetch: fetch}
	if !task.FetchTimeKnown() {
		return nil, false
	}
	candidates := s.findCapacityAnyImage(j, now)
	if len(candidates) == 0 {
		return nil, false
	}
	cheapest := s.cheapest(j, &task, candidates, now)
	switch {
	case cheapest[0].hasImage(j):
		j.imageWaitSince = 0
	case s.imageFetchTooSlow(j, cheapest[0], now):
		return nil, false // preemption on a machine with the image may be better
	case s.waitsForImageByCost(j, &task, now):
		return nil, true
	}
	cheapest = preferred(cheapest, s.keepingLargeSlots(j, cheapest))
	return s.bestOfSample(j, cheapest), true
}

// cheapest returns the machines whose estimated cost is the lowest, or above it by placement.TieThreshold at most.
func (s *selector) cheapest(j *job, task *placement.Task, candidates []*machineState, now clock.Micros) (out []*machineState) {
	least := 0.0
	costs := make([]float64, len(candidates))
	for i, m := range candidates {
		inputs := s.costInputs(j, m, now)
		costs[i] = placement.Cost(task, &inputs, &s.parameters.Costs.Weights)
		if i == 0 || costs[i] < least {
			least = costs[i]
		}
	}
	for i, m := range candidates {
		if costs[i] <= least+placement.TieThreshold {
			out = append(out, m)
		}
	}
	return out
}

// waitsForImageByCost reports whether a job leaves capacity to others for a short time because machines with its image
// exist and may get capacity. It does not wait so long that a task would miss its start objective.
func (s *selector) waitsForImageByCost(j *job, task *placement.Task, now clock.Micros) bool {
	wait := placement.MaxImageWait(task, &s.parameters.Costs.Weights, s.parameters.Costs.ImageWait)
	if wait == 0 || !s.capacity.withImage(j.Image).hasMachines() {
		return false
	}
	return s.startOrContinueImageWait(j, task.Fetch, wait, now)
}
