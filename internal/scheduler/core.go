package scheduler

import (
	"errors"
	"log/slog"
	"sync"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/loop"
	"github.com/merlinlatch/merlinlatch/wire"
)

// core is the state that the loops, writers and queries of a Server share: the Scheduler with the lock that guards it, and
// the signals by which one loop wakes another.
type core struct {
	elections Elections
	jobs      *jobs.Cache // has a lock of its own
	clock     clock.Clock
	log       *slog.Logger
	txnOps    int // maximum number of operations in a transaction

	scheduleWake loop.Signal // wakes scheduleLoop: an input of the decision may have changed
	writeWake    loop.Signal // wakes writeLoop: a record may be due to be written

	mu        sync.Mutex
	scheduler *Scheduler // guarded by mu, as are the teams and jobs that it returns
	updated   broadcast  // guarded by mu; notified after each response of a partition leader and each write of a cancellation
}

// errLeadershipLost means that this process no longer leads a team, or leads it under another term.
var errLeadershipLost = errors.New("team leadership lost")

// leadershipCondition returns the transaction condition that this process still leads a team under the term under which it
// acquired the team's jobs. It returns errLeadershipLost where that no longer holds.
func (c *core) leadershipCondition(t *team) (wire.Condition, error) {
	leadership, ok := c.elections.Leading(TeamDuty(t.Name))
	if !ok || leadership.Term != t.term {
		return wire.Condition{}, errLeadershipLost
	}
	return wire.Condition{Key: kvstore.LeaderPrefix + TeamDuty(t.Name), ModRevision: leadership.ModRevision}, nil
}

// mayWriteRecords reports whether this scheduler may still write records of a job: it still leads the job's team under the same
// term, and the job has not been dropped. The caller holds the lock.
func (c *core) mayWriteRecords(j *job) bool {
	return j.team.jobs[j.ID] == j && c.scheduler.teams[j.team.Name] == j.team
}
