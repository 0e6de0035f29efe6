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

// Guards against an answer to a user that is older than an answer that some controller gave before. Users query jobs at all
// controllers within milliseconds of a job's acceptance, its end or the confirmation of its cancellation. They also repeat
// submissions, and cancel some jobs immediately or at the end of the last task. In some cases the key-value store's answers
// are lost or slow, so that other controllers read a write before its writer knows of it, or its transactions are delayed.
func TestUserAnswersNeverRegressAcrossControllers(t *testing.T) {
	for _, tc := range []struct {
		name    string
		outcome txnOutcome
	}{
		{"no other fault", txnServed},
		{"answers of transactions are lost", responseLost},
		{"answers of transactions are slow", responseSlow},
		{"transactions come late", txnHeldBack},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := newConcurrentUsers(t)
				u.setOnCommit(u.failEverySecond(tc.outcome))
				for i := range concurrentUserJobs {
					u.submitAndQuery(i)
				}
				u.runForEach(20*time.Second, 1500*time.Millisecond, u.repeatRequests)
				require.NotZero(t, u.repeats)
				require.NotZero(t, u.endRepeats, "no repeats and cancellations during the write of a final state")
				u.setOnCommit(nil)
				u.everyFiveMS = nil
				u.runFor(30*time.Second, time.Second)
				u.requireAllEnded()
				if tc.outcome != txnServed {
					require.NotZero(t, u.occurrenceCount(occurrenceFailed(kvstore.ActiveJobPrefix)), "no write of an acceptance has failed")
					require.NotZero(t, u.occurrenceCount(occurrenceFailed(kvstore.FinalJobPrefix)), "no write of a final state has failed")
				}
			})
		})
	}
}

// concurrentUserJobs is the number of jobs that concurrentUsers submit.
const concurrentUserJobs = 12

const (
	// endWatchDuration is how long a job is queried every five milliseconds, from the start of the write of its final state.
	endWatchDuration = 300 * time.Millisecond
	// endRepeatWindow is how long the job's submission and cancellation are repeated as well.
	endRepeatWindow = 20 * time.Millisecond
)

// concurrentUsers query, resubmit and cancel their jobs at all controllers at the times at which the answers change.
type concurrentUsers struct {
	*cluster
	ending     chan string          // jobs whose final state is being written
	endingAt   map[string]time.Time // by job; when the write of its final state started, until endWatchDuration has passed
	repeats    int                  // number of repeated requests for jobs that have ended
	endRepeats int                  // number of repeated requests during the write of a final state
}

func newConcurrentUsers(t *testing.T) *concurrentUsers {
	u := &concurrentUsers{cluster: newSettledCluster(t, 6), ending: make(chan string, 1000), endingAt: map[string]time.Time{}}
	u.setReplicaDelay(u.teamLeader(limitedTeam), 400*time.Millisecond) // so that others read its writes before it does
	u.everyFiveMS = u.queryEndingJobs
	return u
}

// occurrenceFailed returns the event that is counted when failEverySecond gives its outcome to a write of a key with a prefix.
func occurrenceFailed(prefix string) string { return prefix + " failed" }

// failEverySecond returns a function for setOnCommit, which gives an outcome to every second transaction that accepts a job or
// writes the final state of one.
func (u *concurrentUsers) failEverySecond(outcome txnOutcome) func(string, wire.Txn) txnOutcome {
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

// queryEndingJobs queries the jobs whose final state is being written, and repeats their submission and cancellation.
func (u *concurrentUsers) queryEndingJobs() {
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
		if time.Since(at) > endWatchDuration {
			delete(u.endingAt, id)
		}
	}
}

// cancelsEarly reports whether the i-th job is cancelled as soon as it is accepted.
func cancelsEarly(i int) bool { return i%3 == 1 }

// submitAndQuery submits the i-th job until it is accepted, and queries it immediately afterwards. If the job is to be cancelled
// early, it cancels the job and again queries it immediately afterwards.
func (u *concurrentUsers) submitAndQuery(i int) {
	id, h := jobName(i), hosts[i%3]
	body := submission(id, 1+i%2)
	for try := 0; !u.accepted[id] && try < 30; try++ {
		if u.submitJob(h, body, id) == 503 {
			time.Sleep(300 * time.Millisecond)
		}
	}
	require.True(u.t, u.accepted[id])
	u.queryRapidly(id, body)
	if cancelsEarly(i) {
		u.cancelJob(hosts[(i+1)%3], id)
		u.queryRapidly(id, body)
	}
	u.runFor(500*time.Millisecond, 0)
	u.releaseHeldTransactions()
}

// queryRapidly queries a job at all controllers and repeats its submission, six times at intervals of two milliseconds.
func (u *concurrentUsers) queryRapidly(id, body string) {
	for i := range 6 {
		for _, h := range hosts {
			u.queryJob(h, id)
		}
		u.submitJob(hosts[i%3], body, id)
		time.Sleep(2 * time.Millisecond)
	}
}

// repeatRequests queries all jobs and cancels some, for the first time or again. For jobs that have ended, it repeats the query,
// the submission and the cancellation at all controllers.
func (u *concurrentUsers) repeatRequests() {
	for i := range concurrentUserJobs {
		id := jobName(i)
		phase := u.queryJob(hosts[i%3], id)
		if u.finalAnswers[id] == "" && (cancelsEarly(i) || i%3 == 2 && phase == wire.Running) {
			u.cancelJob(hosts[(i+1)%3], id) // a running job may be at the end of its last task
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

// requireAllEnded requires that every controller answers for every job, that every job has ended as done or cancelled, that
// at least one is done, and that at least as many are cancelled as users cancel early.
func (u *concurrentUsers) requireAllEnded() {
	ends := map[string]int{}
	for i := range concurrentUserJobs {
		for _, h := range hosts {
			require.NotEqual(u.t, "503", u.queryJob(h, jobName(i)))
		}
		ends[u.finalAnswers[jobName(i)]]++
	}
	require.NotZero(u.t, ends[wire.Done])
	require.GreaterOrEqual(u.t, ends[wire.Cancelled], concurrentUserJobs/3)
	require.Equal(u.t, concurrentUserJobs, ends[wire.Done]+ends[wire.Cancelled])
}
