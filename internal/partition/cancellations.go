package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// teamTerms are the highest terms of the teams that this process has seen. What comes under a lower one is of a
// former team leader and is rejected (docs/design.md, argument 7).
type teamTerms map[string]uint64

// fence rejects, from now on, what comes under lower terms of these teams.
func (t teamTerms) fence(terms map[string]uint64) {
	for team, term := range terms {
		t[team] = max(t[team], term)
	}
}

// isCurrent reports whether a term is given and not one of a former team leader.
func (t teamTerms) isCurrent(team string, term uint64) bool { return term != 0 && term >= t[team] }

// cancellationRetention is how long a cancellation is kept at least, also where the replica shows the job's end.
const cancellationRetention = 600 * clock.Second

// cancellation is a job of which nothing may run any more.
type cancellation struct {
	receivedAt clock.Micros
	term       uint64 // of its team, under which the scheduler sent it
}

// cancellations are the jobs that schedulers have cancelled, by id. A cancellation that was acknowledged is kept for
// as long as the replica shows the job as active, since the replica may be behind (docs/design.md, argument 11).
type cancellations map[string]cancellation

func (c cancellations) has(job string) bool {
	_, ok := c[job]
	return ok
}

// admits reports whether a job's task may be assigned under a team's term. Under a later term than the cancellation's
// it may, and the cancellation is dropped: the scheduler of that term knows all ends that were written under earlier
// ones, and this job's is not among them, so the cancellation was never confirmed.
func (c cancellations) admits(job string, term uint64) bool {
	x, ok := c[job]
	if !ok {
		return true
	}
	if term <= x.term {
		return false
	}
	delete(c, job)
	return true
}

// expire drops the cancellations that nothing can need any more. While the replica shows a job as active it may
// be behind, and the cancellation is all that is known of the job's end, however long ago it was.
func (c cancellations) expire(jobs JobLookup, now clock.Micros) {
	for job, x := range c {
		if _, active := jobs.Active(job); !active && now > x.receivedAt+cancellationRetention {
			delete(c, job)
		}
	}
}

// applyCancellations stops all tasks of cancelled jobs. Those of a former team leader are ignored: the
// job may have been assigned anew since.
func (s *State) applyCancellations(list []peer.CancelJob, terms map[string]uint64, now clock.Micros) {
	for _, c := range list {
		term := terms[c.Team]
		if !s.teamTerms.isCurrent(c.Team, term) {
			continue
		}
		s.cancellations[c.Job] = cancellation{receivedAt: now, term: term}
		for _, m := range s.machines {
			for id, t := range m.tasks {
				if id.Job == c.Job {
					s.stopTask(m, t, 0)
				}
			}
		}
	}
}
