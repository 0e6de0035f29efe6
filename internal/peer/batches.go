package peer

import (
	"fmt"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fairshare"
	"github.com/merlinlatch/merlinlatch/internal/history"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
	"github.com/merlinlatch/merlinlatch/wire"
)

// TaskID names one attempt of one task.
type TaskID struct {
	Job     string
	N       int
	Attempt uint64
}

// String is for logs.
func (t TaskID) String() string { return fmt.Sprintf("%s/%d#%x", t.Job, t.N, t.Attempt) }

// TaskView is a task as its machine's owner sees it.
type TaskView struct {
	ID       TaskID
	Team     string
	Rank     int
	Need     resources.Amounts
	Phase    string // "" while the start was not seen yet
	Cause    string
	Stopping bool
	Covered  bool         // its job is within its team's guarantee
	Since    clock.Micros // age of the lease when the view was made
	Held     bool         // room is held for it, and it starts by its placer's word only
}

// MachineView is a machine as its owner sees it. Of its tasks it lists those
// that changed since the asker's cursor, or all of them.
type MachineView struct {
	ID        string
	Part      int
	Term      uint64
	Version   uint64
	Type      string
	Zone      string
	Spot      bool
	Cap       resources.Amounts
	Free      resources.Amounts
	Accounted bool // the table is the truth: no order of a former owner can change it
	Usable    bool // may get tasks
	Draining  bool
	Silent    bool // no report for the whole lease: all its tasks are gone
	Overdue   bool // several of its reports are missing
	Noticed   bool // spot notice
	// NoticeLeft is how long the machine had, by its notice, when the view was made.
	NoticeLeft clock.Micros
	Sick       bool
	Images     []string     // in its cache; none when that has not changed since the asker's cursor
	Idle       clock.Micros // how long without tasks
	Count      int          // how many tasks there are
	Whole      bool         // Tasks lists all of them
	Tasks      []TaskView
	Left       []TaskID // tasks that are there no more, since the asker's cursor
}

// Assignment asks for a lease on a machine's room for one task, and hands the task over.
type Assignment struct {
	ID      TaskID
	Made    uint64 // revision of its job's record
	Team    string
	Rank    int
	Need    resources.Amounts
	Image   string
	ImageGB float64
	Machine string
	Term    uint64   // of the machine's partition
	Victims []TaskID // tasks of others to stop for it
	Over    bool     // victims may have the same or a higher rank: their team is beyond its guarantee
	Covered bool     // the task's job is within its team's guarantee
	// Hold asks for room that is held for at most so long, for a task that runs elsewhere and
	// is to move here: nothing is started before a Start. 0: the task starts at once.
	Hold clock.Micros
	// Stage is one more than the stage of a zone's return that admits the task; 0: none is named.
	Stage int
}

// StartTask tells that a task is gone from where it ran, and starts on the room held for it.
type StartTask struct {
	ID      TaskID
	Machine string
	Team    string
}

// StopTask asks for the end of a task.
type StopTask struct {
	ID      TaskID
	Machine string
	GraceS  float64
}

// Acknowledgement tells that the end of a task is taken note of: it may be forgotten.
type Acknowledgement struct {
	ID      TaskID
	Machine string
}

// CancelJob is a job of which nothing may run any more, by the word of its team's placer.
type CancelJob struct{ Job, Team string }

// Batch is what a placing controller has for one owner. Rounds from one
// incarnation are numbered; a repeat is answered as the first time.
type Batch struct {
	From    string // incarnation of the placing controller
	Seq     uint64
	Terms   map[string]uint64 // its teams' terms: older ones are refused from now on
	Asks    []Assignment
	Stops   []StopTask
	Settles []Acknowledgement
	Cancels []CancelJob
	Starts  []StartTask // of tasks whose room is held
	Slow    []string    // machines on which tasks take much longer than elsewhere
}

// Empty tells that a round carries nothing.
func (r *Batch) Empty() bool {
	return len(r.Asks)+len(r.Stops)+len(r.Settles)+len(r.Cancels)+len(r.Starts)+len(r.Slow) == 0
}

// BatchResponse answers a round.
type BatchResponse struct {
	Incarnation string
	Refused     []bool   // one for each ask
	Versions    []uint64 // of the machine's view that first shows the lease, one for each ask
	Yielded     []bool   // refused since other teams have a better right to the room; none where no ask was
}

// PollRequest asks for the machines that changed after a cursor, waiting for a change.
type PollRequest struct {
	Incarnation string // of the owner, as last heard
	Cursor      uint64
	Terms       map[string]uint64
	Wait        clock.Micros
	Gen         uint64 // for the asker's own use
	Most        int    // machines that an answer may list; 0: any number
	AfterID     string // lists only machines whose names follow, as the next page of an answer
	// Demands is what waits of the asker's teams, where fair shares are on.
	Demands []fairshare.Demand
}

// PollResponse answers a poll.
type PollResponse struct {
	Incarnation string
	Cursor      uint64
	Full        bool
	Parts       map[int]uint64 // partitions held, with terms
	Machines    []MachineView  // in order of their names
	More        bool           // there are more machines than the asker wanted at a time
	// Capacity and Standings are the teams' shares of the owner's machines, where fair shares are on.
	Capacity  resources.Amounts
	Standings []fairshare.Standing
	Holds     bool // the owner holds room for tasks that are to move
}

// Heartbeat is what controllers tell each other once a second.
type Heartbeat struct {
	Contact  clock.Micros // how long ago the state service confirmed its hold
	Resigned string       // its last incarnation that gave up for good
	From     string       // who says this
	Strays   int          // in an answer: machines of the asker's that have come to the answerer lately
	Machines int          // in an answer: how many should be reporting to the answerer
	Unheard  int          // and how many of them have left out a report
}

// Demand is work that waits for room, or runs, as the fleet needs to know it.
type Demand struct {
	Need    resources.Amounts
	Types   []string
	Zone    string
	Spot    bool
	Rank    int
	Waiting int // tasks
	RunFor  clock.Micros
	Stage   int          // one more than the stage of a zone's return that admits it; 0: none is named
	Slack   clock.Micros // how much later it may start; 0 when it is late or has no deadline
}

// WaitingByStage sums the tasks that wait by the stage of a zone's return that admits them. What
// names none is left out.
func WaitingByStage(list []Demand) map[recovery.Stage]int {
	out := map[recovery.Stage]int{}
	for i := range list {
		if d := &list[i]; d.Stage > 0 {
			out[recovery.Stage(d.Stage-1)] += d.Waiting
		}
	}
	return out
}

// DemandResponse answers the fleet.
type DemandResponse struct{ Demands []Demand }

// JobRequest asks the placer about a job, or to withdraw it.
type JobRequest struct{ Team, ID string }

// JobResponse is the placer's answer.
type JobResponse struct {
	Known bool // this controller places the team's jobs and may speak
	Found bool
	Retry bool // not yet: ask again
	State wire.JobState
}

// SubmitRequest hands a user's submission to a controller that reaches the state service.
type SubmitRequest struct{ Body []byte }

// SubmitResponse is what its user is to be told.
type SubmitResponse struct {
	Status     int
	Body       []byte
	RetryAfter int
}

// MachineRef names a machine and its zone, which tells its partition.
type MachineRef struct{ ID, Zone string }

// DrainRequest asks an owner to keep machines free for their return.
type DrainRequest struct{ Machines []MachineRef }

// DrainResponse names those that hold neither task nor lease and get none any more.
type DrainResponse struct{ Ready []string }

// MachinesGone tells an owner of machines that are gone for certain.
type MachinesGone struct{ Machines []MachineRef }

// TeamStatus is how a team stands, as its placer sees it.
type TeamStatus struct {
	Team      string
	Term      uint64
	Guarantee resources.Amounts
	Limit     resources.Amounts // an amount of 0 means none
	Used      resources.Amounts // by all that is or may be on a machine
	Jobs      int               // that are not over
	Waiting   int               // tasks
	Running   int               // tasks that are on a machine, or on their way there
	Waits     telemetry.Quantiles
	Lateness  telemetry.Quantiles
	Moves     []MoveRecord    // the latest, the last one first
	Unmoved   []DeclinedMoves // why tasks on machines that are to be drained were not moved
}

// MoveRecord tells of a move of a running task.
type MoveRecord struct {
	Task, From, To, Reason, Outcome string
	Gain, Cost, Ago                 clock.Micros
}

// DeclinedMoves tells how often tasks were not moved for a reason.
type DeclinedMoves struct {
	Why   string
	Count int
}

// TeamsRequest asks a controller how the teams stand.
type TeamsRequest struct{}

// TeamsResponse is what one controller knows of the teams: of those that it places, and of all
// teams' shares of the machines that it owns.
type TeamsResponse struct {
	Host      string
	Teams     []TeamStatus
	Capacity  resources.Amounts
	Standings []fairshare.Standing // none where fair shares are off
	Yielded   uint64               // asks that had to leave room to other teams
}

// ZonesRequest asks a controller how the zones stand.
type ZonesRequest struct{}

// ZoneStatus is how a zone stands, as one controller sees it.
type ZoneStatus struct {
	Zone, State, Stage           string
	Admits                       string // the stage that its own machines there admit, empty where all is admitted
	Held                         bool
	Flaps                        int
	AtMS                         int64 // time of day of the last change
	Why                          string
	Machines, Unheard, Unsettled int
	Waiting                      int // tasks of its teams that wait for a later stage
}

// ZonesResponse is what a controller knows of the zones.
type ZonesResponse struct {
	Host  string
	Zones []ZoneStatus
	On    bool // work returns in stages
	Fleet bool // this controller decides
}

// ZoneHoldRequest asks the fleet's holder to stop a zone's return at its stage, or to let it go on.
type ZoneHoldRequest struct {
	Zone string
	Held bool
}

// ZoneHoldResponse answers a hold.
type ZoneHoldResponse struct {
	Done    bool
	Holder  string // of the fleet, as far as is known here; empty: nobody
	Refusal string
}

// HistoryRequest asks for a part of a controller's history.
type HistoryRequest struct {
	From uint64
	Most int
}

// Service is what every controller offers to its peers.
type Service interface {
	Round(in Batch, out *BatchResponse) error
	Poll(in PollRequest, out *PollResponse) error
	Hello(in Heartbeat, out *Heartbeat) error
	Demand(in Heartbeat, out *DemandResponse) error
	Status(in JobRequest, out *JobResponse) error
	Withdraw(in JobRequest, out *JobResponse) error
	Submit(in SubmitRequest, out *SubmitResponse) error
	Drain(in DrainRequest, out *DrainResponse) error
	Gone(in MachinesGone, out *DrainResponse) error
	Teams(in TeamsRequest, out *TeamsResponse) error
	Zones(in ZonesRequest, out *ZonesResponse) error
	HoldZone(in ZoneHoldRequest, out *ZoneHoldResponse) error
	History(in HistoryRequest, out *history.Page) error
}
