package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/wire"
)

// heartbeatID orders the heartbeats of a worker: by incarnation, then by tick.
type heartbeatID struct {
	incarnation uint64
	tick        uint64
}

// workerState is what State knows of a machine's worker from its heartbeats and its responses to deliveries.
//
//	       no answered heartbeat for        ... for a whole worker lease,
//	       HeartbeatOverdue                 plus clock drift and a margin
//	live ------------------------> overdue ------------------------> silent
//	 ^                                |                                |
//	 +--- heartbeat ------------------+                                |
//	 +--- heartbeat of a later incarnation, or its first of this term -+
//
//	any state -- reported as gone for certain --> gone -- goneRetention --> removed
//
// overdue, silent and gone are independent flags: an overdue machine stays overdue when it becomes silent, and a
// silent one stays silent when it is reported gone. A machine is lost when it is silent or gone: no task can be on
// it.
//
// Heartbeats and responses to deliveries are ordered by (incarnation, tick), and an older one changes nothing
// (docs/design.md, "Why the rules hold", number 2). Each heartbeat is answered, and counts as a sign of life, only
// once, so that late copies do not keep a dead machine alive (number 13).
type workerState struct {
	contacted     bool   // in this term a heartbeat, or a response to a delivery with a token of this term, has arrived
	incarnation   uint64 // the latest known; until the worker is contacted, a guess to address commands to
	tick          uint64 // the latest known of the incarnation
	lastHeartbeat heartbeatID
	// answeredAt is the latest time at which the worker lease may have started: the last answered heartbeat, the first
	// status of an incarnation, the response that showed a restart within an incarnation, or the acquisition of the
	// partition. For a machine that is gone it is the time of that report.
	answeredAt clock.Micros
	overdue    bool
	silent     bool
	gone       bool
}

// lost reports whether no task can be on the machine: its worker lease has expired, or the machine is gone.
func (w *workerState) lost() bool { return w.silent || w.gone }

// isNewer reports whether a status is newer than all that have arrived before.
func (w *workerState) isNewer(hb *wire.Heartbeat) bool {
	return !w.contacted || hb.Incarnation > w.incarnation || hb.Incarnation == w.incarnation && hb.Tick > w.tick
}

// isCopy reports whether a heartbeat is not newer than one that was already processed in its incarnation. It is a
// late copy, or the worker has restarted within its incarnation, which the response to a delivery then shows
// (State.handleUnannouncedRestart). An answer would keep a machine alive although nothing new is known of it.
func (w *workerState) isCopy(hb *wire.Heartbeat) bool {
	return w.contacted && hb.Incarnation == w.lastHeartbeat.incarnation && hb.Tick <= w.lastHeartbeat.tick
}

// isFormerIncarnation reports whether a heartbeat is of an incarnation whose tasks already count as gone.
func (w *workerState) isFormerIncarnation(hb *wire.Heartbeat) bool {
	return w.contacted && (hb.Incarnation < w.incarnation || w.silent && hb.Incarnation <= w.incarnation)
}

// missedHeartbeatMargin is added to half of HeartbeatOverdue: a heartbeat counts as missed only when it is later than
// that.
const missedHeartbeatMargin = clock.Second / 5

// missedHeartbeats counts the machines that should be sending heartbeats to this process, and those of them that have
// missed one.
func (s *State) missedHeartbeats(now clock.Micros) (machines, missed int) {
	for _, m := range s.machines {
		if m.worker.lost() || m.record != recordPresent {
			continue
		}
		machines++
		if s.missedHeartbeat(m, now) {
			missed++
		}
	}
	return machines, missed
}

// missedHeartbeat reports whether a machine should have sent a heartbeat that was answered since the last one.
func (s *State) missedHeartbeat(m *machine, now clock.Micros) bool {
	return now > m.worker.answeredAt+s.timing.HeartbeatOverdue/2+missedHeartbeatMargin
}
