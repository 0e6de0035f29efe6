package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// teamTerms holds the highest term of each team that this process has seen. A request under a lower term was sent by a
// former team leader and is rejected: the present leader may have decided otherwise (docs/design.md,
// "Why the rules hold", number 7).
type teamTerms map[string]uint64

// fence raises the teams' terms, so that requests under lower ones are rejected from now on.
func (t teamTerms) fence(terms map[string]uint64) {
	for team, term := range terms {
		t[team] = max(t[team], term)
	}
}

// isCurrent reports whether a term is set and not that of a former team leader.
func (t teamTerms) isCurrent(team string, term uint64) bool { return term != 0 && term >= t[team] }

// minCancellationRetention is the shortest time for which a cancellation is kept, even if the replica shows earlier
// that the job has ended. Only an assignment under a later term of the team drops it sooner.
const minCancellationRetention = 600 * clock.Second

// cancellation is the cancellation of one job: none of its tasks may run any more.
type cancellation struct {
	receivedAt clock.Micros
	term       uint64 // the team's term under which the scheduler sent it
}

// cancellations holds the jobs that schedulers have cancelled, by id. A cancellation is kept for as long as the replica
// shows the job as active, unless a later team leader assigns the job again: the replica may be behind, and a task of
// the job could otherwise start again (docs/design.md, "Why the rules hold", number 11).
type cancellations map[string]cancellation

func (c cancellations) has(job string) bool {
	_, ok := c[job]
	return ok
}

// admits reports whether a job's task may be assigned under a term of its team. Under a later term than that of the
// cancellation it may, and the cancellation is dropped. The scheduler of the later term knows all job ends that were
// stored under earlier terms. As it still assigns this job, the job's cancellation was never stored, and never
// confirmed.
func (c cancellations) admits(job string, term uint64) bool {
	entry, ok := c[job]
	if !ok {
		return true
	}
	if term <= entry.term {
		return false
	}
	delete(c, job)
	return true
}

// expire drops the cancellations that are not needed any more. While the replica shows a job as active it may be
// behind, and the cancellation is then the only evidence that the job has ended, however long ago that was.
func (c cancellations) expire(jobs JobLookup, now clock.Micros) {
	for job, entry := range c {
		if _, active := jobs.Active(job); !active && now > entry.receivedAt+minCancellationRetention {
			delete(c, job)
		}
	}
}

// applyCancellations records the cancellations of a batch and stops all tasks of the jobs. Cancellations sent by a
// former team leader are ignored, because the job may have been assigned again since.
func (s *State) applyCancellations(list []peer.CancelJob, terms map[string]uint64, now clock.Micros) {
	for _, c := range list {
		term := terms[c.Team]
		if !s.teamTerms.isCurrent(c.Team, term) {
			continue
		}
		if !s.cancellations.has(c.Job) {
			s.addNotice("job cancellation received", "job", c.Job, "team", c.Team, "term", term)
		}
		s.cancellations[c.Job] = cancellation{receivedAt: now, term: term}
		for _, m := range s.machines {
			for id, t := range m.tasks {
				if id.Job == c.Job {
					s.counters.stops[stopCancelled].Inc()
					s.stopTask(m, t, 0)
				}
			}
		}
	}
}
