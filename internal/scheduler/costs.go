package scheduler

import (
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/placement"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Costs has machines weighed for a task by estimated seconds.
type Costs struct {
	placement.Weights
	ImageWait clock.Micros // the longest that room is left for a machine that has the image
}

// priceKey is what decides a machine's price.
type priceKey struct {
	machineType string
	spot        bool
}

// SetPrices tells what machines cost, by the cloud's catalog.
func (s *Scheduler) SetPrices(types []wire.MachineType) {
	s.prices = map[priceKey]float64{}
	dearest := 0.0
	for _, t := range types {
		each := max(t.CPUs, 1)
		s.prices[priceKey{t.Name, false}] = t.Price / each
		s.prices[priceKey{t.Name, true}] = t.SpotPrice / each
		dearest = max(dearest, t.Price/each, t.SpotPrice/each)
	}
	for kind := range s.prices {
		if dearest > 0 {
			s.prices[kind] /= dearest
		}
	}
}

// costInputs is what is known of a machine for a task of a job.
func (s *Scheduler) costInputs(j *job, m *machineState, now clock.Micros) placement.Machine {
	f := placement.Machine{HasImage: slices.Contains(m.Images, j.Image), Fetching: m.fetchingJobs[j.ID] > 0, Others: len(m.fetchingJobs),
		PricePart: s.prices[priceKey{m.Type, m.Spot}]}
	if f.Fetching {
		f.Others--
	}
	if now < m.imageFetchUntil && m.imageFetched != j.Image && f.Others == 0 {
		f.Others = 1 // that our own ask makes it fetch is not in its view yet
	}
	f.Pace = m.knownPace()
	if m.Cap.CPU > 0 {
		f.InUse = 1 - float64(m.available.Minus(j.Need).CPU)/float64(m.Cap.CPU)
	}
	// An image that is listed since a task was sent for it may still be on its way.
	f.HasImage = f.HasImage && !f.Fetching
	return f
}

// selectByCost takes the machine that costs a task least, of those that showed room. decided is
// false where too little is known to selectByCost them, or none has room: then who places goes on as
// without costs. No machine although decided means that the room is left for a moment: one that
// has the image may have some.
func (s *Scheduler) selectByCost(j *job, now clock.Micros) (best *machineState, decided bool) {
	fetch, _ := s.slowestFetchTime(j)
	task := placement.Task{Estimate: clock.FromSeconds(j.RuntimeEstimateS), Fetch: fetch}
	if !task.Known() {
		return nil, false
	}
	list := s.findCapacityAnyImage(j, now)
	if len(list) == 0 {
		return nil, false
	}
	cheapest := s.cheapest(j, &task, list, now)
	if slices.Contains(cheapest[0].Images, j.Image) {
		j.noImageSince = 0
	} else if s.imageFetchTooSlow(j, cheapest[0], now) {
		return nil, false // room that others hold may be worth taking
	} else if s.waitsForImageByCost(j, &task, now) {
		return nil, true
	}
	if some := s.keepingLargeSlots(j, cheapest); len(some) > 0 {
		cheapest = some
	}
	if !s.isSmall(j) {
		cheapest = s.sample(cheapest, s.timing.Sample)
	}
	for _, m := range cheapest {
		if best == nil || s.prefers(j, m, best) {
			best = m
		}
	}
	return best, true
}

// cheapest picks the machines that cost a task least, within a tie of each other.
func (s *Scheduler) cheapest(j *job, task *placement.Task, list []*machineState, now clock.Micros) (out []*machineState) {
	least := 0.0
	costs := make([]float64, len(list))
	for i, m := range list {
		f := s.costInputs(j, m, now)
		costs[i] = placement.Cost(task, &f, &s.timing.Costs.Weights)
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

// waitsForImageByCost tells that a job waitsForImageByCost room to others for a moment: its image is on machines that are
// in use now, and none of its tasks would start too late for it.
func (s *Scheduler) waitsForImageByCost(j *job, task *placement.Task, now clock.Micros) bool {
	wait := placement.WaitFor(task, &s.timing.Costs.Weights, s.timing.Costs.ImageWait)
	if wait == 0 || !s.capacityByImage[j.Image].hasMachines() {
		return false
	}
	if within, ok := s.timing.Waits[j.Class]; ok && now+task.Fetch > j.acceptedAt+within-task.Fetch/2 {
		return false
	}
	if j.noImageSince == 0 {
		j.noImageSince = now
	}
	return now < j.noImageSince+wait
}

// slowestFetchTime is how long the image of a job is fetched by the slowest machine type
// that it may go to; ok is false while that is not known.
func (s *Scheduler) slowestFetchTime(j *job) (fetch clock.Micros, ok bool) {
	for name, rate := range s.fetchRates {
		if len(j.Types) > 0 && !slices.Contains(j.Types, name) {
			continue
		}
		if rate <= 0 {
			return 0, false
		}
		fetch, ok = max(fetch, clock.FromSeconds(j.ImageGB/rate)), true
	}
	return fetch, ok
}
