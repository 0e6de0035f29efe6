package peer

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fairshare"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// TaskView describes an attempt as the partition leader of its machine knows it.
type TaskView struct {
	ID       TaskID
	Team     string            // team of the job
	Rank     int               // priority level of the job
	Need     resources.Amounts // resource request of the task
	Phase    string            // a phase of package wire, such as wire.TaskRunning; "" until a heartbeat reports the attempt
	Cause    string            // a cause of package wire, such as wire.CauseDone; "" until the attempt has exited
	Stopping bool              // the partition leader has decided to stop the attempt
	Covered  bool              // the job is within its team's guarantee
	Since    clock.Micros      // age of the resource lease when the view was made
	Held     bool              // the attempt has a held lease and starts only by a StartTask
}

// MachineView describes a machine as its partition leader knows it. Tasks has either the tasks that changed
// after the poll's cursor or, with Whole, all tasks.
type MachineView struct {
	ID   string
	Part int    // number of the machine's partition
	Term uint64 // term of the partition's leadership
	// Version is the version of the partition leader's state at the machine's last change. Versions of
	// different incarnations can't be compared.
	Version uint64
	Type    string // machine type, a name of the catalog
	Zone    string
	Spot    bool              // spot instance
	Cap     resources.Amounts // capacity
	Free    resources.Amounts // capacity less the requests of all attempts with a lease that neither exited nor are stopping
	// Accounted means that no command of a former partition leader can change the machine any more, so the
	// view names every task that may be on it. It is also set once the machine is Silent.
	Accounted bool
	Usable    bool // the machine may get tasks
	Draining  bool // the machine gets no more tasks, since it is to be scaled in
	// Silent means that the worker's lease has expired without a heartbeat, or that the machine is gone. No
	// task runs on it any more, so its tasks may start elsewhere.
	Silent  bool
	Overdue bool // several heartbeats are missing; it stays set when the machine becomes Silent
	Noticed bool // the machine is under an eviction notice
	// NoticeLeft is the time that the machine had left by its eviction notice when the view was made.
	NoticeLeft clock.Micros
	Sick       bool         // the machine is quarantined
	Images     []string     // cached images, the most recently used first; empty if unchanged since the cursor, unless Whole is set
	Idle       clock.Micros // how long the machine has had no tasks; 0 if it has any
	Count      int          // number of attempts on the machine, also of those that only have a lease or have exited
	Whole      bool         // Tasks has all tasks, and Left is empty
	Tasks      []TaskView   // in the order of their leases, the oldest first
	Left       []TaskID     // attempts that were removed since the poll's cursor
}

// PollRequest asks a partition leader for the machines that changed after a cursor. When none has, the
// partition leader waits for a change before it answers.
type PollRequest struct {
	// Incarnation is the partition leader's incarnation, as the scheduler knows it. When it is empty
	// or not the present one, the response lists all machines.
	Incarnation string
	Cursor      uint64 // Cursor of the last response; ignored if Incarnation is not the present one
	// Terms has the terms of the team leaderships that the scheduler holds, by team. After this
	// poll the partition leader rejects assignments, starts and cancellations under lower terms of these
	// teams, so a former leader of a team can no longer start its tasks.
	Terms   map[string]uint64
	Wait    clock.Micros // longest time that the partition leader waits for a change
	Gen     uint64       // for the scheduler's own bookkeeping; the partition leader does not read it
	Most    int          // maximum number of machines in the response; 0: no maximum
	AfterID string       // only machines with greater ids are listed, for the next page of a response; "": all
	// Demands has the waiting work of the scheduler's teams where fair shares are enabled. It is empty while
	// the partition leader still has recent demands of the scheduler.
	Demands []fairshare.Demand
}

// PollResponse is a partition leader's answer to a poll. When a full response does not list a machine of the
// partitions in Parts, that machine no longer exists.
type PollResponse struct {
	Incarnation string         // incarnation of the partition leader's controller
	Cursor      uint64         // version of the partition leader's state that the response shows
	Full        bool           // all machines are listed, not only changed ones
	Parts       map[int]uint64 // partitions that the responder leads, with the terms of these leaderships
	Machines    []MachineView  // in the order of their ids
	More        bool           // more machines follow: the response was cut off at PollRequest.Most
	// Capacity and Standings are the total capacity of the responder's machines and each team's share of it,
	// where fair shares are enabled. They answer a request with Demands and are empty otherwise.
	Capacity  resources.Amounts
	Standings []fairshare.Standing
	Holds     bool // the responder grants held leases; earlier releases don't
}
