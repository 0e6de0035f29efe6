package scheduler

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/placement"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Costs configures the choice of machines by estimated seconds.
type Costs struct {
	placement.Weights
	ImageWait clock.Micros // the longest that capacity is left to others until a machine with the image has some
}

// priceKey is what decides a machine's price.
type priceKey struct {
	machineType string
	spot        bool
}

// cpuPrices are the prices of a CPU, as parts of the highest.
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

// of returns the price on a machine; 0 where it is not known.
func (p cpuPrices) of(m *machineState) float64 { return p[priceKey{m.Type, m.Spot}] }

// SetPrices sets what machines cost, by the cloud's catalog.
func (s *Scheduler) SetPrices(types []wire.MachineType) { s.prices = newCPUPrices(types) }

// costInputs is what is known of a machine for a task of a job.
func (s *selector) costInputs(j *job, m *machineState, now clock.Micros) placement.Machine {
	in := placement.Machine{
		HasImage:  m.hasImage(j),
		Fetching:  m.fetchingJobs[j.ID] > 0,
		Others:    len(m.fetchingJobs),
		PricePart: s.prices.of(m),
		Pace:      m.knownPace(),
	}
	if in.Fetching {
		in.Others--
	}
	if now < m.imageFetchUntil && m.imageFetched != j.Image && in.Others == 0 {
		in.Others = 1 // the fetch for an assignment of this scheduler is not in the view yet
	}
	if m.Cap.CPU > 0 {
		in.InUse = 1 - float64(m.available.Minus(j.Need).CPU)/float64(m.Cap.CPU)
	}
	// An image that is listed since a task was sent for it may still be on its way.
	in.HasImage = in.HasImage && !in.Fetching
	return in
}

// selectByCost chooses the machine that costs a task least, of those with capacity. decided is
// false where too little is known to weigh them, or none has capacity: selectMachine goes on as
// without costs then. No machine although decided means that the capacity is left to others for a moment: a machine
// with the image may get some.
func (s *selector) selectByCost(j *job, now clock.Micros) (best *machineState, decided bool) {
	fetch, _ := s.fetchRates.slowest(j)
	task := placement.Task{Estimate: clock.FromSeconds(j.RuntimeEstimateS), Fetch: fetch}
	if !task.Known() {
		return nil, false
	}
	list := s.findCapacityAnyImage(j, now)
	if len(list) == 0 {
		return nil, false
	}
	cheapest := s.cheapest(j, &task, list, now)
	switch {
	case cheapest[0].hasImage(j):
		j.noImageSince = 0
	case s.imageFetchTooSlow(j, cheapest[0], now):
		return nil, false // preemption on a machine with the image may be better
	case s.waitsForImageByCost(j, &task, now):
		return nil, true
	}
	cheapest = preferred(cheapest, s.keepingLargeSlots(j, cheapest))
	return s.best(j, cheapest), true
}

// cheapest filters the machines that cost a task least, within a tie of each other.
func (s *selector) cheapest(j *job, task *placement.Task, list []*machineState, now clock.Micros) (out []*machineState) {
	least := 0.0
	costs := make([]float64, len(list))
	for i, m := range list {
		in := s.costInputs(j, m, now)
		costs[i] = placement.Cost(task, &in, &s.timing.Costs.Weights)
		if i == 0 || costs[i] < least {
			least = costs[i]
		}
	}
	for i, m := range list {
		if costs[i] <= least+placement.Tie {
			out = append(out, m)
		}
	}
	return out
}

// waitsForImageByCost reports whether a job leaves capacity to others for a moment: its image is on machines that are
// in use now, and none of its tasks would start too late for it.
func (s *selector) waitsForImageByCost(j *job, task *placement.Task, now clock.Micros) bool {
	wait := placement.WaitFor(task, &s.timing.Costs.Weights, s.timing.Costs.ImageWait)
	if wait == 0 || !s.capacity.withImage(j.Image).hasMachines() {
		return false
	}
	return s.waitForImage(j, task.Fetch, wait, now)
}
