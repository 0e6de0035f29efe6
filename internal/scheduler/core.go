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

// core is what the loops, writers and queries of a Server share: the decisions with the lock that guards them, and the
// signals by which one wakes another.
type core struct {
	elections Elections
	jobs      *jobs.Cache // has a lock of its own
	clock     clock.Clock
	log       *slog.Logger
	txnOps    int // operations that a transaction takes

	scheduleWake loop.Signal // there may be something to decide
	writeWake    loop.Signal // there may be something to write

	mu        sync.Mutex
	scheduler *Scheduler // guarded by mu, with the teams and jobs that it gives
	updated   broadcast  // guarded by mu: a partition leader has answered, or a cancellation's write has
}

// errTeamLost means that a team is not led any more, or under another term.
var errTeamLost = errors.New("team leadership lost")

// teamCondition returns the condition that a team is still led under the term in which its jobs were taken.
func (c *core) teamCondition(t *team) (wire.Condition, error) {
	leadership, ok := c.elections.Leading(Duty(t.Name))
	if !ok || leadership.Term != t.term {
		return wire.Condition{}, errTeamLost
	}
	return wire.Condition{Key: kvstore.LeaderPrefix + Duty(t.Name), ModRevision: leadership.ModRevision}, nil
}

// isActive reports whether a job is still this scheduler's to write about. The lock is held.
func (c *core) isActive(j *job) bool {
	return j.team.jobs[j.ID] == j && c.scheduler.teams[j.team.Name] == j.team
}
