package scheduler

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// watermarkInterval gathers raised watermarks into one write.
const watermarkInterval = 150 * time.Millisecond

// watermarkLoop writes which tasks may be asked for, ahead of their turn.
func (s *Server) watermarkLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, watermarkInterval)
		s.mu.Lock()
		list := s.scheduler.PlanWatermarks(s.clock.Now(), s.maxRecordBytes)
		s.mu.Unlock()
		for _, w := range list {
			h, ok := s.elections.Leading(Duty(w.Team))
			if !ok {
				continue
			}
			rev, err := s.priorityStore.Commit(ctx, wire.Txn{
				Conditions: []wire.Condition{{Key: kvstore.LeaderPrefix + Duty(w.Team), ModRevision: h.ModRevision}, {Key: w.Key, ModRevision: w.ModRevision}},
				Operations: []wire.Operation{{Put: w.Key, Value: w.Watermarks}}})
			if err != nil {
				s.log.Debug("writing watermarks", "team", w.Team, "err", err)
				continue
			}
			s.mu.Lock()
			s.scheduler.HandleWatermarkRecord(w.Key, w.Watermarks, rev)
			s.mu.Unlock()
			wake(s.wake)
		}
	}
	return nil
}

// writeLoop writes the ends of jobs at once and progress now and then.
func (s *Server) writeLoop(ctx context.Context) error {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	var last clock.Micros
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-s.writes:
		}
		s.startFinalWrites(ctx)
		s.resumeCancellations(ctx)
		if now := s.clock.Now(); now >= last+s.progressInterval {
			last = now
			s.writeProgress(ctx)
		}
	}
}

var errTeamLost = errors.New("the team is held no more")

// teamCondition gives the condition that a team is still held under a term.
func (s *Server) teamCondition(t *team) (wire.Condition, error) {
	h, ok := s.elections.Leading(Duty(t.Name))
	if !ok || h.Term != t.term {
		return wire.Condition{}, errTeamLost
	}
	return wire.Condition{Key: kvstore.LeaderPrefix + Duty(t.Name), ModRevision: h.ModRevision}, nil
}

// maxFinalWritesInFlight is how many transactions with ends of one team's jobs are under way
// at a time: the budget goes round among the teams, whatever one of them has.
const maxFinalWritesInFlight = 3

// maxFinalWriteOperations bounds the changes of a transaction with ends: those who wait for the
// budget wait for one another.
const maxFinalWriteOperations = 12

// startFinalWrites has the ends of jobs written that are due, as many to a transaction
// as it takes. A job keeps being answered for until its end is about to be sent.
func (s *Server) startFinalWrites(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := min(s.txnOps, maxFinalWriteOperations)
	for _, tm := range s.scheduler.teams {
		ready := s.scheduler.CompletedJobs(tm)
		// Where many wait for the budget, each end costs one change instead of two.
		brief := most < 2 || len(ready) > most/2
		for len(ready) > 0 && tm.finalWritesInFlight < maxFinalWritesInFlight {
			n, ops := 0, 0
			for n < len(ready) {
				if ops += s.finalStateOperations(ready[n], brief); n > 0 && ops > most {
					break
				}
				n++
			}
			batch := ready[:n]
			ready = ready[n:]
			for _, j := range batch {
				j.finalWriteInFlight = true
			}
			tm.finalWritesInFlight++
			go func() {
				defer wake(s.writes)
				if err := s.writeFinalStates(ctx, s.store, batch, wire.Done, brief, nil); err != nil {
					s.log.Debug("ends of jobs", "team", tm.Name, "err", err)
				}
				s.mu.Lock()
				defer s.mu.Unlock()
				tm.finalWritesInFlight--
			}()
		}
	}
}

// finalStateOperations is how many finalStateOperations the end of a job takes. The lock is held.
func (s *Server) finalStateOperations(j *job, brief bool) int {
	n := 2 + len(s.scheduler.progress[j.ID])
	if brief {
		n--
	}
	return n
}

var errJobsChanged = errors.New("some of the jobs are over already")

// writeFinalStates writes the final states of jobs of one team, on the condition that the
// team is held, that each job's record is as it was accepted, and of what else is
// given. While one may have
// been written without this process knowing, that job's user is told nothing
// from here. That begins only when the transaction is about to be sent: with
// hundreds of ends a minute most of the time is spent waiting for the budget,
// and jobs of which nothing is told for so long count as forgotten.
func (s *Server) writeFinalStates(ctx context.Context, store Store, batch []*job, phase string, brief bool, when []wire.Condition) error {
	tm := batch[0].team
	for try := 0; ctx.Err() == nil; try++ {
		s.mu.Lock()
		batch = slices.DeleteFunc(batch, func(j *job) bool { return !s.isActive(j) })
		m, rest := s.finalStateTxn(batch, phase, brief)
		m.Conditions = append(m.Conditions, when...)
		s.mu.Unlock()
		if len(batch) == 0 {
			return nil
		}
		_, err := store.CommitWithCheck(ctx, m, func() error {
			if _, err := s.teamCondition(tm); err != nil {
				return err
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, j := range batch {
				if !s.isActive(j) {
					return errJobsChanged
				}
			}
			for _, j := range batch {
				j.finalStateUncertain = true
			}
			return nil
		})
		if err == nil {
			s.markFinished(batch, phase)
			for some := range slices.Chunk(rest, s.txnOps) {
				if _, err := s.store.Commit(ctx, wire.Txn{Conditions: m.Conditions[:1], Operations: some}); err != nil {
					s.log.Info("dropping progress", "team", tm.Name, "err", err)
				}
			}
			return nil
		}
		if errors.Is(err, errTeamLost) {
			return err
		}
		if try%32 == 0 { // once in a while: an outage lasts many tries
			s.log.Info("writing the ends of jobs", "job", batch[0].ID, "jobs", len(batch), "tries", try+1, "err", err)
		}
		// A condition that does not hold is a definite answer to this try, not to earlier ones.
		refused := errors.Is(err, kvstore.ErrRefused) || errors.Is(err, kvstore.ErrConflict)
		s.mu.Lock()
		for _, j := range batch {
			j.finalWriteUnanswered = j.finalWriteUnanswered || !refused
			j.finalStateUncertain = j.finalWriteUnanswered
		}
		unknown := batch[0].finalWriteUnanswered
		s.mu.Unlock()
		if phase == wire.Cancelled && (!unknown || try >= 2) {
			return err // its user asks again
		}
		if errors.Is(err, kvstore.ErrConflict) && len(batch) > 1 {
			// One of them is over already, by an earlier try that had no answer:
			// it must not keep the others from their end.
			for _, j := range batch {
				if err := s.writeFinalStates(ctx, store, []*job{j}, phase, brief, when); err != nil {
					return err
				}
			}
			return nil
		}
		pause(ctx, 300*time.Millisecond)
	}
	return ctx.Err()
}

// isActive tells that a job is still this placer's to end. The lock is held.
func (s *Server) isActive(j *job) bool {
	return j.team.jobs[j.ID] == j && s.scheduler.teams[j.team.Name] == j.team
}

// finalStateTxn makes the transaction that ends jobs of one team, its first condition
// being the team's claim; rest are drops of progress that it has no room for. The lock is held.
func (s *Server) finalStateTxn(batch []*job, phase string, brief bool) (m wire.Txn, rest []wire.Operation) {
	if len(batch) == 0 {
		return m, nil
	}
	tm := batch[0].team
	m.Conditions = []wire.Condition{{Key: kvstore.LeaderPrefix + Duty(tm.Name), ModRevision: tm.modRevision}}
	for _, j := range batch {
		m.Conditions = append(m.Conditions, wire.Condition{Key: kvstore.ActiveJobPrefix + j.ID, ModRevision: j.ModRevision})
		if brief || s.txnOps < 2 {
			over := jobs.Record{EndPhase: phase}
			over.ID, over.Team, over.Tasks = j.ID, j.Team, j.Tasks
			m.Operations = append(m.Operations, wire.Operation{Put: kvstore.ActiveJobPrefix + j.ID, Value: over})
		} else {
			m.Operations = append(m.Operations, wire.Operation{Put: kvstore.FinalJobPrefix + j.ID, Value: jobs.Final{Phase: phase, Team: j.Team, Tasks: j.Tasks}},
				wire.Operation{Drop: kvstore.ActiveJobPrefix + j.ID})
		}
	}
	for _, j := range batch {
		for c := range s.scheduler.progress[j.ID] {
			if op := (wire.Operation{Drop: progressKey(j.ID, c)}); len(m.Operations) < s.txnOps {
				m.Operations = append(m.Operations, op)
			} else {
				rest = append(rest, op)
			}
		}
	}
	return m, rest
}

// markFinished takes note that jobs' ends are written.
func (s *Server) markFinished(batch []*job, phase string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range batch {
		s.jobs.AddFinal(j.ID, jobs.Final{Phase: phase, Team: j.Team, Tasks: j.Tasks})
		s.scheduler.DropJob(j.ID)
		s.log.Info("job is over", "job", j.ID, "class", j.Class, "phase", phase, "tasks", j.Tasks,
			"after_s", (s.clock.Now() - j.acceptedAt).Seconds(), "last_start_s", (j.lastStartAt - j.acceptedAt).Seconds(), "again", j.retries)
	}
}
