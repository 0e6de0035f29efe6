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
// the confirmation of its withdrawal, repeat the submission, and some withdraw at
// once or at the end of the last task: whatever one of them was told, none is
// told anything older. The same where the state service's answers are
// lost while others read what was written, or its transactions come late.
func TestUserAnswersNeverRegressAcrossControllers(t *testing.T) {
	for _, x := range []struct {
		name string
		lot  txnOutcome
	}{
		{"no other trouble", txnServed},
		{"answers of transactions are lost", responseLost},
		{"answers of transactions are slow", responseSlow},
		{"transactions come late", txnHeldBack},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 6)
				c.runFor(8*time.Second, 0)
				c.setReplicaDelay(c.teamLeader("red"), 400*time.Millisecond) // others read its writes before it does
				meetsEnd := 0
				ending := make(chan string, 1000) // jobs whose end is being written
				near := map[string]time.Time{}
				c.everyFiveMS = func() {
					for len(ending) > 0 {
						near[<-ending] = time.Now()
					}
					for id, at := range near {
						for _, h := range hosts {
							c.queryJob(h, id)
						}
						if time.Since(at) < 20*time.Millisecond {
							meetsEnd++
							c.submitJob(hosts[meetsEnd%3], submission(id, 1), id)
							c.cancelJob(hosts[(meetsEnd+1)%3], id)
						}
						if time.Since(at) > 300*time.Millisecond {
							delete(near, id)
						}
					}
				}
				c.setOnCommit(func(_ string, m wire.Txn) txnOutcome {
					for _, prefix := range []string{kvstore.ActiveJobPrefix, kvstore.FinalJobPrefix} {
						if strings.Contains(writtenKeys(m), prefix) {
							if prefix == kvstore.FinalJobPrefix {
								ending <- strings.TrimPrefix(strings.Fields(writtenKeys(m))[0], prefix)
							}
							if c.addOccurrence("a transaction")%2 == 0 {
								c.addOccurrence(prefix + " in trouble")
								return x.lot
							}
						}
					}
					return txnServed
				})
				const many = 12
				closely := func(id, body string) {
					for k := range 6 {
						for _, h := range hosts {
							c.queryJob(h, id)
						}
						c.submitJob(hosts[k%3], body, id)
						time.Sleep(2 * time.Millisecond)
					}
				}
				answered := 0
				for i := range many {
					id, h := jobName(i), hosts[i%3]
					body := submission(id, 1+i%2)
					for try := 0; !c.accepted[id] && try < 30; try++ {
						if c.submitJob(h, body, id) == 503 {
							time.Sleep(300 * time.Millisecond)
						}
					}
					require.True(t, c.accepted[id])
					closely(id, body)
					if i%3 == 1 {
						c.cancelJob(hosts[(i+1)%3], id)
						closely(id, body)
					}
					c.runFor(500*time.Millisecond, 0)
					c.releaseHeldTransactions()
				}
				c.runForEach(20*time.Second, 1500*time.Millisecond, func() {
					for i := range many {
						id := jobName(i)
						p := c.queryJob(hosts[i%3], id)
						if again := i%3 == 1; c.finalAnswers[id] == "" && (again || i%3 == 2 && p == wire.Running) {
							c.cancelJob(hosts[(i+1)%3], id) // the others perhaps at the very end of their last task
						}
						if c.finalAnswers[id] != "" {
							answered++
							for _, h := range hosts {
								c.queryJob(h, id)
								c.submitJob(h, submission(id, 1+i%2), id)
								c.cancelJob(h, id)
							}
						}
					}
					c.releaseHeldTransactions()
				})
				require.NotZero(t, answered)
				require.NotZero(t, meetsEnd, "repeats and withdrawals at the very end")
				c.setOnCommit(nil)
				c.everyFiveMS = nil
				c.runFor(30*time.Second, time.Second)
				ends := map[string]int{}
				for i := range many {
					for _, h := range hosts {
						require.NotEqual(t, "503", c.queryJob(h, jobName(i)))
					}
					ends[c.finalAnswers[jobName(i)]]++
				}
				require.NotZero(t, ends[wire.Done])
				require.GreaterOrEqual(t, ends[wire.Cancelled], many/3)
				require.Equal(t, many, ends[wire.Done]+ends[wire.Cancelled])
				if x.lot != txnServed {
					require.NotZero(t, c.occurrenceCount(kvstore.ActiveJobPrefix+" in trouble"), "an acceptance had no answer")
					require.NotZero(t, c.occurrenceCount(kvstore.FinalJobPrefix+" in trouble"), "an end had no answer")
				}
			})
		})
	}
}
