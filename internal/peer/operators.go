package peer

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fairshare"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
)

// TeamStatus is the state of a team, as its scheduler knows it.
type TeamStatus struct {
	Team      string
	Term      uint64              // of the team's leadership
	Guarantee resources.Amounts   // from the settings
	Limit     resources.Amounts   // from the settings; an amount of 0 means none
	Used      resources.Amounts   // by all that is or may be on a machine
	Jobs      int                 // that are not final
	Waiting   int                 // tasks
	Running   int                 // tasks that are on a machine, or on their way to one
	Waits     telemetry.Quantiles // from acceptance until a task runs, since the scheduler acquired the team
	Lateness  telemetry.Quantiles // of jobs with a deadline, by how much they ended after it
	Moves     []MoveRecord        // the latest, the last one first
	Unmoved   []DeclinedMoves     // why tasks on machines that are to be drained were not moved
}

// MoveRecord is a move of a running task from one machine to another.
type MoveRecord struct {
	// Task is the task's name, From and To are machines; Reason and Outcome are those of package rebalance.
	Task, From, To, Reason, Outcome string
	// Gain and Cost are what the move was expected to save and to take; Ago is the time since it began.
	Gain, Cost, Ago clock.Micros
}

// DeclinedMoves counts tasks that were not moved for a reason.
type DeclinedMoves struct {
	Why   string // a rebalance.DeclineReason
	Count int
}

// TeamsRequest asks a controller for the state of the teams.
type TeamsRequest struct{}

// TeamsResponse is what one controller knows of the teams: the state of those that it schedules, and all
// teams' shares of the machines of its partitions.
type TeamsResponse struct {
	Host      string
	Teams     []TeamStatus         // that the controller leads
	Capacity  resources.Amounts    // of the machines of its partitions
	Standings []fairshare.Standing // none where fair shares are off
	Yielded   uint64               // assignments that it rejected in favour of other teams
}

// ZonesRequest asks a controller for the state of the zones.
type ZonesRequest struct{}

// ZoneStatus is the state of a zone, as one controller knows it.
type ZoneStatus struct {
	Zone, State, Stage           string // Stage is empty unless the zone returns
	Admits                       string // stage that the controller's own machines there admit; empty: everything
	Held                         bool   // an operator has stopped the return at its stage
	Flaps                        int    // how often the zone was lost again during its return
	AtMS                         int64  // time of day of the last change, in milliseconds
	Why                          string // evidence of the last change
	Machines, Unheard, Unsettled int    // machines there; those with missed heartbeats; those unaccounted
	Waiting                      int    // tasks of the controller's teams that wait for a later stage
}

// ZonesResponse is what a controller knows of the zones.
type ZonesResponse struct {
	Host  string
	Zones []ZoneStatus
	On    bool // work returns in stages
	Fleet bool // this controller decides on zones: it leads the fleet
}

// ZoneHoldRequest asks the leader of the fleet to stop a zone's return at its stage, or to resume it.
type ZoneHoldRequest struct {
	Zone string
	Held bool // stop
}

// ZoneHoldResponse answers whether that was done.
type ZoneHoldResponse struct {
	Done    bool
	Holder  string // leader of the fleet, as far as the controller knows; empty: nobody
	Refusal string // why the leader did not do it; empty where the controller is not the leader
}

// HistoryRequest asks for a part of a controller's history.
type HistoryRequest struct {
	From uint64 // number of the first event
	Most int    // maximum of events in the response
}
