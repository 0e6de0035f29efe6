package peer

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fairshare"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
)

// TeamStatus describes a team as its scheduler knows it.
type TeamStatus struct {
	Team      string
	Term      uint64            // term of the team's leadership
	Guarantee resources.Amounts // guaranteed resources, from the settings
	Limit     resources.Amounts // largest use, from the settings; an amount of 0 means no limit
	Used      resources.Amounts // resources of all tasks that are, or may be, on a machine
	Jobs      int               // number of active jobs
	Waiting   int               // number of tasks that wait
	Running   int               // number of tasks that are assigned to a machine, also those that don't run yet
	// Waits has the times from the acceptance of a job until each of its tasks was first seen running, as observed by
	// this process. Once a task of a job had to be placed again, no more times of the job are added.
	Waits    telemetry.Quantiles
	Lateness telemetry.Quantiles // how long after their deadlines jobs with a deadline were done; 0 for jobs in time
	Moves    []MoveRecord        // recent moves, the latest first
	Unmoved  []DeclinedMoves     // why tasks were not moved off machines that they should leave
}

// MoveRecord describes a move of a running task from one machine to another.
type MoveRecord struct {
	// Task is the task's name as wire.TaskName forms it, From and To are ids of machines, Reason is a
	// rebalance.Reason and Outcome a rebalance.Outcome.
	Task, From, To, Reason, Outcome string
	// Gain is the run time that the move was expected to save, Cost the time that it was expected to take,
	// and Ago the time since it began.
	Gain, Cost, Ago clock.Micros
}

// DeclinedMoves counts how often tasks were not moved for one reason.
type DeclinedMoves struct {
	Why   string // a rebalance.DeclineReason
	Count int
}

// TeamsRequest asks a controller for the state of the teams.
type TeamsRequest struct{}

// TeamsResponse has what one controller knows of the teams: the state of those that it leads, and the teams' fair
// shares in the machines of its partitions.
type TeamsResponse struct {
	Host      string               // host of the controller
	Teams     []TeamStatus         // the teams that the controller leads
	Capacity  resources.Amounts    // total capacity of the machines in its partitions; 0 if fair shares are disabled
	Standings []fairshare.Standing // shares of that capacity, of the teams that use it or wait for it; empty if fair shares are disabled
	Yielded   uint64               // number of assignments that it rejected in favour of other teams
}

// ZonesRequest asks a controller for the state of the zones.
type ZonesRequest struct{}

// ZoneStatus describes a zone as one controller knows it.
type ZoneStatus struct {
	Zone, State, Stage string // State is a zone.State; Stage names the recovery.Stage of a return and is "" otherwise
	// Admits names the latest recovery.Stage whose work this controller, as a partition leader, admits on its
	// machines in the zone. It is "" if the controller admits all work.
	Admits string
	Held   bool   // an operator holds the zone's return at its present stage
	Flaps  int    // how often the zone was lost again during its return
	AtMS   int64  // time of day of the last change, in milliseconds since 1970 UTC
	Why    string // evidence that led to the last change
	// Machines counts the machines in the zone, Unheard those of them with missed heartbeats, and Unsettled
	// those that are not accounted for.
	Machines, Unheard, Unsettled int
	Waiting                      int // tasks of the controller's teams that a later stage of the return admits
}

// ZonesResponse has what one controller knows of the zones.
type ZonesResponse struct {
	Host  string // host of the controller
	Zones []ZoneStatus
	On    bool // work returns to a zone in stages (policy parameter zone_return)
	Fleet bool // the controller leads the fleet, and so decides on the states of the zones
}

// ZoneHoldRequest asks the leader of the fleet to hold a zone's return at its present stage, or to resume it.
type ZoneHoldRequest struct {
	Zone string
	Held bool // true: hold the return; false: resume it
}

// ZoneHoldResponse reports whether the return was held or resumed.
type ZoneHoldResponse struct {
	Done    bool
	Holder  string // host of the fleet's leader, as far as the controller knows; "": unknown
	Refusal string // why the controller refused, as the leader or because zone return is off; else ""
}

// HistoryRequest asks for a part of a controller's history of events.
type HistoryRequest struct {
	From uint64 // number of the first event
	Most int    // maximum number of events in the response
}
