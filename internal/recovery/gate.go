package recovery

import "github.com/merlinlatch/merlinlatch/internal/clock"

// Machine is the state of a machine by which a gate admits tasks to it.
type Machine struct {
	Proven  bool // a task has been seen running on it in the present incarnation of its worker
	Pending int  // number of tasks that were accepted for it and have not been seen running yet
}

const (
	// initialStarts is the bound on concurrent task starts in a zone when its return begins.
	initialStarts = 4
	// startsPerSuccess is by how much each successful start raises the bound on concurrent starts.
	startsPerSuccess = 1
	// maxStarts is the highest value of the bound on concurrent starts.
	maxStarts = 256
	// stageEndMargin is how long after a stage's bound a gate waits to be notified of the stage's end. After that it
	// admits all work.
	stageEndMargin = 5 * clock.Second
	// maxLostWait is how long the gate of a lost zone waits, from the first heartbeat of a machine in the zone, to be
	// notified that the zone returns. After that it admits all work. It exceeds 60 s, the longest time for which a
	// zone must be reachable before it returns.
	maxLostWait = 65 * clock.Second
)

// Gate decides which tasks a partition leader admits to the machines of one zone while work returns there. Schedulers
// have gates too, so that they don't request what a partition leader would reject; those of the partition leaders
// decide.
//
//	lost ----------> at a stage ----------> open, until SetStage names another stage or a hold
//	 |    SetStage                expired                     ^
//	 +--------------------------------------------------------+
//	                         expired
//
// The gate of a lost zone expires maxLostWait after the first heartbeat. A gate at a stage expires stageEndMargin after
// the stage's bound, unless operators hold the return. A healthy zone has no gate. A Gate is not safe for
// concurrent use.
type Gate struct {
	stage          Stage
	held           bool         // operators hold the return at its stage
	lost           bool         // the zone has not begun to return
	since          clock.Micros // time of the last change of the stage or the hold
	heartbeatSince clock.Micros // first heartbeat of a machine since the zone's loss; 0: none yet
	maxInFlight    int          // bound on concurrent starts
}

// NewGate returns a gate of a returning zone at a stage.
func NewGate(s Stage, held bool, now clock.Micros) *Gate {
	return &Gate{stage: s, held: held, since: now, maxInFlight: initialStarts}
}

// NewLostGate returns a gate of a lost zone. It admits no tasks, since otherwise the first machines that are reachable
// again would get tasks of any priority before the return begins.
func NewLostGate() *Gate { return &Gate{stage: Reconcile, lost: true, maxInFlight: initialStarts} }

// RecordHeartbeat records that a machine of the zone has sent a heartbeat, from which maxLostWait is counted.
func (g *Gate) RecordHeartbeat(now clock.Micros) {
	if g.lost && g.heartbeatSince == 0 {
		g.heartbeatSince = now
	}
}

// SetStage sets the stage and the hold from the zone's record. A change restarts the stage's duration.
func (g *Gate) SetStage(s Stage, held bool, now clock.Micros) {
	if s != g.stage || held != g.held || g.lost {
		g.stage, g.held, g.since, g.lost = s, held, now, false
	}
}

// Stage returns the present stage, or Open once the gate has expired. So a controller that no longer receives the
// zone's records admits too little work for a bounded time only, unless operators hold the return.
func (g *Gate) Stage(now clock.Micros) Stage {
	if g.expired(now) {
		return Open
	}
	return g.stage
}

// expired reports whether the gate has waited for too long to be notified of the next stage.
func (g *Gate) expired(now clock.Micros) bool {
	switch {
	case g.lost:
		return g.heartbeatSince != 0 && now > g.heartbeatSince+maxLostWait
	case g.held:
		return false
	}
	return now > g.since+g.stage.MaxDuration()+stageEndMargin
}

// RecordSuccessfulStart records that a started task was seen running, and raises the bound on concurrent starts.
func (g *Gate) RecordSuccessfulStart() {
	g.maxInFlight = min(g.maxInFlight+startsPerSuccess, maxStarts)
}

// MaxStartsInFlight returns the bound on concurrent starts.
func (g *Gate) MaxStartsInFlight() int { return g.maxInFlight }

// Admits reports whether a task of a stage may be assigned to a machine while inFlight starts are under way in the
// zone. A machine on which no task has been seen running gets one trial task, of any admitted stage, before it gets
// more. After a loss that outlasted the workers' leases this holds for all machines, so urgent tasks are admitted as
// trial tasks too: otherwise they would wait for other work to run first.
func (g *Gate) Admits(task Stage, m Machine, inFlight int, now clock.Micros) bool {
	stage := g.Stage(now)
	if stage == Open {
		return true
	}
	if task > stage || inFlight >= g.maxInFlight {
		return false
	}
	return m.Proven || m.Pending == 0
}
