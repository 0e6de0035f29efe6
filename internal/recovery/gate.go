package recovery

import "github.com/merlinlatch/merlinlatch/internal/clock"

// Machine is what a gate needs to know of a machine in its zone.
type Machine struct {
	Warm    bool // a task was seen running on it in this session
	Pending int  // tasks on it that were granted and not seen running yet
}

const (
	// initialStarts is how many starts may be under way at a time when a return begins.
	initialStarts = 4
	// startsPerSuccess is by how much each start that succeeded raises that.
	startsPerSuccess = 1
	// maxStarts bounds it.
	maxStarts = 256
	// stageEndMargin is how much longer than its bound a stage may seem to last, where the word of its
	// end is missing: after that an owner admits all.
	stageEndMargin = 5 * clock.Second
)

// Gate admits work in one zone at one owner of machines, while work returns there.
type Gate struct {
	stage          Stage
	held           bool // by operators: it stays as it is
	lost           bool // the zone has not begun to return
	since          clock.Micros
	heartbeatSince clock.Micros // since when a machine of a lost zone is heard; 0: none is
	maxInFlight    int          // how many may be under way
}

// maxLostWait is how long an owner waits, from the first machine of a lost zone that it hears, for the
// word that the zone returns. It is longer than the longest that a zone must be heard before.
const maxLostWait = 65 * clock.Second

// NewGate makes a gate at a stage.
func NewGate(s Stage, held bool, now clock.Micros) *Gate {
	return &Gate{stage: s, held: held, since: now, maxInFlight: initialStarts}
}

// NewLostGate makes a gate of a zone that is lost: it admits nothing new, so that the first machines
// that are back don't get whatever asks first.
func NewLostGate() *Gate { return &Gate{stage: Reconcile, lost: true, maxInFlight: initialStarts} }

// HeartbeatSeen takes note that a machine of the zone is heard.
func (g *Gate) HeartbeatSeen(now clock.Micros) {
	if g.lost && g.heartbeatSince == 0 {
		g.heartbeatSince = now
	}
}

// SetStage takes the word of a stage, or of a hold.
func (g *Gate) SetStage(s Stage, held bool, now clock.Micros) {
	if s != g.stage || held != g.held || g.lost {
		g.stage, g.held, g.since, g.lost = s, held, now, false
	}
}

// Stage is the present stage. Where the word of its end doesn't come, all is admitted after a
// while: a controller with an old view may do less, but not for ever.
func (g *Gate) Stage(now clock.Micros) Stage {
	if g.lost {
		if g.heartbeatSince != 0 && now > g.heartbeatSince+maxLostWait {
			return Open
		}
		return Reconcile
	}
	if !g.held && now > g.since+g.stage.MaxDuration()+stageEndMargin {
		return Open
	}
	return g.stage
}

// Succeeded takes note that a start has led to a running task: more may be under way.
func (g *Gate) Succeeded() { g.maxInFlight = min(g.maxInFlight+startsPerSuccess, maxStarts) }

// Starts is how many starts may be under way at a time.
func (g *Gate) Starts() int { return g.maxInFlight }

// Admits tells whether a task of a stage may be given room on a machine while so many starts are
// under way in the zone. A cold machine gets one trial task before more: after a loss that outlasted the
// workers' leases all machines are cold, and urgent work must not wait for others to warm them.
func (g *Gate) Admits(task Stage, m Machine, underWay int, now clock.Micros) bool {
	stage := g.Stage(now)
	if stage == Open {
		return true
	}
	if task > stage || underWay >= g.maxInFlight {
		return false
	}
	return m.Warm || m.Pending == 0
}
