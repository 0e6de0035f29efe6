package controller

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Users ask at all controllers within milliseconds of a job's acceptance, its end or
// the confirmation of its cancellation, repeat the submission, and some cancel
// immediately or at the end of the last task: whatever one of them was told, none is
// told anything older. The same where the answers of the key-value store are
// lost while others read what was written, or its transactions come late.
func TestUserAnswersNeverRegressAcrossControllers(t *testing.T) {
	for _, x := range []struct {
		name    string
		outcome txnOutcome
	}{
		{"no other fault", txnServed},
		{"answers of transactions are lost", responseLost},
		{"answers of transactions are slow", responseSlow},
		{"transactions come late", txnHeldBack},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := newImpatientUsers(t)
				u.setOnCommit(u.failEverySecond(x.outcome))
				for i := range impatientJobs {
					u.submitAndQuery(i)
				}
				u.runForEach(20*time.Second, 1500*time.Millisecond, u.repeatEverything)
				require.NotZero(t, u.repeats)
				require.NotZero(t, u.endRepeats, "repeats and cancellations at the very end")
				u.setOnCommit(nil)
				u.everyFiveMS = nil
				u.runFor(30*time.Second, time.Second)
				u.requireAllEnded()
				if x.outcome != txnServed {
					require.NotZero(t, u.occurrenceCount(occurrenceFailed(kvstore.ActiveJobPrefix)), "an acceptance had no answer")
					require.NotZero(t, u.occurrenceCount(occurrenceFailed(kvstore.FinalJobPrefix)), "an end had no answer")
				}
			})
		})
	}
}

// impatientJobs is how many jobs the impatient users submit.
const impatientJobs = 12

// endWatch is how long after its end began to be written a job is queried every five milliseconds, and for
// endRepeatWindow its submission and cancellation are repeated too.
const (
	endWatch        = 300 * time.Millisecond
	endRepeatWindow = 20 * time.Millisecond
)

// impatientUsers query, repeat and cancel their jobs at all controllers at the moments at which the answers change.
type impatientUsers struct {
	*cluster
	ending     chan string          // jobs whose final state is being written
	endingAt   map[string]time.Time // by job, while it is watched
	repeats    int                  // repeats of jobs that have ended
	endRepeats int                  // repeats while the final state is being written
}

func newImpatientUsers(t *testing.T) *impatientUsers {
	u := &impatientUsers{cluster: newSettledCluster(t, 6), ending: make(chan string, 1000), endingAt: map[string]time.Time{}}
	u.setReplicaDelay(u.teamLeader(limitedTeam), 400*time.Millisecond) // others read its writes before it does
	u.everyFiveMS = u.watchEnds
	return u
}

// occurrenceFailed names that a write of a key with a prefix has not been served as usual.
func occurrenceFailed(prefix string) string { return prefix + " failed" }

// failEverySecond gives every second transaction that accepts or ends a job an outcome.
func (u *impatientUsers) failEverySecond(outcome txnOutcome) func(string, wire.Txn) txnOutcome {
	return func(_ string, m wire.Txn) txnOutcome {
		for _, prefix := range []string{kvstore.ActiveJobPrefix, kvstore.FinalJobPrefix} {
			if !writesTo(m, prefix) {
				continue
			}
			if prefix == kvstore.FinalJobPrefix {
				u.ending <- strings.TrimPrefix(strings.Fields(writtenKeys(m))[0], prefix)
			}
			if u.addOccurrence("a transaction")%2 == 0 {
				u.addOccurrence(occurrenceFailed(prefix))
				return outcome
			}
		}
		return txnServed
	}
}

// watchEnds queries the jobs whose final state is being written, and repeats their submission and cancellation.
func (u *impatientUsers) watchEnds() {
	for len(u.ending) > 0 {
		u.endingAt[<-u.ending] = time.Now()
	}
	for id, at := range u.endingAt {
		for _, h := range hosts {
			u.queryJob(h, id)
		}
		if time.Since(at) < endRepeatWindow {
			u.endRepeats++
			u.submitJob(hosts[u.endRepeats%3], submission(id, 1), id)
			u.cancelJob(hosts[(u.endRepeats+1)%3], id)
		}
		if time.Since(at) > endWatch {
			delete(u.endingAt, id)
		}
	}
}

// cancelsEarly is whether the i-th job is cancelled as soon as it is accepted.
func cancelsEarly(i int) bool { return i%3 == 1 }

// submitAndQuery submits the i-th job until it is accepted, and queries it right after that, and right after its
// cancellation where it is cancelled early.
func (u *impatientUsers) submitAndQuery(i int) {
	id, h := jobName(i), hosts[i%3]
	body := submission(id, 1+i%2)
	for try := 0; !u.accepted[id] && try < 30; try++ {
		if u.submitJob(h, body, id) == 503 {
			time.Sleep(300 * time.Millisecond)
		}
	}
	require.True(u.t, u.accepted[id])
	u.queryClosely(id, body)
	if cancelsEarly(i) {
		u.cancelJob(hosts[(i+1)%3], id)
		u.queryClosely(id, body)
	}
	u.runFor(500*time.Millisecond, 0)
	u.releaseHeldTransactions()
}

// queryClosely queries a job and repeats its submission every two milliseconds for a moment.
func (u *impatientUsers) queryClosely(id, body string) {
	for k := range 6 {
		for _, h := range hosts {
			u.queryJob(h, id)
		}
		u.submitJob(hosts[k%3], body, id)
		time.Sleep(2 * time.Millisecond)
	}
}

// repeatEverything queries all jobs, cancels some once more, or for the first time while they run, and repeats everything
// about those that have ended.
func (u *impatientUsers) repeatEverything() {
	for i := range impatientJobs {
		id := jobName(i)
		phase := u.queryJob(hosts[i%3], id)
		if u.finalAnswers[id] == "" && (cancelsEarly(i) || i%3 == 2 && phase == wire.Running) {
			u.cancelJob(hosts[(i+1)%3], id) // those that run perhaps at the very end of their last task
		}
		if u.finalAnswers[id] != "" {
			u.repeats++
			for _, h := range hosts {
				u.queryJob(h, id)
				u.submitJob(h, submission(id, 1+i%2), id)
				u.cancelJob(h, id)
			}
		}
	}
	u.releaseHeldTransactions()
}

// requireAllEnded holds that every job has ended, at least those cancelled early as cancelled, and is answered for.
func (u *impatientUsers) requireAllEnded() {
	ends := map[string]int{}
	for i := range impatientJobs {
		for _, h := range hosts {
			require.NotEqual(u.t, "503", u.queryJob(h, jobName(i)))
		}
		ends[u.finalAnswers[jobName(i)]]++
	}
	require.NotZero(u.t, ends[wire.Done])
	require.GreaterOrEqual(u.t, ends[wire.Cancelled], impatientJobs/3)
	require.Equal(u.t, impatientJobs, ends[wire.Done]+ends[wire.Cancelled])
}
