package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/wire"
)

// heartbeatID orders the heartbeats of a worker.
type heartbeatID struct {
	incarnation uint64
	tick        uint64
}

// workerState is what is known of a machine's worker by its heartbeats and its answers to deliveries.
//
//	       no heartbeat answered for        ... for a whole worker lease,
//	       HeartbeatOverdue                 drift and margin
//	live ------------------------> overdue ------------------------> silent
//	 ^                                |                                |
//	 +--- heartbeat ------------------+                                |
//	 +--- heartbeat of a later incarnation, or its first of this term -+
//
//	any state -- reported as gone for certain --> gone -- goneRetention --> removed
//
// overdue, silent and gone are kept side by side: an overdue machine stays overdue when it falls silent, and
// a silent one stays silent when it is reported gone. lost is the state in which no task can be on the machine.
//
// Heartbeats and answers to deliveries are ordered by (incarnation, tick), and older ones change nothing
// (docs/design.md, argument 2). A heartbeat is answered, and counts as a sign of life, once (argument 13).
type workerState struct {
	contacted     bool   // a heartbeat or an answer to a delivery has come in this term
	incarnation   uint64 // the latest seen; before contacted, what commands are addressed to
	tick          uint64 // the latest seen of the incarnation
	lastHeartbeat heartbeatID
	// answeredAt is the latest moment at which the worker lease may have begun: the last heartbeat that was
	// answered, the first sight of an incarnation, or the acquisition of the partition.
	answeredAt clock.Micros
	overdue    bool
	silent     bool
	gone       bool
}

// lost reports whether no task can be on the machine: its worker lease has expired, or it is gone for certain.
func (w *workerState) lost() bool { return w.silent || w.gone }

// isNewer reports whether a status is newer than all that are known.
func (w *workerState) isNewer(r *wire.Heartbeat) bool {
	return !w.contacted || r.Incarnation > w.incarnation || r.Incarnation == w.incarnation && r.Tick > w.tick
}

// isCopy reports whether a heartbeat was handled before, or is older than one that was: a late copy, or a worker
// that began anew within its incarnation. Answering it would keep a machine alive of which nothing new is known.
func (w *workerState) isCopy(r *wire.Heartbeat) bool {
	return w.contacted && r.Incarnation == w.lastHeartbeat.incarnation && r.Tick <= w.lastHeartbeat.tick
}

// isFormerIncarnation reports whether a heartbeat is of an incarnation whose tasks count as ended.
func (w *workerState) isFormerIncarnation(r *wire.Heartbeat) bool {
	return w.contacted && (r.Incarnation < w.incarnation || w.silent && r.Incarnation <= w.incarnation)
}

// missedHeartbeatMargin is how late beyond half of HeartbeatOverdue a heartbeat may be before it counts as missed.
const missedHeartbeatMargin = clock.Second / 5

// missedHeartbeats counts the machines that should be reporting here, and those of them that have missed a heartbeat.
func (s *State) missedHeartbeats(now clock.Micros) (machines, missed int) {
	for _, m := range s.machines {
		if m.worker.lost() || m.record != recordPresent {
			continue
		}
		machines++
		if now > m.worker.answeredAt+s.timing.HeartbeatOverdue/2+missedHeartbeatMargin {
			missed++
		}
	}
	return machines, missed
}
