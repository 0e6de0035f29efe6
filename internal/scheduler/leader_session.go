package scheduler

import (
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// leaderSession is what a scheduler knows about a controller that leads partitions, and what it has to send to it.
type leaderSession struct {
	batchQueue
	processID           string // process of the controller, as its responses name it; empty before the first response
	cursor              uint64 // version of the partition leader's state up to which its views have been applied
	generation          uint64 // number of processes seen: polls carry it, so that late responses of former ones are recognized
	partitionTerms      map[int]uint64
	fencedTerms         map[string]uint64 // by team: the partition leader rejects assignments of lower terms
	reachable           bool
	partitionsCheckedAt clock.Micros // see partitionCheckInterval
	polledAt            clock.Micros // when the latest poll response arrived
	supportsHeldLeases  bool         // grants held leases, which moves of tasks need; earlier releases don't
	resync              bool         // a view was inconsistent with the cached state: the next poll asks for all machines
	shares              leaderShares
	demandsSentAt       clock.Micros
}

func newLeaderSession() *leaderSession {
	return &leaderSession{partitionTerms: map[int]uint64{}, fencedTerms: map[string]uint64{}}
}

// start begins a session with a new process of the controller. From now on, late responses of a former process to polls are
// ignored, and no team's term is known to be fenced. A batch in flight to the former process is given up by next: only the next
// leader of its machines can tell what became of the assignments.
func (l *leaderSession) start(processID string) {
	l.fencedTerms = map[string]uint64{}
	l.partitionTerms = map[int]uint64{}
	l.cursor = 0
	l.processID = processID
	l.generation++
}

// hasFenced reports whether the partition leader rejects assignments of earlier terms of a team, so that no former leader of
// the team can still start a task there (docs/design.md, "Why the rules hold", number 7).
func (l *leaderSession) hasFenced(tm *team) bool { return l.fencedTerms[tm.Name] == tm.term }

// batchQueue holds the messages for a partition leader: the batch in flight, which is sent again unchanged until it is
// answered, and the messages for the next batch.
type batchQueue struct {
	sequence              uint64
	inFlight              *peer.Batch
	inFlightProcess       string // process for which the batch in flight was made
	pending               peer.Batch
	acknowledgementsSince clock.Micros // when the oldest pending acknowledgement was first seen; 0: none was
}

// acknowledgementInterval is how long acknowledgements are collected before they alone cause a batch: nobody waits for them.
const acknowledgementInterval = 300 * clock.Millisecond

// isDue reports whether there is a batch to send now.
func (q *batchQueue) isDue(now clock.Micros) bool {
	if q.inFlight != nil {
		return true
	}
	if len(q.pending.Settles) == 0 {
		return !q.pending.Empty()
	}
	if q.acknowledgementsSince == 0 {
		q.acknowledgementsSince = now
	}
	urgent := q.pending
	urgent.Settles = nil
	return !urgent.Empty() || now >= q.acknowledgementsSince+acknowledgementInterval
}

// next returns the batch to send to a process: the one in flight to it, or a new one of the pending messages. It returns nil
// if there is none, or if no process is known yet.
func (q *batchQueue) next(sender, processID string, terms func() map[string]uint64) *peer.Batch {
	if q.inFlight != nil && q.inFlightProcess == processID {
		return q.inFlight
	}
	q.abandonInFlight()
	batch := q.pending
	if processID == "" || batch.Empty() {
		return nil
	}
	q.sequence++
	batch.From, batch.Seq, batch.Terms = sender, q.sequence, terms()
	q.inFlight, q.inFlightProcess, q.pending, q.acknowledgementsSince = &batch, processID, peer.Batch{}, 0
	return q.inFlight
}

// abandonInFlight gives up the batch in flight because the process for which it was made is gone. The assignments of the
// batch stay counted: that process may have accepted and started them, which only the next leader of their machines can tell
// (docs/design.md, "Why the rules hold", number 8). Stops are queued again for the next process. Cancellations are queued
// again by CancellationConfirmed. The other messages are dropped.
func (q *batchQueue) abandonInFlight() {
	if q.inFlight == nil {
		return
	}
	q.pending.Stops = append(q.pending.Stops, q.inFlight.Stops...)
	q.inFlight = nil
}

// dropTeam removes a team's messages from the pending ones. Stops and acknowledgements don't name the team: those for its present
// jobs are removed.
func (q *batchQueue) dropTeam(tm *team) {
	b := &q.pending
	b.Asks = slices.DeleteFunc(b.Asks, func(a peer.Assignment) bool { return a.Team == tm.Name })
	b.Stops = slices.DeleteFunc(b.Stops, func(m peer.StopTask) bool { return tm.jobs[m.ID.Job] != nil })
	b.Settles = slices.DeleteFunc(b.Settles, func(m peer.Acknowledgement) bool { return tm.jobs[m.ID.Job] != nil })
	b.Starts = slices.DeleteFunc(b.Starts, func(m peer.StartTask) bool { return m.Team == tm.Name })
	b.Cancels = slices.DeleteFunc(b.Cancels, func(m peer.CancelJob) bool { return m.Team == tm.Name })
}
