package scheduler

import (
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

// SetFetchRates sets at which rates machine types fetch images, in GB per second.
func (s *Scheduler) SetFetchRates(rates map[string]float64) { s.fetchRates = rates }

// fetchRates are the rates at which machine types fetch images, in GB per second by type. A rate that is missing or not
// positive is unknown.
type fetchRates map[string]float64

// fetchTime returns how long a machine of this type takes to fetch a job's image; ok is false if the rate is unknown.
func (r fetchRates) fetchTime(j *job, m *machineState) (fetch clock.Micros, ok bool) {
	rate := r[m.Type]
	if rate <= 0 {
		return 0, false
	}
	return clock.FromSeconds(j.ImageGB / rate), true
}

// slowestFetchTime returns how long the slowest machine type that the job allows takes to fetch the job's image; ok is false
// if r has no rate for any of these types, or one that is not positive.
func (r fetchRates) slowestFetchTime(j *job) (fetch clock.Micros, ok bool) {
	for name, rate := range r {
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

// imageFetchTooSlow reports whether a task of the job can meet its start objective on a machine that has the image, but
// not on this one, which would have to fetch it.
func (s *selector) imageFetchTooSlow(j *job, m *machineState, now clock.Micros) bool {
	within, ok := s.parameters.StartObjectives[j.Class]
	fetch, known := s.fetchRates.fetchTime(j, m)
	return ok && known && now <= j.acceptedAt+within && now+fetch > j.acceptedAt+within
}

// maxImageWait is the longest time for which waitsForImageByFit makes a job wait.
const maxImageWait = 8 * clock.Second

// waitsForImageByFit reports whether, with Economy, a job should leave scarce capacity to others for a short time: some machines
// have its image, and one of them may get capacity sooner than the image is fetched. The machine is paid for while it
// fetches. Capacity is scarce if the candidates, whose number findCapacity limits, are less than an eighth of the machines.
func (s *selector) waitsForImageByFit(j *job, candidates []*machineState, now clock.Micros) bool {
	fetch, ok := s.fetchRates.fetchTime(j, candidates[0])
	if !s.parameters.Economy || !s.capacity.withImage(j.Image).hasMachines() || !ok || len(candidates)*8 >= s.capacity.machines {
		return false
	}
	return s.startOrContinueImageWait(j, fetch, min(fetch, maxImageWait), now)
}

// startOrContinueImageWait reports whether a job still waits for a machine with its image: for at most maxWait since the
// first call, and only while a fetch that starts now would end at least half a fetch time before the start objective.
func (s *selector) startOrContinueImageWait(j *job, fetch, maxWait, now clock.Micros) bool {
	if within, ok := s.parameters.StartObjectives[j.Class]; ok && now+fetch > j.acceptedAt+within-fetch/2 {
		return false
	}
	if j.imageWaitSince == 0 {
		j.imageWaitSince = now
	}
	return now < j.imageWaitSince+maxWait
}

// withoutOtherFetches returns the machines that, as far as is known, fetch no image other than the job's own. Images that
// are fetched concurrently share the machine's rate, which delays all their tasks.
func withoutOtherFetches(j *job, candidates []*machineState, now clock.Micros) (out []*machineState) {
	for _, m := range candidates {
		others := len(m.fetchingJobs)
		if m.fetchingJobs[j.ID] > 0 {
			others--
		}
		if others == 0 && (now >= m.assignedFetchUntil || m.assignedFetchImage == j.Image) {
			out = append(out, m)
		}
	}
	return out
}
