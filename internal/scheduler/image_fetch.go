package scheduler

import (
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

// SetFetchRates sets how fast machine types fetch images, in GB a second.
func (s *Scheduler) SetFetchRates(rates map[string]float64) { s.fetchRates = rates }

// fetchRates is how fast machine types fetch images, in GB a second by type. A type without a positive rate is not known.
type fetchRates map[string]float64

// fetchTime is how long a machine's type takes to fetch a job's image; ok is
// false while that is not known.
func (r fetchRates) fetchTime(j *job, m *machineState) (fetch clock.Micros, ok bool) {
	rate := r[m.Type]
	if rate <= 0 {
		return 0, false
	}
	return clock.FromSeconds(j.ImageGB / rate), true
}

// slowest is how long the image of a job is fetched by the slowest machine type
// that it may go to; ok is false while that is not known.
func (r fetchRates) slowest(j *job) (fetch clock.Micros, ok bool) {
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

// imageFetchTooSlow reports whether a task can start in time on a machine that has its image,
// and not on one that must fetch it.
func (s *selector) imageFetchTooSlow(j *job, m *machineState, now clock.Micros) bool {
	within, ok := s.timing.Waits[j.Class]
	fetch, known := s.fetchRates.fetchTime(j, m)
	return ok && known && now <= j.acceptedAt+within && now+fetch > j.acceptedAt+within
}

// maxImageWait is the longest that a job leaves scarce capacity to others, since a machine with its image may get some.
const maxImageWait = 8 * clock.Second

// waitsForImage reports whether a job of an economical deployment should leave scarce capacity to
// others for a moment: its image is on some machines, and one of them may have capacity
// sooner than the image is fetched. The time of a fetch is paid for as well.
func (s *selector) waitsForImage(j *job, list []*machineState, now clock.Micros) bool {
	fetch, ok := s.fetchRates.fetchTime(j, list[0])
	if !s.timing.Economy || !s.capacity.withImage(j.Image).hasMachines() || !ok || len(list)*8 >= s.capacity.machines {
		return false
	}
	return s.waitForImage(j, fetch, min(fetch, maxImageWait), now)
}

// waitForImage reports whether a job still waits for a machine with its image, at most for so long from the first time
// on, and not where half a fetch is all that is left until its tasks should start.
func (s *selector) waitForImage(j *job, fetch, maxWait, now clock.Micros) bool {
	if within, ok := s.timing.Waits[j.Class]; ok && now+fetch > j.acceptedAt+within-fetch/2 {
		return false
	}
	if j.noImageSince == 0 {
		j.noImageSince = now
	}
	return now < j.noImageSince+maxWait
}

// withoutOtherFetches filters the machines that fetch nothing now but the job's own image, as far
// as is known: images that are fetched at the same time share a machine's rate, and
// all their tasks wait.
func withoutOtherFetches(j *job, list []*machineState, now clock.Micros) (out []*machineState) {
	for _, m := range list {
		others := len(m.fetchingJobs)
		if m.fetchingJobs[j.ID] > 0 {
			others--
		}
		if others == 0 && (now >= m.imageFetchUntil || m.imageFetched == j.Image) {
			out = append(out, m)
		}
	}
	return out
}
