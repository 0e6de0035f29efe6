package controller

import (
	"testing"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

var leaseCutSeeds = newSeedRange("cut", 12)

// Guards against rules that break when a controller is cut from the store and its peers for about as long as its controller lease,
// while tasks end, users cancel, and other controllers are cut off or crash. The rules and the limits of the time after the faults
// are those of TestRulesHoldUnderRandomFailureCombinations.
func TestRulesHoldUnderRandomCutsAsLongAsControllerLease(t *testing.T) {
	leaseCutSeeds.run(t, runRandomCuts)
}

func runRandomCuts(t *testing.T, seed uint64) {
	r := newRandomFailures(newSettledCluster(t, 9), seed, seed+900)
	runTime := []time.Duration{8 * time.Second, 30 * time.Second, 100 * time.Second}[seed%3]
	for round := range 5 {
		for i := range 5 {
			id := jobName(5*round + i)
			r.jobs = append(r.jobs, id)
			body := submission
			if r.faultRNG.IntN(2) == 0 {
				body = unlimitedSubmission
			}
			r.submitJob(r.anyHost(), body(id, 1+r.faultRNG.IntN(3)), id)
		}
		r.runFor(time.Duration(500+r.faultRNG.IntN(4000))*time.Millisecond, runTime)
		r.causeCut()
		for end := time.Now().Add(26 * time.Second); time.Now().Before(end); {
			r.causeFaultDuringCut()
			r.runFor(time.Duration(500+r.faultRNG.IntN(5000))*time.Millisecond, runTime)
			r.queryJob(r.anyHost(), r.anyJob())
		}
	}
	r.runFor(longestCut, runTime)
	r.requireJobsAnsweredAndEnded()
}

// longestCut is the longest cut of causeFaultDuringCut.
const longestCut = 40 * time.Second

// causeCut cuts a random controller from the store and its peers just after a renewal, for 23.5 to 24.3 s. By its own clock its lease
// is over after 23.7 s, and the store keeps it for 24 s.
func (r *randomFailures) causeCut() {
	host := r.anyHost()
	if age, _ := r.process(host).elector.StoreContact(); age > 2*clock.Second {
		return // it is cut off already
	}
	r.awaitRenewal(host)
	r.cutFromStoreAndPeers(host, 23500*time.Millisecond+time.Duration(r.faultRNG.IntN(800))*time.Millisecond)
}

// causeFaultDuringCut cuts or crashes a random controller, has users cancel a job, or does nothing.
func (r *randomFailures) causeFaultDuringCut() {
	host := r.anyHost()
	switch r.faultRNG.IntN(8) {
	case 0:
		if r.signal(r.cutFromPeers, host) == nil {
			r.cutFromStoreAndPeers(host, time.Duration(1+r.faultRNG.IntN(int(longestCut.Seconds())))*time.Second)
		}
	case 1:
		if r.signal(r.cutFromPeers, host) == nil {
			r.crash(host)
			r.start(host)
		}
	case 2, 3:
		r.cancelJob(host, r.anyJob())
	}
}
