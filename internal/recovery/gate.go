package recovery

import "github.com/merlinlatch/merlinlatch/internal/clock"

// Machine is what a gate needs to know of a machine in its zone.
type Machine struct {
	Warm    bool // a task was seen running on it in this incarnation of its worker
	Pending int  // tasks on it that were accepted and not seen running yet
}

const (
	// initialStarts is how many starts may be in flight when a return begins.
	initialStarts = 4
	// startsPerSuccess is by how much each start that succeeded raises that.
	startsPerSuccess = 1
	// maxStarts bounds it.
	maxStarts = 256
	// stageEndMargin is how much longer than its bound a stage may seem to last where the partition
	// leader isn't notified of its end: after that it admits all.
	stageEndMargin = 5 * clock.Second
	// maxLostWait is how long a partition leader waits, from the first heartbeat of a machine in a lost
	// zone, to be notified that the zone returns. It is longer than the longest time for
	// which a zone must be reachable before it returns.
	maxLostWait = 65 * clock.Second
)

// Gate admits work in one zone at one partition leader, while work returns there. A scheduler has one as
// well, so as not to request what would be rejected; the partition leader's decides.
//
//	lost ----------> at a stage ----------> open, until SetStage names another stage or a hold
//	 |    SetStage                expired                     ^
//	 +--------------------------------------------------------+
//	                         expired
//
// A lost zone's gate expires maxLostWait after the first heartbeat, one at a stage stageEndMargin
// after the stage's bound, and one that operators hold never. A healthy zone has no gate. A Gate does no
// locking: its user does.
type Gate struct {
	stage          Stage
	held           bool // by operators: it stays at its stage
	lost           bool // the zone has not begun to return
	since          clock.Micros
	heartbeatSince clock.Micros // since when machines of a lost zone send heartbeats; 0: none does
	maxInFlight    int          // starts
}

// NewGate makes a gate at a stage.
func NewGate(s Stage, held bool, now clock.Micros) *Gate {
	return &Gate{stage: s, held: held, since: now, maxInFlight: initialStarts}
}

// NewLostGate makes a gate of a zone that is lost: it admits nothing new, so that the first machines
// that are reachable again don't get whatever is assigned first.
func NewLostGate() *Gate { return &Gate{stage: Reconcile, lost: true, maxInFlight: initialStarts} }

// HeartbeatSeen takes note that a machine of the zone sends heartbeats.
func (g *Gate) HeartbeatSeen(now clock.Micros) {
	if g.lost && g.heartbeatSince == 0 {
		g.heartbeatSince = now
	}
}

// SetStage takes a stage, or a hold, from the zone's record.
func (g *Gate) SetStage(s Stage, held bool, now clock.Micros) {
	if s != g.stage || held != g.held || g.lost {
		g.stage, g.held, g.since, g.lost = s, held, now, false
	}
}

// Stage is the present stage. Where the end of a stage isn't notified, all is admitted after a
// while: a controller with an old view may do less, but not for ever.
func (g *Gate) Stage(now clock.Micros) Stage {
	if g.expired(now) {
		return Open
	}
	return g.stage
}

// expired reports whether the gate has waited for too long to be notified.
func (g *Gate) expired(now clock.Micros) bool {
	switch {
	case g.lost:
		return g.heartbeatSince != 0 && now > g.heartbeatSince+maxLostWait
	case g.held:
		return false
	}
	return now > g.since+g.stage.MaxDuration()+stageEndMargin
}

// Succeeded takes note that a start has led to a running task: more may be in flight.
func (g *Gate) Succeeded() { g.maxInFlight = min(g.maxInFlight+startsPerSuccess, maxStarts) }

// Starts is how many starts may be in flight.
func (g *Gate) Starts() int { return g.maxInFlight }

// Admits reports whether a task of a stage may be assigned to a machine while so many starts are
// in flight in the zone. A cold machine gets one trial task before more: after a loss that outlasted the
// workers' leases all machines are cold, and urgent work must not wait for others to warm them.
func (g *Gate) Admits(task Stage, m Machine, inFlight int, now clock.Micros) bool {
	stage := g.Stage(now)
	if stage == Open {
		return true
	}
	if task > stage || inFlight >= g.maxInFlight {
		return false
	}
	return m.Warm || m.Pending == 0
}
