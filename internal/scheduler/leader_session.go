package scheduler

import (
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// leaderSession is what a scheduler knows of a controller that leads partitions, and what it sends to it.
type leaderSession struct {
	batchQueue
	instance             string // the process, as it names itself; empty before the first answer
	cursor               uint64 // position of the last poll
	generation           uint64 // grows with every process seen: an answer to an older poll is recognized by it
	partitionTerms       map[int]uint64
	fencedTerms          map[string]uint64 // team terms under which it rejects assignments of earlier ones (argument 7)
	reachable            bool
	partitionsCheckedAt  clock.Micros // see partitionCheckInterval
	polledAt             clock.Micros
	supportsReservations bool // it holds leases for tasks that are to move
	resync               bool // a view did not fit the cached state: ask for everything
	shares               leaderShares
	demandsSentAt        clock.Micros
}

func newLeaderSession() *leaderSession {
	return &leaderSession{partitionTerms: map[int]uint64{}, fencedTerms: map[string]uint64{}}
}

// start begins a session with another process of the controller. A batch that was on its way to
// a former process is over: the next leader of the machines tells what became of it.
func (l *leaderSession) start(instance string) {
	l.fencedTerms = map[string]uint64{}
	l.partitionTerms = map[int]uint64{}
	l.cursor = 0
	l.instance = instance
	l.generation++
}

// hasFenced reports whether the process rejects assignments of earlier terms of a team.
func (l *leaderSession) hasFenced(tm *team) bool { return l.fencedTerms[tm.Name] == tm.term }

// batchQueue holds the messages to a partition leader: one batch in flight, given again as it was until it has an
// answer, and what has gathered for the next one.
type batchQueue struct {
	sequence              uint64
	inFlight              *peer.Batch
	inFlightInstance      string // process that it was made for
	pending               peer.Batch
	acknowledgementsSince clock.Micros // since when acknowledgements wait; 0: none is known to
}

// acknowledgementInterval gathers acknowledgements, for which nobody waits.
const acknowledgementInterval = 300 * clock.Millisecond

// isDue reports whether there is something to send now.
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

// next returns the batch in flight to an instance, or makes one of what is pending; nil for nothing.
func (q *batchQueue) next(from, instance string, terms func() map[string]uint64) *peer.Batch {
	if q.inFlight != nil && q.inFlightInstance == instance {
		return q.inFlight
	}
	q.abandon()
	batch := q.pending
	if instance == "" || batch.Empty() {
		return nil
	}
	q.sequence++
	batch.From, batch.Seq, batch.Terms = from, q.sequence, terms()
	q.inFlight, q.inFlightInstance, q.pending, q.acknowledgementsSince = &batch, instance, peer.Batch{}, 0
	return q.inFlight
}

// abandon gives up the batch in flight, whose process is gone. Its assignments stay counted: that
// process may have accepted and started them, and only the next leader of their machines can tell (argument 8).
// Stops go to the next process; cancellations do when their final states are looked at.
func (q *batchQueue) abandon() {
	if q.inFlight == nil {
		return
	}
	q.pending.Stops = append(q.pending.Stops, q.inFlight.Stops...)
	q.inFlight = nil
}

// dropTeam removes a team's messages from what was not sent yet.
func (q *batchQueue) dropTeam(tm *team) {
	b := &q.pending
	b.Asks = slices.DeleteFunc(b.Asks, func(a peer.Assignment) bool { return a.Team == tm.Name })
	b.Stops = slices.DeleteFunc(b.Stops, func(m peer.StopTask) bool { return tm.jobs[m.ID.Job] != nil })
	b.Settles = slices.DeleteFunc(b.Settles, func(m peer.Acknowledgement) bool { return tm.jobs[m.ID.Job] != nil })
	b.Starts = slices.DeleteFunc(b.Starts, func(m peer.StartTask) bool { return m.Team == tm.Name })
	b.Cancels = slices.DeleteFunc(b.Cancels, func(m peer.CancelJob) bool { return m.Team == tm.Name })
}
